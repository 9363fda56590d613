import { createSeededRandom } from '../standins/shared/seededRandom'

/** A signal sent besides the SIGTERM of a stop, in milliseconds after it; before it if negative. */
export interface FurtherSignal {
  signal: 'SIGTERM' | 'SIGINT' | 'SIGHUP' | 'SIGUSR2'
  afterMs: number
}

/** A pause of the process, counted from the SIGTERM or from the start of the next process. */
export interface StopPause {
  from: 'signal' | 'restart'
  afterMs: number
  forMs: number
}

/** A planned stop of one gateway and what disturbs it. */
export interface DisturbedStop {
  gateway: number
  /** Milliseconds from the start of the action to its SIGTERM. */
  afterMs: number
  signals: FurtherSignal[]
  pause: StopPause | null
}

/** Planned stops that may overlap, or a pause of a gateway that goes on. */
export type DisturbedStopAction =
  | { kind: 'disturbStops', stops: DisturbedStop[], busyProcesses: number }
  | { kind: 'pauseBriefly', gateway: number, forMs: number }

export interface TimedStopAction {
  atMs: number
  action: DisturbedStopAction
}

export interface DisturbedStopsOptions {
  seed: number
  gateways: number
  fromMs: number
  untilMs: number
}

const SEED_OFFSET = 9_000_000
/** Time between actions: long enough for a stop, and for bounds in time to hold again before some of the next. */
const MIN_GAP_MS = 8000
const GAP_RANGE_MS = 5000
const MAX_STOPS_AT_ONCE = 3
const MAX_STOP_DISTANCE_MS = 4000
const MAX_BUSY_PROCESSES = 3
const MAX_FURTHER_SIGNALS = 3
const MAX_SIGNAL_DISTANCE_MS = 7000
/** Time before and after SIGTERM in which SIGHUP comes. */
const RELOAD_DISTANCE_MS = 100
const PAUSES_MS = [300, 800, 1500, 3000]
/** Latest start of a pause in a stop, early enough for the stop to go on after it. */
const MAX_PAUSE_START_MS = 2500
const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR2'] as const

/** Lists stops with further signals, pauses and busy processes beside, and pauses alone. The same seed gives the same list. */
export function listDisturbedStops ({ seed, gateways, fromMs, untilMs }: DisturbedStopsOptions): TimedStopAction[] {
  const random = createSeededRandom(seed + SEED_OFFSET)
  const actions: TimedStopAction[] = []
  for (let atMs = fromMs + random() * GAP_RANGE_MS; atMs < untilMs; atMs += MIN_GAP_MS + random() * GAP_RANGE_MS) {
    const order = chooseOrder(gateways, random)
    // one gateway stays, so that callers have one to go to
    const count = Math.max(1, Math.min(1 + Math.floor(random() * MAX_STOPS_AT_ONCE), gateways - 1))
    const stops = order.slice(0, count).map((gateway, position) => ({
      gateway, afterMs: position === 0 ? 0 : random() * MAX_STOP_DISTANCE_MS, signals: chooseSignals(random), pause: random() < 0.4 ? choosePause(random) : null
    }))
    const busyProcesses = random() < 0.3 ? 1 + Math.floor(random() * MAX_BUSY_PROCESSES) : 0
    actions.push({ atMs, action: { kind: 'disturbStops', stops, busyProcesses } })
    if (random() < 0.5) actions.push({ atMs: atMs + random() * MIN_GAP_MS, action: { kind: 'pauseBriefly', gateway: order.at(-1)!, forMs: choosePauseLength(random) } })
  }
  return actions
}

function chooseSignals (random: () => number): FurtherSignal[] {
  const signals: FurtherSignal[] = []
  if (random() < 0.3) signals.push({ signal: 'SIGHUP', afterMs: -random() * RELOAD_DISTANCE_MS })
  if (random() < 0.3) signals.push({ signal: 'SIGHUP', afterMs: random() * RELOAD_DISTANCE_MS })
  const count = random() < 0.5 ? 0 : 1 + Math.floor(random() * MAX_FURTHER_SIGNALS)
  for (let position = 0; position < count; position++) signals.push({ signal: SIGNALS[Math.floor(random() * SIGNALS.length)]!, afterMs: random() * MAX_SIGNAL_DISTANCE_MS })
  return signals
}

function choosePause (random: () => number): StopPause {
  const forMs = choosePauseLength(random)
  switch (Math.floor(random() * 4)) {
    case 0: return { from: 'signal', afterMs: -forMs - random() * 100, forMs }
    case 1: return { from: 'signal', afterMs: -random() * forMs, forMs }
    case 2: return { from: 'restart', afterMs: 500 + random() * 1500, forMs }
    default: return { from: 'signal', afterMs: random() * MAX_PAUSE_START_MS, forMs }
  }
}

function choosePauseLength (random: () => number): number {
  return PAUSES_MS[Math.floor(random() * PAUSES_MS.length)]!
}

/** Chooses an order of all gateways. */
function chooseOrder (gateways: number, random: () => number): number[] {
  return Array.from({ length: gateways }, (_, index) => ({ index, rank: random() })).sort((one, other) => one.rank - other.rank).map(({ index }) => index)
}
