// Builds dist/tanagerwick, a Node.js single executable application, from the bundle.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, readFileSync, rmSync, writeFileSync } from 'node:fs'

import { inject } from 'postject'

const BUNDLE = 'dist/tanagerwick.cjs'
const BLOB = 'dist/sea.blob'
const CONFIG = 'dist/sea.json'
const BINARY = 'dist/tanagerwick'
// Section name and fuse that Node.js expects in a single executable application.
const SECTION = 'NODE_SEA_BLOB'
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

writeFileSync(CONFIG, JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true, useCodeCache: false }))
execFileSync(process.execPath, ['--experimental-sea-config', CONFIG], { stdio: ['ignore', 'ignore', 'inherit'] })
rmSync(BINARY, { force: true })
copyFileSync(process.execPath, BINARY)
chmodSync(BINARY, 0o755)
await inject(BINARY, SECTION, readFileSync(BLOB), { sentinelFuse: FUSE })
rmSync(BLOB)
rmSync(CONFIG)
const version = execFileSync(BINARY, ['--version'], { encoding: 'utf8' }).trim()
process.stdout.write(`built ${BINARY} ${version}\n`)
