import type { FleetConfig } from '../../src/config/fleetConfig'
import type { EngineRecord, EngineRun } from '../engine/engineRecord'
import type { CallerRecord } from '../player/callerRecord'
import type { ServiceExecution, ServiceRecord } from '../service/serviceRecord'

/** When a gateway decided on a request; times are wall milliseconds. */
export interface GatewayDecision {
  requestId: string
  arrivedAtMs: number
  /** When the request, or a queue entry of it, was last known to wait for its turn. */
  leftQueueAtMs: number | null
  refusedAtMs: number
}

/** Everything that one run left behind, gathered from each kind of process. */
export interface RunRecord {
  config: Pick<FleetConfig, 'classes' | 'endpoints'>
  callers: CallerRecord[]
  engines: EngineRecord[]
  services: ServiceRecord[]
  /** Attempts that a sidecar started by a class's guaranteed share. */
  shareStarts: ReadonlySet<string>
  /** Decisions of gateways by their request identifier, where known. */
  decisions: ReadonlyMap<string, GatewayDecision>
}

/** One start at an endpoint, of an engine or a plain service alike. */
export interface EndpointStart {
  endpoint: string
  digest: string
  attemptId: string | null
  tier: number
  startedAtMs: number
  endedAtMs: number | null
  state: EngineRun['state'] | ServiceExecution['state']
}

/** Lists every start at every endpoint, in the order of time. */
export function listStarts (record: RunRecord): EndpointStart[] {
  const engineStarts = record.engines.flatMap(engine => engine.runs.flatMap(run =>
    run.startedAtMs === null ? [] : [{ ...run, tier: run.priority, startedAtMs: run.startedAtMs }]))
  const serviceStarts = record.services.flatMap(service =>
    service.executions.map(execution => ({ ...execution, tier: execution.priority })))
  return [...engineStarts, ...serviceStarts].sort((left, right) => left.startedAtMs - right.startedAtMs)
}
