import type { SocketBytes } from './socketBytes'

const US_PER_MS = 1000
const CHECK_PERIOD_MS = 100

/** Cost of one repetition of a step in this process. */
export interface StepCost {
  processorMs: number
  bytes: number
}

/** Measures the mean cost of the repetitions of a step. `run` repeats the step and returns the number of repetitions. */
export async function measureSteps (sockets: SocketBytes, run: () => Promise<number>): Promise<StepCost> {
  const processorBefore = process.cpuUsage()
  const bytesBefore = sockets.readTotal()
  const count = await run()
  const used = process.cpuUsage(processorBefore)
  return {
    processorMs: (used.user + used.system) / US_PER_MS / count,
    bytes: (sockets.readTotal() - bytesBefore) / count
  }
}

/** Returns heap and resident memory in megabytes after garbage collection. */
export function readMemoryMb (): { heapMb: number, residentMb: number } {
  global.gc?.()
  global.gc?.()
  const { heapUsed, rss } = process.memoryUsage()
  return { heapMb: heapUsed / 1_048_576, residentMb: rss / 1_048_576 }
}

/** Waits until `check` is true. It checks only every 100 ms, because each check adds to the measured processor time. */
export async function waitUntil (awaited: string, check: () => boolean, timeoutMs = 30_000): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs
  while (!check()) {
    if (performance.now() > deadlineMs) throw new Error(`timed out waiting for ${awaited}`)
    await new Promise(resolve => setTimeout(resolve, CHECK_PERIOD_MS))
  }
}
