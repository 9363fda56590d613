import type { FleetConfig } from '../../src/config/fleetConfig'
import type { EngineRecord, EngineRun } from '../engine/engineRecord'
import type { CallerRecord } from '../player/callerRecord'
import type { ServiceExecution, ServiceRecord } from '../service/serviceRecord'

/** When a gateway refused a request; times are wall milliseconds. */
export interface RefusalDecision {
  /** When the request arrived at the gateway. */
  arrivedAtMs: number
  /** When the last sidecar that had queued the request gave it back. */
  leftQueueAtMs: number | null
  refusedAtMs: number
}

/** When a sidecar decided to start an attempt, and whether a guaranteed share chose it. */
export interface StartDecision {
  startedAtMs: number
  byShare: boolean
}

/** Everything that one run left behind, gathered from each kind of process. */
export interface RunRecord {
  config: Pick<FleetConfig, 'classes' | 'endpoints'>
  callers: CallerRecord[]
  engines: EngineRecord[]
  services: ServiceRecord[]
  /** Decisions of sidecars by attempt identifier, where known. */
  startDecisions: ReadonlyMap<string, StartDecision>
  /** Decisions of gateways by their request identifier, where known. */
  refusalDecisions: ReadonlyMap<string, RefusalDecision>
}

/** One start at an endpoint, of an engine or a plain service alike. */
export interface EndpointStart {
  endpoint: string
  digest: string
  attemptId: string | null
  tier: number
  startedAtMs: number
  /** When its sidecar decided to start it; where that is unknown, when the endpoint started it. */
  decidedAtMs: number
  byShare: boolean
  endedAtMs: number | null
  state: EngineRun['state'] | ServiceExecution['state']
}

/** Lists every start at every endpoint, in the order of the decisions. */
export function listStarts (record: RunRecord): EndpointStart[] {
  const runs = record.engines.flatMap(engine => engine.runs.flatMap(run =>
    run.startedAtMs === null ? [] : [{ ...run, startedAtMs: run.startedAtMs }]))
  const executions = record.services.flatMap(service => service.executions)
  const starts = [...runs, ...executions].map(start => {
    const decision = record.startDecisions.get(start.attemptId ?? '')
    return { ...start, tier: start.priority, decidedAtMs: decision?.startedAtMs ?? start.startedAtMs, byShare: decision?.byShare ?? false }
  })
  return starts.sort((left, right) => left.decidedAtMs - right.decidedAtMs)
}
