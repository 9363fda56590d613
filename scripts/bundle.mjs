import { mkdirSync } from 'node:fs'
import path from 'node:path'

import { build } from 'esbuild'

/** Bundles a program and all its imports into one file for Node.js. */
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
