// Starts the program in this folder from the code cache of the build, so that a restarted instance serves
// sooner. If V8 rejects the cache, the program is compiled as usual.
const { earlySignals } = require('../src/cli/earlySignals')
const { readFileSync } = require('node:fs')
const path = require('node:path')
const { Script } = require('node:vm')

const program = path.join(__dirname, 'gatewayProgram.cjs')
const script = new Script(readFileSync(`${program}.wrapped`, 'utf8'), { filename: program, cachedData: readFileSync(`${program}.code`) })
if (script.cachedDataRejected) process.stderr.write('the compiled code does not fit this runtime or its flags; compiling anew\n')
script.runInThisContext().call(exports, exports, require, module, program, __dirname)
// the program listens to signals itself
earlySignals.close()
