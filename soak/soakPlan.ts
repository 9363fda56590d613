import { createSeededRandom } from '../standins/shared/seededRandom'
import { listDisturbedStops } from './disturbedStops'

import type { DisturbedStopAction } from './disturbedStops'

/** An action that a soak applies to the fleet. */
export type SoakAction =
  /** Planned stops with further signals, pauses and busy processes beside. */
  | DisturbedStopAction
  /** Planned work: signals, settings, configurations and endpoints that drain. */
  | { kind: 'stopGateway', gateway: number }
  | { kind: 'stopAllInTurn' }
  | { kind: 'reloadSettings', gateway: number, hasSignal: boolean }
  | { kind: 'changeConfig', count: number, gapMs: number }
  | { kind: 'replaceEndpoint', endpoint: number }
  /** Replaces the first `count` endpoints by ones of the next software version. */
  | { kind: 'releaseVersion', count: number, gapMs: number }
  /** Another writer leaves an odd entry among those of the endpoints. */
  | { kind: 'writeOddEntry', entry: number }
  /** An endpoint names a limit, and at the end none any more. */
  | { kind: 'limitEndpoint', endpoint: number, requestsPerSecond: number, forMs: number }
  /** Faults. */
  | { kind: 'killGateway', gateway: number, downMs: number }
  | { kind: 'killAll', downMs: number }
  | { kind: 'pauseGateway', gateway: number, forMs: number }
  | { kind: 'shiftClock', gateway: number, byMs: number, forMs: number | null }
  | { kind: 'disturbLink', link: LinkName, index: number, how: LinkFault, forMs: number }
  | { kind: 'disturbStore', how: StoreFault, forMs: number }
  | { kind: 'crashEndpoint', endpoint: number, downMs: number }
  | { kind: 'disturbEndpoint', endpoint: number, how: EndpointFaultName, forMs: number }

export type LinkName = 'callers' | 'store' | 'endpoint'
export type LinkFault = 'reset' | 'silence' | 'delay' | 'cutForth' | 'cutBack' | 'cutBoth'
export type StoreFault = 'busy' | 'limited' | 'silent' | 'reset' | 'garbled' | 'slow' | 'lostAnswers' | 'lateWrites' | 'forget' | 'lapse' | 'restore'
export type EndpointFaultName = 'failing' | 'cutting' | 'losing' | 'garbling' | 'refusing' | 'slow'

export interface PlannedAction {
  atMs: number
  action: SoakAction
}

export interface SoakPlanOptions {
  seed: number
  durationMs: number
  gateways: number
  endpoints: number
  /** Whether to plan disturbed stops alone, without any other action. */
  hasStopsAlone?: boolean
}

const WARM_UP_MS = 2500
const FAULT_PHASE_MS = 9000
/** Time between faults and planned work, long enough for every bound to hold again. */
const SETTLE_MS = 4500
const MAINTENANCE_PHASE_MS = 6000
/** Final phase without faults, in which requests must be served again. */
export const FINAL_PHASE_MS = 8000
const MAX_ACTION_GAP_MS = 1500
const FAULT_DURATION_RANGE_MS = 2500
/** Factor on the duration of store faults, so that some outages last longer than a removed key may be used. */
const STORE_FAULT_FACTOR = 4
const LONG_OUTAGE_MS = 5500
/** Removes the keys of two versions during an outage of the store. */
const REVOCATION_DURING_OUTAGE: SoakAction = { kind: 'changeConfig', count: 2, gapMs: 100 }

const LINKS: readonly LinkName[] = ['callers', 'store', 'endpoint']
const LINK_FAULTS: readonly LinkFault[] = ['reset', 'silence', 'delay', 'cutForth', 'cutBack', 'cutBoth']
const STORE_FAULTS: readonly StoreFault[] = ['busy', 'limited', 'silent', 'reset', 'garbled', 'slow', 'lostAnswers', 'lateWrites', 'forget', 'lapse', 'restore']
const ENDPOINT_FAULTS: readonly EndpointFaultName[] = ['failing', 'cutting', 'losing', 'garbling', 'refusing', 'slow']
const LIMITS_PER_SECOND = [2, 4.9, 8]
/** A limit lasts until it has to hold, and some seconds longer. */
const MIN_LIMIT_MS = 4000
const LIMIT_DURATION_RANGE_MS = 8000
/** Time that a release takes at most, and until the next one. */
const RELEASE_MS = 6000
const MAX_RELEASE_GAP_MS = 12_000
const RELEASE_SEED_OFFSET = 7_000_000
/** Number of odd entries that can be written. */
export const ODD_ENTRIES = 6
const CLOCK_STEPS_MS = [-30_000, -4000, -700, 700, 4000, 30_000]

/**
 * Builds the timed actions of a soak. Phases of overlapping faults and planned work alternate with phases
 * of planned work alone. Disturbed stops come from random numbers of their own. The same seed gives the same plan.
 */
export function buildSoakPlan (options: SoakPlanOptions): PlannedAction[] {
  const { seed, gateways, durationMs, hasStopsAlone = false } = options
  const endMs = durationMs - FINAL_PHASE_MS
  const plan: PlannedAction[] = hasStopsAlone ? [] : buildFaultPlan(options, endMs)
  plan.push(...listDisturbedStops({ seed, gateways, fromMs: WARM_UP_MS, untilMs: endMs }))
  return plan.sort((one, other) => one.atMs - other.atMs)
}

function buildFaultPlan (options: SoakPlanOptions, endMs: number): PlannedAction[] {
  const random = createSeededRandom(options.seed)
  const plan: PlannedAction[] = []
  let atMs = WARM_UP_MS
  while (atMs < endMs) {
    atMs = addActions(plan, atMs, Math.min(endMs, atMs + FAULT_PHASE_MS), random, () => random() < 0.7 ? chooseFault(options, random) : chooseMaintenance(options, random))
    // time bounds are not checked for a gateway that restarts, so some phases of planned work contain no restarts
    const chooseAction = random() < 0.5 ? chooseMaintenance : chooseRestartFreeMaintenance
    atMs = addActions(plan, atMs + SETTLE_MS, Math.min(endMs, atMs + SETTLE_MS + MAINTENANCE_PHASE_MS), random, () => chooseAction(options, random))
  }
  addReleases(plan, options)
  return plan
}

/** Adds releases, some with an end of all gateways soon afterwards, and odd entries, without changing what a seed plans otherwise. */
function addReleases (plan: PlannedAction[], options: SoakPlanOptions): void {
  const random = createSeededRandom(options.seed + RELEASE_SEED_OFFSET)
  const endMs = options.durationMs - FINAL_PHASE_MS - RELEASE_MS
  for (let atMs = WARM_UP_MS + random() * MAX_RELEASE_GAP_MS; atMs < endMs; atMs += RELEASE_MS + random() * MAX_RELEASE_GAP_MS) {
    plan.push({ atMs, action: { kind: 'releaseVersion', count: 1 + chooseIndex(options.endpoints, random), gapMs: random() * 800 } })
    plan.push({ atMs: atMs + random() * MAX_RELEASE_GAP_MS, action: { kind: 'writeOddEntry', entry: chooseIndex(ODD_ENTRIES, random) } })
    if (random() < 0.4) plan.push({ atMs: atMs + 1000 + random() * 5000, action: { kind: 'killAll', downMs: random() * 500 } })
  }
}

/** Returns whether gateways cannot reach the store for so long that a removed key could stay valid beyond its bound. */
function isLongOutage (action: SoakAction): boolean {
  const isStoreUnreachable = action.kind === 'disturbStore' || (action.kind === 'disturbLink' && action.link === 'store')
  return isStoreUnreachable && action.forMs > LONG_OUTAGE_MS
}

function addActions (plan: PlannedAction[], fromMs: number, untilMs: number, random: () => number, choose: () => SoakAction): number {
  for (let atMs = fromMs + random() * MAX_ACTION_GAP_MS; atMs < untilMs; atMs += random() * MAX_ACTION_GAP_MS) {
    const action = choose()
    plan.push({ atMs, action })
    if (isLongOutage(action)) plan.push({ atMs, action: REVOCATION_DURING_OUTAGE })
  }
  return Math.max(fromMs, untilMs)
}

function chooseMaintenance (options: SoakPlanOptions, random: () => number): SoakAction {
  switch (chooseIndex(6, random)) {
    case 0: return { kind: 'stopGateway', gateway: chooseIndex(options.gateways, random) }
    case 1: return { kind: 'stopAllInTurn' }
    default: return chooseRestartFreeMaintenance(options, random)
  }
}

/** Chooses planned work that restarts no gateway. */
function chooseRestartFreeMaintenance (options: SoakPlanOptions, random: () => number): SoakAction {
  switch (chooseIndex(5, random)) {
    case 0: return { kind: 'reloadSettings', gateway: chooseIndex(options.gateways, random), hasSignal: random() < 0.5 }
    case 1: return { kind: 'replaceEndpoint', endpoint: chooseIndex(options.endpoints, random) }
    case 2: return { kind: 'limitEndpoint', endpoint: chooseIndex(options.endpoints, random), requestsPerSecond: chooseItem(LIMITS_PER_SECOND, random), forMs: MIN_LIMIT_MS + random() * LIMIT_DURATION_RANGE_MS }
    default: return { kind: 'changeConfig', count: 1 + chooseIndex(3, random), gapMs: 50 + random() * 800 }
  }
}

function chooseFault (options: SoakPlanOptions, random: () => number): SoakAction {
  const gateway = chooseIndex(options.gateways, random)
  const endpoint = chooseIndex(options.endpoints, random)
  const forMs = 200 + random() * FAULT_DURATION_RANGE_MS
  switch (chooseIndex(9, random)) {
    case 0: return { kind: 'killGateway', gateway, downMs: random() * 1500 }
    case 1: return { kind: 'killAll', downMs: random() * 1000 }
    case 2: return { kind: 'pauseGateway', gateway, forMs: 2 * forMs }
    case 3: return { kind: 'shiftClock', gateway, byMs: chooseItem(CLOCK_STEPS_MS, random), forMs: random() < 0.5 ? null : forMs }
    case 4: return { kind: 'disturbStore', how: chooseItem(STORE_FAULTS, random), forMs: STORE_FAULT_FACTOR * forMs }
    case 5: return { kind: 'crashEndpoint', endpoint, downMs: random() * 2000 }
    case 6: return { kind: 'disturbEndpoint', endpoint, how: chooseItem(ENDPOINT_FAULTS, random), forMs }
    default: {
      const link = chooseItem(LINKS, random)
      return { kind: 'disturbLink', link, index: link === 'endpoint' ? endpoint : gateway, how: chooseItem(LINK_FAULTS, random), forMs: link === 'store' ? STORE_FAULT_FACTOR * forMs : forMs }
    }
  }
}

function chooseIndex (count: number, random: () => number): number {
  return Math.floor(random() * count)
}

function chooseItem<T> (items: readonly T[], random: () => number): T {
  return items[chooseIndex(items.length, random)]!
}
