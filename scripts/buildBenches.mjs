// Bundles the benches to dist/bench. They measure the product as it is shipped, without a TypeScript loader.
import { readdirSync, rmSync } from 'node:fs'

import { build } from 'esbuild'

const files = readdirSync('bench', { recursive: true }).filter(file => file.endsWith('.ts') && !file.startsWith('shared/'))

rmSync('dist/bench', { recursive: true, force: true })
await build({
  entryPoints: files.map(file => `bench/${file}`),
  outdir: 'dist/bench',
  outbase: 'bench',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: "import { createRequire } from 'node:module'\nconst require = createRequire(import.meta.url)" },
  legalComments: 'none',
  logLevel: 'warning'
})
