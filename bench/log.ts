import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'

import type { LogMeasure } from './log/writer'

/** One configuration of the decision log. */
interface LogCase {
  name: string
  bytesPerSecond: number
  isLogging: boolean
  isRead: boolean
}

/** Largest event loop delay: a tenth of the smallest target between tokens, so that logging does not delay tokens noticeably. */
const MAX_PAUSE_MS = 5.3
const MAX_GROWTH_MB = 16
const DURATION_MS = 5000
const TIMEOUT_MS = 15_000
const DEFAULT_BYTES_PER_SECOND = 65_536
const UNBOUNDED = 100_000_000

const CASES: LogCase[] = [
  { name: 'no log', bytesPerSecond: DEFAULT_BYTES_PER_SECOND, isLogging: false, isRead: true },
  { name: 'every line written', bytesPerSecond: UNBOUNDED, isLogging: true, isRead: true },
  { name: 'at its bound', bytesPerSecond: DEFAULT_BYTES_PER_SECOND, isLogging: true, isRead: true },
  { name: 'at its bound, nobody reads', bytesPerSecond: DEFAULT_BYTES_PER_SECOND, isLogging: true, isRead: false },
  { name: 'every line written, nobody reads', bytesPerSecond: UNBOUNDED, isLogging: true, isRead: false }
]

let isWithinBounds = true
process.stdout.write('500 requests a second, three lines each\n| log | processor a request | longest pause | memory | written | left out | unread |\n| --- | --- | --- | --- | --- | --- | --- |\n')
for (const logCase of CASES) {
  const { cpuMicrosPerRequest, maxPauseMs, residentGrowthMb, counts } = await measureCase(logCase)
  const isCaseWithinBounds = maxPauseMs <= MAX_PAUSE_MS && residentGrowthMb <= MAX_GROWTH_MB
  isWithinBounds &&= isCaseWithinBounds
  process.stdout.write(`| ${logCase.name} | ${cpuMicrosPerRequest.toFixed(0)} µs | ${maxPauseMs.toFixed(1)} ms | ${residentGrowthMb.toFixed(1)} MB | ${counts.written} | ${counts.routine} | ${counts.unread} |${isCaseWithinBounds ? '' : ' **over the bound**'}\n`)
}
process.stdout.write(`bounds: a pause of ${MAX_PAUSE_MS} ms, ${MAX_GROWTH_MB} MB\n`)
process.exitCode = isWithinBounds ? 0 : 1

/** Measures one case in a process of its own. The process is killed if it does not exit within `TIMEOUT_MS`. */
async function measureCase ({ bytesPerSecond, isLogging, isRead }: LogCase): Promise<LogMeasure> {
  const script = fileURLToPath(new URL('log/writer.mjs', import.meta.url))
  const child = spawn(process.execPath, [script, String(bytesPerSecond), String(DURATION_MS), isLogging ? 'on' : 'off'], { stdio: ['ignore', 'pipe', 'pipe'] })
  const timer = setTimeout(() => child.kill('SIGKILL'), TIMEOUT_MS)
  if (isRead) child.stdout.resume()
  let text = ''
  child.stderr.on('data', part => { text += part })
  await new Promise(resolve => child.on('exit', resolve))
  clearTimeout(timer)
  child.stdout.destroy()
  return JSON.parse(text) as LogMeasure
}
