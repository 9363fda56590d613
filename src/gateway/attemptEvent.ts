import type { Result } from 'true-myth'
import type { AttemptNotification, SubmitResult } from '../protocol/attemptMessages'
import type { RpcError } from '../protocol/rpcError'

/** What a gateway hears of one attempt, in order; `ended` comes last, once. */
export type AttemptEvent =
  | { kind: 'notifications', notifications: AttemptNotification[] }
  | { kind: 'ended', result: Result<SubmitResult, RpcError> }
