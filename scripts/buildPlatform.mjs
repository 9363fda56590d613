// Builds the programs for the platform: the gateway with its code cache, the small program that starts it, and the check of a configuration.
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'

import { bundle } from './bundle.mjs'

/** Run command in the deploy file. The code cache is valid only in a process with the same Node.js flags. */
const RUN_LINE = /^run = "node ((?:--\S+ )*)target\/gateway\.cjs"$/m

/** Replaces the main module of the library, which also loads its codecs and formatters at each start, by the one histogram in use. */
const ALIAS = { 'hdr-histogram-js': './scripts/int32Histogram.cjs' }

const flags = RUN_LINE.exec(readFileSync('deploy/system.toml', 'utf8'))[1].split(' ').filter(flag => flag !== '')
await bundle('platform/main.ts', 'target/gatewayProgram.cjs', { minify: true, alias: ALIAS })
await bundle('platform/checkConfig.ts', 'target/checkConfig.cjs', { minify: true, alias: ALIAS })
await bundle('scripts/startCompiled.cjs', 'target/gateway.cjs')
execFileSync(process.execPath, [...flags, 'scripts/compileAhead.cjs', 'target/gatewayProgram.cjs'], { stdio: 'inherit' })
