import type { DecisionLog } from '../base/decisionLog'

/** Milliseconds allowed for writing the last log lines; a collector that is reading needs far less. */
const FLUSH_TIMEOUT_MS = 250

/**
 * Ends this process with `exitCode` once its log is flushed, or kills it after a timeout. While nobody
 * reads the log, a write blocks in the runtime's thread pool, and an orderly exit would wait for it indefinitely.
 */
export async function endProcess (log: DecisionLog, exitCode: number): Promise<void> {
  try {
    log.write('notable', { event: 'stopped', exitCode })
    if (await log.flush(FLUSH_TIMEOUT_MS)) process.exit(exitCode)
  } finally {
    process.kill(process.pid, 'SIGKILL')
  }
}
