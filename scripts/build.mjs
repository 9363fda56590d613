import { mkdirSync } from 'node:fs'

import { build } from 'esbuild'

mkdirSync('dist', { recursive: true })

await bundle('src/cli/main.ts', 'dist/tanagerwick.cjs')
await bundle('standins/main.ts', 'dist/standin.cjs')

async function bundle (entryPoint, outfile) {
  await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    legalComments: 'none',
    logLevel: 'warning'
  })
}
