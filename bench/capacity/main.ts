import { measureConfigPath } from './configPath'
import { measureControlPath } from './controlPath'

await measureConfigPath()
await measureControlPath()
