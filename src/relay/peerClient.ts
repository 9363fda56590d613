import { Result } from 'true-myth'
import * as z from 'zod'

import { RpcClient } from '../protocol/rpcClient'
import { permitAnswerSchema } from '../protocol/permitMessages'
import { usageAnswerSchema } from '../protocol/usageMessages'
import { loadUpdateSchema, peerUpdateSchema, viewAnswerSchema } from '../protocol/viewMessages'

import type { Progress } from '../base/progress'
import type { PermitAnswer, PermitRequest } from '../protocol/permitMessages'
import type { UsageAnswer, UsageUpdate } from '../protocol/usageMessages'
import type { LoadUpdate, PeerUpdate, ViewAnswer } from '../protocol/viewMessages'
import type { RpcError } from '../protocol/rpcError'
import type { ViewReader } from '../store/sharedViewService'

/** Calls another gateway and validates its answers. */
export class PeerClient implements ViewReader {
  readonly id: string
  readonly #client: RpcClient

  constructor (options: { id: string, address: string }) {
    this.id = options.id
    this.#client = new RpcClient({ address: options.address, fleetSecret: null })
  }

  get address (): string {
    return this.#client.address
  }

  async listView (prefix: string, progress: Progress): Promise<Result<ViewAnswer, string>> {
    return await this.#call('listView', { prefix }, viewAnswerSchema, progress)
  }

  async watchView (prefix: string, afterRevision: number, waitMs: number, progress: Progress): Promise<Result<ViewAnswer, string>> {
    return await this.#call('watchView', { prefix, afterRevision, waitMs }, viewAnswerSchema, progress)
  }

  /** Sends this gateway's update and returns the other gateway's. */
  async sendPeerUpdate (update: PeerUpdate, progress: Progress): Promise<Result<PeerUpdate, string>> {
    return await this.#call('exchangeNews', update, peerUpdateSchema, progress)
  }

  /** Sends the load that this gateway knows of and returns the load that the other one knows of. */
  async sendLoadUpdate (update: LoadUpdate, progress: Progress): Promise<Result<LoadUpdate, string>> {
    return await this.#call('exchangeLoads', update, loadUpdateSchema, progress)
  }

  /** Requests permits to send to an endpoint whose limit the other gateway keeps. */
  async requestPermits (request: PermitRequest, progress: Progress): Promise<Result<PermitAnswer, string>> {
    return await this.#call('requestPermits', request, permitAnswerSchema, progress)
  }

  /** Tells counts of requests that began. */
  async sendUsageUpdate (update: UsageUpdate, progress: Progress): Promise<Result<UsageAnswer, string>> {
    return await this.#call('exchangeUsage', update, usageAnswerSchema, progress)
  }

  close (): void {
    this.#client.close()
  }

  async #call<T> (method: string, params: object, schema: z.ZodType<T>, progress: Progress): Promise<Result<T, string>> {
    const waitMs = progress.getRemainingMs()
    const answer = await this.#client.call(method, params, { progress, firstMessageMs: waitMs, silenceMs: waitMs })
    return answer.mapErr(describeError).andThen(value => {
      const parsed = schema.safeParse(value)
      return parsed.success ? Result.ok<T, string>(parsed.data) : Result.err<T, string>(`invalid answer to '${method}': ${z.prettifyError(parsed.error).slice(0, 300)}`)
    })
  }
}

function describeError (error: RpcError): string {
  return `${error.kind}: ${error.message}`
}
