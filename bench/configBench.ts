import { formatNumber, printMeasurements, printTable } from './shared/measuredTable'
import { buildLargeTree, computeChangeBytes, measureSize } from './config/configSizes'
import { measureApplyTimes } from './config/applyTimes'

import type { SizeCosts } from './config/configSizes'
import type { Measurement } from './shared/measuredTable'

const WORKSPACE_COUNTS = [100, 1_000, 13_000]
const FULL_SIZE = 13_000
const WORKSPACE_BUCKETS = [64, 128, 256, 512]
const ENDPOINT_BUCKETS = 16
const PROCESS_COUNTS = [60, 240, 960]
const MAX_VALUE_BYTES = 1_000_000
const MAX_APPLY_MS = 4_000
const CHANGES_PER_DAY = 2_200
const SECONDS_PER_DAY = 86_400
const CONTROL_BYTES_PER_SECOND = 23_000
const CONTROL_CORE_SHARE = 0.02

const costs: SizeCosts[] = []
for (const count of WORKSPACE_COUNTS) costs.push(await measureSize(count))
printTable('Costs by workspaces, 600 endpoints', listHeadings(), costs.map(formatCosts))

const largeTree = buildLargeTree(FULL_SIZE)
printTable('Bytes of one change by layout, 13,000 workspaces', ['buckets', 'parts', 'manifest', 'part', 'sum'], WORKSPACE_BUCKETS.map(formatLayout))

const rows: Measurement[] = []
const largest = costs.at(-1)!
const changesPerSecond = CHANGES_PER_DAY / SECONDS_PER_DAY
rows.push({ name: 'largest part at 13,000 workspaces', value: largest.largestPartBytes, unit: 'bytes', limit: MAX_VALUE_BYTES })
rows.push({ name: 'manifest with a changed part', value: largest.changeBytes, unit: 'bytes', limit: MAX_VALUE_BYTES })
rows.push({ name: 'received by each process at 2,200 changes a day', value: largest.changeBytes * changesPerSecond, unit: 'bytes/s', limit: CONTROL_BYTES_PER_SECOND })
rows.push({ name: 'share of a core for building at 2,200 changes a day', value: largest.nextBuildMs / 1_000 * changesPerSecond, unit: '', limit: CONTROL_CORE_SHARE })
for (const count of PROCESS_COUNTS) {
  const times = await measureApplyTimes(count)
  rows.push({ name: `in force at ${count} processes, platform answering`, value: times.withPlatformMs, unit: 'ms', limit: MAX_APPLY_MS })
  rows.push({ name: `in force at ${count} processes, platform out at the acceptance`, value: times.duringOutageMs, unit: 'ms', limit: MAX_APPLY_MS })
}
process.exitCode = printMeasurements('Configuration', rows) ? 0 : 1

function listHeadings (): string[] {
  return ['workspaces', 'load folder ms', 'parts ms', 'first build ms', 'next build ms', 'parts', 'largest part B', 'manifest B', 'one change B', 'held MB']
}

function formatCosts (cost: SizeCosts): string[] {
  const { workspaceCount, loadMs, buildPartsMs, firstBuildMs, nextBuildMs, partCount, largestPartBytes, manifestBytes, changeBytes, retainedMb } = cost
  return [workspaceCount, loadMs, buildPartsMs, firstBuildMs, nextBuildMs, partCount, largestPartBytes, manifestBytes, changeBytes, retainedMb].map(formatNumber)
}

function formatLayout (workspaceBuckets: number): string[] {
  const { parts, manifest, part } = computeChangeBytes(largeTree, { workspaceBuckets, endpointBuckets: ENDPOINT_BUCKETS })
  return [workspaceBuckets, parts, manifest, part, manifest + part].map(formatNumber)
}
