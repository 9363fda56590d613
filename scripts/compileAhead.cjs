// Writes the compiled code of a program next to it, as `startCompiled.cjs` reads it. The program is run
// once without settings, which ends after loading, so that the functions of loading are compiled as well.
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
