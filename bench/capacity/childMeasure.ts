import { fileURLToPath } from 'node:url'

import { runCommand } from '../shared/childProcesses'

/**
 * Runs the bundled script `script` of this folder in a separate process and returns the JSON of its last output line.
 * A separate process keeps other work out of its memory and processor time.
 */
export async function measureInChild<T> (script: string, args: string[]): Promise<T> {
  const path = fileURLToPath(new URL(`${script}.mjs`, import.meta.url))
  const { code, output } = await runCommand({ args: ['--expose-gc', path, ...args] })
  if (code !== 0) throw new Error(`${script} ${args.join(' ')} exited with code ${code}: ${output.slice(-2000)}`)
  return JSON.parse(output.trim().split('\n').at(-1)!) as T
}
