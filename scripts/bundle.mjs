import { mkdirSync } from 'node:fs'
import path from 'node:path'

import { build } from 'esbuild'

/** Bundles one program and all that it imports into one file for Node. */
export async function bundle (entryPoint, outfile, options = {}) {
  mkdirSync(path.dirname(outfile), { recursive: true })
  await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    legalComments: 'none',
    logLevel: 'warning',
    ...options
  })
}
