import { measureControlPath } from './controlPath'

await measureControlPath()
