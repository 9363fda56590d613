import * as csp from 'js-csp'
import { Result } from 'true-myth'
import * as z from 'zod'

import { attemptNotificationSchema, attemptStateSchema, sidecarStampSchema, submitResultSchema } from '../protocol/attemptMessages'
import { RpcClient } from '../protocol/rpcClient'

import type { Progress } from '../base/progress'
import type { AttemptState, CancelAttempt, SidecarStamp, SubmitAttempt } from '../protocol/attemptMessages'
import type { RpcCallOptions, RpcNotification } from '../protocol/rpcClient'
import type { RpcError } from '../protocol/rpcError'
import type { AttemptEvent } from './attemptEvent'

const EVENT_BUFFER = 8

/** Timeouts after which a gateway considers the connection to a sidecar lost. */
export interface PeerTimeouts {
  /** Milliseconds until an attempt must be accepted or refused. */
  firstMessageMs: number
  /** Milliseconds without a received message after which the connection is lost. */
  silenceMs: number
}

export interface SidecarPeerOptions {
  address: string
  fleetSecret: string
  timeouts: PeerTimeouts
}

/** Calls the methods of one sidecar, and validates every message received from it. */
export class SidecarPeer {
  readonly #client: RpcClient
  readonly #timeouts: PeerTimeouts

  constructor (options: SidecarPeerOptions) {
    this.#client = new RpcClient(options)
    this.#timeouts = options.timeouts
  }

  get address (): string {
    return this.#client.address
  }

  /** Submits an attempt; returns the channel of its events. */
  submit (params: SubmitAttempt, progress: Progress): csp.Channel<AttemptEvent> {
    return this.#openStream('submitAttempt', params, { progress, ...this.#timeouts })
  }

  /** Reattaches on a new connection to an attempt whose stream was lost. */
  attach (attemptId: string, fromIndex: number, progress: Progress): csp.Channel<AttemptEvent> {
    return this.#openStream('attachAttempt', { attemptId, fromIndex }, { progress, ...this.#timeouts, newConnection: true })
  }

  /**
   * Queries the state of an attempt on a new connection. Fences an attempt that has not arrived, so
   * that the sidecar refuses it from then on.
   */
  async fenceAttempt (attemptId: string, progress: Progress): Promise<Result<AttemptState, RpcError>> {
    const options = { progress, ...this.#timeouts, newConnection: true }
    const answer = await this.#client.call('getAttempt', { attemptId, fence: true }, options)
    return answer.andThen(value => checkMessage(attemptStateSchema, value))
  }

  /** Requests the sidecar's load. */
  async getLoad (progress: Progress): Promise<Result<SidecarStamp, RpcError>> {
    const answer = await this.#client.call('getLoad', {}, { progress, ...this.#timeouts })
    return answer.andThen(value => checkMessage(sidecarStampSchema, value))
  }

  /** Requests cancellation of an attempt; ignores a failure. */
  async cancelAttempt (params: CancelAttempt, progress: Progress): Promise<void> {
    await this.#client.call('cancelAttempt', params, { progress, ...this.#timeouts })
  }

  close (): void {
    this.#client.close()
  }

  #openStream (method: string, params: object, options: RpcCallOptions): csp.Channel<AttemptEvent> {
    const events = csp.chan<AttemptEvent>(EVENT_BUFFER)
    const forwardNotifications = async (raw: RpcNotification[]) => {
      const notifications = raw.map(message => attemptNotificationSchema.parse(message))
      await new Promise<void>(resolve => csp.putAsync(events, { kind: 'notifications', notifications }, () => resolve()))
    }
    this.#client.call(method, params, { ...options, onNotifications: forwardNotifications }).then(answer => {
      const result = answer.andThen(value => checkMessage(submitResultSchema, value))
      csp.putAsync(events, { kind: 'ended', result })
    }, () => {})
    return events
  }
}

function checkMessage<T> (schema: z.ZodType<T>, value: unknown): Result<T, RpcError> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return Result.ok(parsed.data)
  return Result.err({ kind: 'malformed', message: `the sidecar's answer is not valid: ${z.prettifyError(parsed.error).slice(0, 300)}` })
}
