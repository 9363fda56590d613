import { readFileSync } from 'node:fs'

const MS_PER_CLOCK_TICK = 10
const MS_PER_SECOND = 1000

/** Processor time and memory that a process has used since its start. */
export interface ProcessUsage {
  atMs: number
  processorMs: number
  residentMb: number
}

/** Resource usage of a process over a period. */
export interface UsageRate {
  /** Processor time as a share of one core. */
  coreShare: number
  residentMb: number
}

/** Reads the processor time and the resident memory of a process from /proc. */
export function readProcessUsage (pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1])
  return { atMs: performance.now(), processorMs: ticks * MS_PER_CLOCK_TICK, residentMb: residentKb / 1024 }
}

/** Computes the usage between two readings. */
export function computeUsageRate (before: ProcessUsage, after: ProcessUsage): UsageRate {
  return { coreShare: (after.processorMs - before.processorMs) / (after.atMs - before.atMs), residentMb: after.residentMb }
}

/** Converts a share of one core to processor milliseconds per second. */
export function toProcessorMsPerSecond (rate: UsageRate): number {
  return rate.coreShare * MS_PER_SECOND
}
