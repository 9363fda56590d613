import type { Result } from 'true-myth'
import type { AttemptNotification, SubmitResult } from '../protocol/attemptMessages'
import type { RpcError } from '../protocol/rpcError'

/** An event of one attempt, as a gateway receives them in order. `ended` comes last, exactly once. */
export type AttemptEvent =
  | { kind: 'notifications', notifications: AttemptNotification[] }
  | { kind: 'ended', result: Result<SubmitResult, RpcError> }
