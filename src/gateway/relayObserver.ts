import type { NotRunReason } from '../protocol/attemptMessages'
import type { CallerRequest } from './callerRequest'

/** Receives the events of callers' requests, for metrics and logs. */
export interface RelayObserver {
  recordOffer (request: CallerRequest, attemptId: string, endpointName: string): void
  recordNotRun (request: CallerRequest, attemptId: string, reason: NotRunReason | 'unreachable'): void
  recordRetry (request: CallerRequest, attemptId: string, reason: string): void
  recordStreamLost (request: CallerRequest, attemptId: string, message: string): void
  recordRefusal (request: CallerRequest, code: string): void
}
