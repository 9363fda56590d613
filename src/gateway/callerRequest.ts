import type { ServiceClass, Workspace } from '../config/fleetConfig'
import type { AttemptTarget } from '../protocol/attemptMessages'

/** A request of a caller, authenticated, classified and validated. */
export interface CallerRequest {
  requestId: string
  workspace: Workspace
  serviceClass: ServiceClass
  /** Whether the request may run again after an attempt whose outcome is unknown. */
  idempotent: boolean
  /** Key under which the caller may retry the request. Claims of keys are scoped to the workspace. */
  idempotencyKey: string | undefined
  /** Digest of workspace, target and body; equal requests have equal fingerprints. */
  fingerprint: string
  target: AttemptTarget
  /** Whether the caller wants the answer as a stream of events. */
  stream: boolean
  /** Monotonic milliseconds at which the request's header arrived. */
  arrivedAtMs: number
}
