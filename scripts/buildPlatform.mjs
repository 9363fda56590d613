import { bundle } from './bundle.mjs'

await bundle('platform/main.ts', 'target/gateway.cjs', { minify: true })
