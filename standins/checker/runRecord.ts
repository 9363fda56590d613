import type { FleetConfig } from '../../src/config/fleetConfig'
import type { EngineRecord, EngineRun } from '../engine/engineRecord'
import type { CallerRecord } from '../player/callerRecord'
import type { ServiceExecution, ServiceRecord } from '../service/serviceRecord'

/** A gateway's refusal of a request; times are wall-clock milliseconds. */
export interface RefusalDecision {
  /** Time of the request's arrival at the gateway. */
  arrivedAtMs: number
  /** Time at which the last sidecar that had queued the request returned it unexecuted. */
  leftQueueAtMs: number | null
  refusedAtMs: number
}

/** A sidecar's decision to start an attempt, and whether a guaranteed share chose the attempt. */
export interface StartDecision {
  startedAtMs: number
  byShare: boolean
}

/** All records of one run, collected from each kind of process. */
export interface RunRecord {
  config: Pick<FleetConfig, 'classes' | 'endpoints'>
  callers: CallerRecord[]
  engines: EngineRecord[]
  services: ServiceRecord[]
  /** Known decisions of sidecars by attempt identifier. */
  startDecisions: ReadonlyMap<string, StartDecision>
  /** Known decisions of gateways by request identifier. */
  refusalDecisions: ReadonlyMap<string, RefusalDecision>
}

/** One start of a request at an engine or a plain service. */
export interface EndpointStart {
  endpoint: string
  digest: string
  attemptId: string | null
  tier: number
  startedAtMs: number
  /** Time of the sidecar's decision to start; the endpoint's start time if the decision is unknown. */
  decidedAtMs: number
  byShare: boolean
  endedAtMs: number | null
  state: EngineRun['state'] | ServiceExecution['state']
}

/** Lists every start at every endpoint, sorted by decision time. */
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
