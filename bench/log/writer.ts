import { monitorEventLoopDelay } from 'node:perf_hooks'

import { DecisionLog } from '../../src/base/decisionLog'

import type { DecisionLine } from '../../src/base/decisionEvents'

/** Cost of the decision log, measured by the process that writes it. */
export interface LogMeasure {
  requests: number
  /** Processor time per request, background writes included. */
  cpuMicrosPerRequest: number
  /** Longest delay of the event loop. */
  maxPauseMs: number
  residentGrowthMb: number
  counts: { written: number, notable: number, routine: number, unread: number }
}

const REQUESTS_PER_TICK = 5
const TICK_MS = 10
const WARM_UP_MS = 1000
const NANOS_PER_MS = 1e6
const BYTES_PER_MB = 1_048_576
const [, , bytesPerSecond, durationMs, isLogging] = process.argv

runWriter(Number(bytesPerSecond), Number(durationMs), isLogging === 'on').catch(() => process.exit(1))

/** Writes the lines of 500 requests per second, then reports the cost on standard error. */
async function runWriter (bound: number, forMs: number, isOn: boolean): Promise<void> {
  const log = new DecisionLog({ instance: 'gateway-1', bytesPerSecond: bound })
  await writeFor(log, WARM_UP_MS, isOn)
  const delay = monitorEventLoopDelay({ resolution: 1 })
  delay.enable()
  const cpuBefore = process.cpuUsage()
  const residentBefore = process.memoryUsage.rss()
  const requests = await writeFor(log, forMs, isOn)
  const { user, system } = process.cpuUsage(cpuBefore)
  const measure: LogMeasure = {
    requests,
    cpuMicrosPerRequest: (user + system) / requests,
    maxPauseMs: delay.max / NANOS_PER_MS,
    residentGrowthMb: (process.memoryUsage.rss() - residentBefore) / BYTES_PER_MB,
    counts: { ...log.counts }
  }
  process.stderr.write(`${JSON.stringify(measure)}\n`)
  // an orderly exit would wait for the reader of standard output, which may never read again
  process.kill(process.pid, 'SIGKILL')
}

async function writeFor (log: DecisionLog, forMs: number, isOn: boolean): Promise<number> {
  const untilMs = performance.now() + forMs
  let requests = 0
  while (performance.now() < untilMs) {
    for (let count = 0; count < REQUESTS_PER_TICK; count++) {
      requests += 1
      if (isOn) for (const line of buildLines(`request-${requests}`)) log.write('routine', line)
    }
    await new Promise(resolve => setTimeout(resolve, TICK_MS))
  }
  return requests
}

/** Builds the three lines of a successful request. */
function buildLines (requestId: string): DecisionLine[] {
  return [
    { event: 'endpointChosen', requestId, route: 'r-cba2jgh', rank: 2, attempt: 1, endpoint: 'i-4f7bde6b9f', version: 'v1', resumes: null, resumesAfter: null, reason: 'prefixHome', costMs: 94, candidates: 28, inFlight: 3, limitPerSecond: null, recentSends: 12, pendingTokens: 1200, unreadTokens: 3000, othersInFlight: 20, othersTokens: 9000, prefixSource: null, fetchTokens: 0, failureRate: 0.02, heldMs: 4, remainingMs: 5990 },
    { event: 'sendEnded', requestId, service: 'engines', endpointId: 'i-4f7bde6b9f', attempt: 1, outcome: 'answered', status: 200, detail: '', elapsedMs: 900, firstMs: 130, events: 17 },
    { event: 'requestEnded', requestId, route: 'r-cba2jgh', end: 'whole', elapsedMs: 905, sentBytes: 3351 }
  ]
}
