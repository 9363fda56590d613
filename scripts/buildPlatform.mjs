// Builds what the platform runs: the gateway, compiled ahead, and the small program that starts it.
import { execFileSync } from 'node:child_process'
import { copyFileSync, readFileSync } from 'node:fs'

import { bundle } from './bundle.mjs'

/** The run line of the deploy file; compiled code holds only for a process with the same flags. */
const RUN_LINE = /^run = "node ((?:--\S+ )*)target\/gateway\.cjs"$/m

/** The one histogram that is used; the library's main module also loads its codecs and formatters, at each start. */
const ALIAS = { 'hdr-histogram-js': './scripts/int32Histogram.cjs' }

const flags = RUN_LINE.exec(readFileSync('deploy/system.toml', 'utf8'))[1].split(' ').filter(flag => flag !== '')
await bundle('platform/main.ts', 'target/gatewayProgram.cjs', { minify: true, alias: ALIAS })
copyFileSync('scripts/startCompiled.cjs', 'target/gateway.cjs')
execFileSync(process.execPath, [...flags, 'scripts/compileAhead.cjs', 'target/gatewayProgram.cjs'], { stdio: 'inherit' })
