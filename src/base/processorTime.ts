import { performance } from 'node:perf_hooks'

const US_PER_MS = 1000

/** Returns the processor time of this process so far, in milliseconds. */
export function getProcessorMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / US_PER_MS
}

/** Returns the milliseconds for which the event loop has waited for input or timers so far. */
export function getIdleMs (): number {
  return performance.eventLoopUtilization().idle
}
