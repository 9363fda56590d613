// Writes the V8 code cache of a program next to it, for `startCompiled.cjs`. The program runs once without
// settings and exits after loading, so that the cache also contains the functions that run while it loads.
const { readFileSync, writeFileSync } = require('node:fs')
const { wrap } = require('node:module')
const path = require('node:path')
const { Script } = require('node:vm')

const program = path.resolve(process.argv[2])
const wrapped = wrap(readFileSync(program, 'utf8'))
const script = new Script(wrapped, { filename: program })
process.stderr.write = () => true
script.runInThisContext().call(exports, exports, require, module, program, path.dirname(program))
process.exitCode = 0
writeFileSync(`${program}.wrapped`, wrapped)
writeFileSync(`${program}.code`, script.createCachedData())
