const US_PER_MS = 1000

/** Returns the processor time of this process so far, in milliseconds. */
export function getProcessorMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / US_PER_MS
}
