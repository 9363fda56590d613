import { CONTROL_BOUNDS, FLEET, GATEWAY_REQUESTS_PER_SECOND, SECONDS_PER_DAY, SIDECAR_REQUESTS_PER_SECOND } from './fleetSize'

import type { Measurement } from '../shared/measuredTable'
import type { ConfigSizeCost } from './configSize'
import type { GatewayViewCost } from './gatewayView'
import type { MessageBytes } from './messageBytes'

const POLL_PERIOD_S = 3
const WATCH_PERIOD_S = 30
const STAMPS_PER_OFFER = 2
/** A restart removes one registration and adds one. A replacement after a failure does the same. */
const CHANGES_PER_RESTART = 2
const MS_PER_SECOND = 1000

const changesPerSecond = FLEET.configChangesPerDay / SECONDS_PER_DAY
const membershipChangesPerSecond = (FLEET.restartsPerDay + FLEET.failuresPerDay) * CHANGES_PER_RESTART / SECONDS_PER_DAY

/** Sums the control costs of a gateway at the target size: measured costs per event times the event rates of the fleet. */
export function listGatewayBudget (view: GatewayViewCost, config: ConfigSizeCost, messages: MessageBytes): Measurement[] {
  const processorMs = view.instancePoll.processorMs / POLL_PERIOD_S +
    view.watchCycle.processorMs / WATCH_PERIOD_S +
    view.choice.processorMs * GATEWAY_REQUESTS_PER_SECOND +
    view.sidecarChange.processorMs * membershipChangesPerSecond +
    (config.changeMs + config.keysMs) * changesPerSecond
  const bytes = view.instancePoll.bytes / POLL_PERIOD_S +
    view.watchCycle.bytes / WATCH_PERIOD_S +
    view.sidecarChange.bytes * membershipChangesPerSecond +
    config.changeBytes * changesPerSecond +
    messages.stamp * STAMPS_PER_OFFER * GATEWAY_REQUESTS_PER_SECOND
  return listBounds('gateway', processorMs, view.heapMb + config.configHeapMb + config.keysHeapMb, bytes)
}

/** Sums the control costs of a sidecar, which holds the configuration but no view of peers. */
export function listSidecarBudget (config: ConfigSizeCost, messages: MessageBytes): Measurement[] {
  const bytes = config.changeBytes * changesPerSecond + messages.stamp * STAMPS_PER_OFFER * SIDECAR_REQUESTS_PER_SECOND
  return listBounds('sidecar', config.changeMs * changesPerSecond, config.configHeapMb, bytes)
}

function listBounds (role: string, processorMs: number, heapMb: number, bytesPerSecond: number): Measurement[] {
  return [
    { name: `${role}: control, processor`, value: processorMs * 100 / MS_PER_SECOND, unit: '% of a core', limit: CONTROL_BOUNDS.coreShare * 100 },
    { name: `${role}: control state, heap`, value: heapMb, unit: 'MB', limit: CONTROL_BOUNDS.memoryMb },
    { name: `${role}: control, bytes`, value: bytesPerSecond, unit: 'B/s', limit: CONTROL_BOUNDS.bytesPerSecond }
  ]
}
