import { mkdirSync } from 'node:fs'

import { build } from 'esbuild'

mkdirSync('dist', { recursive: true })

await build({
  entryPoints: ['src/cli/main.ts'],
  outfile: 'dist/tanagerwick.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  logLevel: 'warning'
})
