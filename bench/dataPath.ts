import { BENCH_KEY, BENCH_MODEL, startBenchFleet } from './shared/benchFleet'
import { computeLinearFit } from './shared/linearFit'
import { formatNumber, printMeasurements, printTable } from './shared/measuredTable'
import { computeUsageRate, readProcessUsage, toProcessorMsPerSecond } from './shared/processUsage'
import { readPercentileMs, StreamLoad } from './shared/streamLoad'

import type { BenchFleet } from './shared/benchFleet'
import type { Measurement } from './shared/measuredTable'
import type { UsageRate } from './shared/processUsage'
import type { StreamWindow } from './shared/streamLoad'

/** One load on a fleet: its streams, the length of their answers and the phases of the measurement. */
interface LoadShape {
  streams: number
  maxTokens: number
  rampMs: number
  warmMs: number
  windowMs: number
}

/** Measurements of one load. */
interface LoadResult {
  viaGateway: StreamWindow
  direct: StreamWindow
  gateway: UsageRate
  /** Usage of the first sidecar. */
  sidecar: UsageRate
}

const TOKEN_INTERVAL_MS = 53
/** Token interval of the engines. It stays below nine tenths of the target, since a sidecar starts no further request on a slower engine. */
const ENGINE_STEP_MS = 47
/** Token interval of a single engine with 256 streams. At 47 ms the bursts of 256 tokens made the sidecar lower its slot limit. */
const LONE_ENGINE_STEP_MS = 42
const FIRST_TOKEN_TARGET_MS = 710
/** Largest latencies that gateway and sidecar may add: a tenth of the targets. */
const MAX_ADDED_FIRST_TOKEN_MS = FIRST_TOKEN_TARGET_MS / 10
const MAX_ADDED_BETWEEN_TOKENS_MS = TOKEN_INTERVAL_MS / 10
/** The mean answer of the stand-in has 0.214 of this length, 403 tokens, so that 427 streams need 20 requests per second. */
const LONG_ANSWER_TOKENS = 1885
const SHORT_ANSWER_TOKENS = 64
const DIRECT_STREAMS = 48
const DIRECT_TOKENS = 64
const PERCENTILES = [50, 95, 99]
const US_PER_MS = 1000
const STREAM_COUNTS = [107, 213, 427]

/** Part to measure, `gateway` or `sidecar`; both without an argument. */
const selectedPart = process.argv[2]
const isGatewayWithinBounds = selectedPart === 'sidecar' || await measureGateway()
const isSidecarWithinBounds = selectedPart === 'gateway' || await measureSidecar()
process.exitCode = isGatewayWithinBounds && isSidecarWithinBounds ? 0 : 1

/** Measures one gateway with 16 engines, at three loads of long answers and one of short answers. */
async function measureGateway (): Promise<boolean> {
  const fleet = await startBenchFleet({ engines: 16, enginesPerProcess: 4, slots: 40, stepMs: ENGINE_STEP_MS })
  try {
    const results: LoadResult[] = []
    for (const streams of STREAM_COUNTS) {
      results.push(await measureLoad(fleet, { streams, maxTokens: LONG_ANSWER_TOKENS, rampMs: 6_000, warmMs: 12_000, windowMs: streams === 427 ? 24_000 : 12_000 }))
    }
    const full = results.at(-1)!
    results.push(await measureLoad(fleet, { streams: 64, maxTokens: SHORT_ANSWER_TOKENS, rampMs: 1_000, warmMs: 3_000, windowMs: 10_000 }))
    printLoads('Gateway at four loads', results, result => result.gateway)
    printSlopes('gateway', results, result => result.gateway)
    return printMeasurements('Gateway: 427 streams, at least 8,056 tokens/s and 20 requests/s', [...listLoad(full), ...listUsage('gateway', full.gateway), ...listAddedLatency(full)])
  } finally {
    await fleet.stop()
  }
}

/** Measures one sidecar, with up to 256 streams on its engine. */
async function measureSidecar (): Promise<boolean> {
  const fleet = await startBenchFleet({ engines: 1, enginesPerProcess: 1, slots: 256, stepMs: LONE_ENGINE_STEP_MS })
  try {
    const results: LoadResult[] = []
    for (const streams of [64, 128, 256]) {
      results.push(await measureLoad(fleet, { streams, maxTokens: LONG_ANSWER_TOKENS, rampMs: 4_000, warmMs: 8_000, windowMs: 10_000 }))
    }
    const full = results.at(-1)!
    results.push(await measureLoad(fleet, { streams: 64, maxTokens: SHORT_ANSWER_TOKENS, rampMs: 1_000, warmMs: 3_000, windowMs: 10_000 }))
    printLoads('Sidecar at four loads', results, result => result.sidecar)
    printSlopes('sidecar', results, result => result.sidecar)
    return printMeasurements('Sidecar: 256 streams, at least 4,834 tokens/s, all from one engine', [...listLoad(full), ...listUsage('sidecar', full.sidecar), ...listAddedLatency(full)])
  } finally {
    await fleet.stop()
  }
}

async function measureLoad (fleet: BenchFleet, shape: LoadShape): Promise<LoadResult> {
  const viaGateway = createLoad(fleet.gateway.addresses, shape.streams, shape.maxTokens, shape.rampMs)
  const direct = createLoad(fleet.engineAddresses, DIRECT_STREAMS, DIRECT_TOKENS, shape.rampMs)
  viaGateway.start()
  direct.start()
  await new Promise(resolve => setTimeout(resolve, shape.warmMs))
  viaGateway.reset()
  direct.reset()
  const pids = [fleet.gateway.pid, fleet.sidecars[0]!.pid]
  const before = pids.map(readProcessUsage)
  await new Promise(resolve => setTimeout(resolve, shape.windowMs))
  const usage = pids.map((pid, index) => computeUsageRate(before[index]!, readProcessUsage(pid)))
  const result = { viaGateway: viaGateway.readWindow(), direct: direct.readWindow(), gateway: usage[0]!, sidecar: usage[1]! }
  viaGateway.stop()
  direct.stop()
  if (result.viaGateway.failures > 0) process.stdout.write(`last failure: ${viaGateway.getLastFailure()}\n`)
  await new Promise(resolve => setTimeout(resolve, 1_000))
  return result
}

function createLoad (addresses: string[], streams: number, maxTokens: number, rampMs: number): StreamLoad {
  return new StreamLoad({
    addresses,
    streams,
    rampMs,
    headers: { authorization: `Bearer ${BENCH_KEY}` },
    buildBody: sequence => JSON.stringify({
      model: BENCH_MODEL,
      stream: true,
      max_tokens: maxTokens,
      messages: [{ role: 'user', content: `request ${sequence} of ${maxTokens}` }]
    })
  })
}

function listLoad ({ viaGateway }: LoadResult): Measurement[] {
  return [
    { name: 'tokens', value: viaGateway.tokens / viaGateway.seconds, unit: '/s' },
    { name: 'new requests', value: viaGateway.requests / viaGateway.seconds, unit: '/s' },
    { name: 'failed requests', value: viaGateway.failures, unit: '', limit: 0 }
  ]
}

function listUsage (name: string, usage: UsageRate): Measurement[] {
  return [
    { name: `${name}: processor`, value: usage.coreShare * 100, unit: '% of a core' },
    { name: `${name}: resident memory`, value: usage.residentMb, unit: 'MB' }
  ]
}

/** Lists the added latency: percentiles through gateway and sidecar minus those of direct calls to the same engines in the same window. */
function listAddedLatency ({ viaGateway, direct }: LoadResult): Measurement[] {
  const rows: Measurement[] = []
  for (const percentile of PERCENTILES) {
    const value = readPercentileMs(viaGateway.firstToken, percentile) - readPercentileMs(direct.firstToken, percentile)
    rows.push({ name: `first token: added p${percentile}`, value, unit: 'ms', limit: percentile === 95 ? MAX_ADDED_FIRST_TOKEN_MS : undefined })
  }
  for (const percentile of PERCENTILES) {
    const value = readPercentileMs(viaGateway.betweenTokens, percentile) - readPercentileMs(direct.betweenTokens, percentile)
    rows.push({ name: `between tokens: added p${percentile}`, value, unit: 'ms', limit: percentile === 95 ? MAX_ADDED_BETWEEN_TOKENS_MS : undefined })
  }
  return rows
}

function printLoads (title: string, results: LoadResult[], getUsage: (result: LoadResult) => UsageRate): void {
  const headings = ['requests/s', 'tokens/s', 'core %', 'MB', 'first p95 ms', 'direct', 'between p95 ms', 'direct', 'failures']
  printTable(title, headings, results.map(result => {
    const { viaGateway, direct } = result
    const usage = getUsage(result)
    return [
      viaGateway.requests / viaGateway.seconds, viaGateway.tokens / viaGateway.seconds, usage.coreShare * 100, usage.residentMb,
      readPercentileMs(viaGateway.firstToken, 95), readPercentileMs(direct.firstToken, 95),
      readPercentileMs(viaGateway.betweenTokens, 95), readPercentileMs(direct.betweenTokens, 95), viaGateway.failures
    ].map(formatNumber)
  }))
}

/** Fits processor time to requests and tokens across the loads and prints the coefficients. */
function printSlopes (name: string, results: LoadResult[], getUsage: (result: LoadResult) => UsageRate): void {
  const inputs = results.map(({ viaGateway }) => [viaGateway.requests / viaGateway.seconds, viaGateway.tokens / viaGateway.seconds])
  const outputs = results.map(result => toProcessorMsPerSecond(getUsage(result)))
  const [constant, perRequest, perToken] = computeLinearFit(inputs, outputs) as [number, number, number]
  printMeasurements(`Slopes of the ${name}'s processor time`, [
    { name: 'constant', value: constant, unit: 'ms/s' },
    { name: 'per request', value: perRequest, unit: 'ms' },
    { name: 'per token', value: perToken * US_PER_MS, unit: 'us' }
  ])
}
