import * as z from 'zod'

import { cancelAttemptSchema, getAttemptSchema, submitAttemptSchema } from '../protocol/attemptMessages'
import { Attempt } from './attempt'
import { createNotRun } from './outcomes'

import type { Clock } from '../base/clock'
import type { AttemptNotification, AttemptState, CancelAttempt, SidecarStamp, SubmitAttempt, SubmitResult } from '../protocol/attemptMessages'
import type { RpcCall, RpcServer } from '../protocol/rpcServer'
import type { AttemptListener } from './attempt'
import type { AttemptRegistry } from './attemptRegistry'
import type { Dispatcher } from './dispatcher'

const attachAttemptSchema = z.object({ attemptId: z.string().max(120), fromIndex: z.number().int().nonnegative() })

export interface SidecarRpcOptions {
  clock: Clock
  registry: AttemptRegistry
  dispatcher: Dispatcher
  getStamp: () => SidecarStamp
  /** Called for each attempt that arrives, before it is queued. */
  onSubmit: (params: SubmitAttempt) => void
  onEnd: (attempt: Attempt) => void
}

/** Serves the JSON-RPC methods through which gateways use this sidecar's endpoint. */
export class SidecarRpc {
  readonly #options: SidecarRpcOptions

  constructor (options: SidecarRpcOptions) {
    this.#options = options
  }

  /** Registers the methods at `server`. */
  registerMethods (server: RpcServer): void {
    server.register('submitAttempt', (params, call) => this.#submit(submitAttemptSchema.parse(params), call))
    server.register('attachAttempt', (params, call) => this.#attach(attachAttemptSchema.parse(params), call))
    server.register('getAttempt', async params => this.#getAttempt(getAttemptSchema.parse(params)))
    server.register('cancelAttempt', async params => this.#cancel(cancelAttemptSchema.parse(params)))
    server.register('getLoad', async () => this.#options.getStamp())
  }

  async #submit (params: SubmitAttempt, call: RpcCall): Promise<SubmitResult> {
    const { registry, dispatcher, clock, getStamp, onEnd } = this.#options
    this.#options.onSubmit(params)
    if (registry.isFenced(params.attemptId)) return { outcome: createNotRun('fenced', 0), stamp: getStamp() }
    if (registry.find(params.attemptId)) return { outcome: createNotRun('alreadyInProgress', 0), stamp: getStamp() }
    const attempt = new Attempt({ params, receivedAtMs: clock.getMonotonicMs(), getStamp, onEnd })
    registry.add(attempt)
    const result = this.#listen(attempt, call, 0)
    dispatcher.submit(attempt)
    return await result
  }

  async #attach (params: { attemptId: string, fromIndex: number }, call: RpcCall): Promise<SubmitResult> {
    const attempt = this.#options.registry.find(params.attemptId)
    if (attempt === undefined) throw new Error(`attempt ${params.attemptId} is not known here; ask getAttempt what became of it`)
    return await this.#listen(attempt, call, params.fromIndex)
  }

  async #listen (attempt: Attempt, call: RpcCall, fromIndex: number): Promise<SubmitResult> {
    const { clock } = this.#options
    return await new Promise(resolve => {
      const listener: AttemptListener = {
        notify: (notifications: AttemptNotification[]) => call.notify(notifications),
        finish: result => resolve(result)
      }
      call.closed.addEventListener('abort', () => attempt.detach(listener, clock.getMonotonicMs()), { once: true })
      attempt.attach(listener, fromIndex, clock.getMonotonicMs())
    })
  }

  #getAttempt (params: { attemptId: string, fence: boolean }): AttemptState {
    const { registry, getStamp } = this.#options
    const attempt = registry.find(params.attemptId)
    if (attempt === undefined) {
      if (params.fence) registry.fence(params.attemptId)
      return { state: 'unknown', stamp: getStamp() }
    }
    return { state: attempt.phase, outcome: attempt.outcome ?? undefined, stamp: getStamp() }
  }

  #cancel ({ attemptId, onlyQueued }: CancelAttempt): { isKnown: boolean } {
    const isKnown = this.#options.registry.find(attemptId) !== undefined
    if (isKnown) this.#options.dispatcher.cancel(attemptId, { onlyQueued })
    else this.#options.registry.fence(attemptId)
    return { isKnown }
  }
}
