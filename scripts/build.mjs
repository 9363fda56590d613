import { bundle } from './bundle.mjs'

await bundle('src/cli/main.ts', 'dist/tanagerwick.cjs')
await bundle('standins/main.ts', 'dist/standin.cjs')
