import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'

import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'

/** Bench scripts by name. Each prints its tables and exits with code 1 when a bound is exceeded. */
const BENCHES: Record<string, string> = {
  config: 'configBench.mjs',
  dataPath: 'dataPath.mjs',
  capacity: 'capacity/main.mjs',
  lunch: 'lunch/main.mjs',
  decisions: 'decisions.mjs',
  log: 'log.mjs'
}

const flags = yargs(hideBin(process.argv))
  .scriptName('npm run bench --')
  .option('only', { type: 'array', string: true, choices: Object.keys(BENCHES), describe: 'benches to run; all by default' })
  .strict()
  .parseSync()

const failed: string[] = []
for (const name of flags.only ?? Object.keys(BENCHES)) {
  process.stdout.write(`\n== ${name}\n`)
  if (await runBench(BENCHES[name]!) !== 0) failed.push(name)
}
process.stdout.write(failed.length === 0 ? '\nall bounds kept\n' : `\nFAILED: ${failed.join(', ')}\n`)
process.exitCode = failed.length === 0 ? 0 : 1

async function runBench (script: string): Promise<number> {
  const path = fileURLToPath(new URL(script, import.meta.url))
  const child = spawn(process.execPath, ['--expose-gc', path], { stdio: 'inherit' })
  return await new Promise(resolve => child.on('close', code => resolve(code ?? 1)))
}
