import { startBenchFleet } from '../shared/benchFleet'
import { formatNumber, printTable } from '../shared/measuredTable'
import { computeUsageRate, readProcessUsage } from '../shared/processUsage'
import { FLEET, PLATFORM_BOUNDS } from './fleetSize'

import type { UsageRate } from '../shared/processUsage'
import type { Measurement } from '../shared/measuredTable'

/** Calls per second to the object service, and resource usage of idle processes. */
interface IdleFleet {
  gateways: number
  sidecars: number
  readsPerSecond: number
  writesPerSecond: number
  byKind: Record<string, number>
  gateway: UsageRate
  sidecar: UsageRate
}

/** Call rates and resource usage of a single idle process. */
export interface PlatformCallCost {
  readsPerGateway: number
  readsPerSidecar: number
  writesPerGateway: number
  writesPerSidecar: number
  idleGateway: UsageRate
  idleSidecar: UsageRate
}

const SETTLE_MS = 5_000
const WINDOW_MS = 40_000
const WRITE_KINDS = ['put', 'delete']

/** Measures the calls of idle processes in three small fleets and computes the rates per process from the differences. */
export async function measurePlatformCalls (): Promise<PlatformCallCost> {
  const small = await measureIdleFleet(1, 2)
  const moreSidecars = await measureIdleFleet(1, 8)
  const moreGateways = await measureIdleFleet(5, 2)
  const fleets = [small, moreSidecars, moreGateways]
  const headings = ['gateways', 'sidecars', 'reads/s', 'writes/s', 'gateway core %', 'gateway MB', 'sidecar core %', 'sidecar MB', 'calls/s by kind']
  printTable('Calls of the object service by processes at rest', headings, fleets.map(formatFleet))
  const computeSlope = (larger: IdleFleet, added: number, key: 'readsPerSecond' | 'writesPerSecond') => Math.max(0, (larger[key] - small[key]) / added)
  return {
    readsPerSidecar: computeSlope(moreSidecars, 6, 'readsPerSecond'),
    writesPerSidecar: computeSlope(moreSidecars, 6, 'writesPerSecond'),
    readsPerGateway: computeSlope(moreGateways, 4, 'readsPerSecond'),
    writesPerGateway: computeSlope(moreGateways, 4, 'writesPerSecond'),
    idleGateway: small.gateway,
    idleSidecar: small.sidecar
  }
}

/** Multiplies the rates per process by the target fleet size. */
export function listPlatformBounds (cost: PlatformCallCost): Measurement[] {
  const reads = cost.readsPerGateway * FLEET.gateways + cost.readsPerSidecar * FLEET.sidecars
  const writes = cost.writesPerGateway * FLEET.gateways + cost.writesPerSidecar * FLEET.sidecars
  return [
    { name: 'reads and watches of 960 processes at rest', value: reads, unit: '/s', limit: PLATFORM_BOUNDS.readsPerSecond },
    { name: 'writes of 960 processes at rest', value: writes, unit: '/s', limit: PLATFORM_BOUNDS.writesPerSecond }
  ]
}

async function measureIdleFleet (gateways: number, sidecars: number): Promise<IdleFleet> {
  const fleet = await startBenchFleet({ gateways, engines: sidecars, enginesPerProcess: sidecars, slots: 8, stepMs: 20 })
  try {
    await wait(SETTLE_MS)
    const before = await fetchCounters(fleet.platformUrl)
    const gatewayBefore = readProcessUsage(fleet.gateway.pid)
    const sidecarBefore = readProcessUsage(fleet.sidecars[0]!.pid)
    await wait(WINDOW_MS)
    const after = await fetchCounters(fleet.platformUrl)
    const byKind = Object.fromEntries(Object.keys(after).map(kind => [kind, (after[kind]! - before[kind]!) * 1000 / WINDOW_MS]))
    const writesPerSecond = WRITE_KINDS.reduce((sum, kind) => sum + (byKind[kind] ?? 0), 0)
    const total = Object.values(byKind).reduce((sum, rate) => sum + rate, 0)
    return {
      gateways,
      sidecars,
      byKind,
      writesPerSecond,
      readsPerSecond: total - writesPerSecond,
      gateway: computeUsageRate(gatewayBefore, readProcessUsage(fleet.gateway.pid)),
      sidecar: computeUsageRate(sidecarBefore, readProcessUsage(fleet.sidecars[0]!.pid))
    }
  } finally {
    await fleet.stop()
  }
}

async function fetchCounters (platformUrl: string): Promise<Record<string, number>> {
  const response = await fetch(`${platformUrl}/control/counters`)
  return (await response.json() as { byKind: Record<string, number> }).byKind
}

function formatFleet (fleet: IdleFleet): string[] {
  const { gateway, sidecar } = fleet
  const numbers = [
    fleet.gateways, fleet.sidecars, fleet.readsPerSecond, fleet.writesPerSecond,
    gateway.coreShare * 100, gateway.residentMb, sidecar.coreShare * 100, sidecar.residentMb
  ]
  return [...numbers.map(formatNumber), Object.entries(fleet.byKind).map(([kind, rate]) => `${kind} ${formatNumber(rate)}`).join(', ')]
}

async function wait (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}
