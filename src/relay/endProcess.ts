import type { DecisionLog } from '../base/decisionLog'

/** Time for the last lines; a collector that reads takes far less. */
const FLUSH_TIMEOUT_MS = 250

/**
 * Ends this process with `exitCode` once its log is written out. While nobody reads the log, a write
 * stays blocked in the runtime's thread pool and an orderly exit would wait for it without end.
 */
export async function endProcess (log: DecisionLog, exitCode: number): Promise<void> {
  log.write('notable', { event: 'stopped', exitCode })
  if (await log.flush(FLUSH_TIMEOUT_MS)) process.exit(exitCode)
  process.kill(process.pid, 'SIGKILL')
}
