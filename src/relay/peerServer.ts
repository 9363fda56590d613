import { HttpListener } from '../base/httpListener'
import { RPC_PATH } from '../protocol/attemptMessages'
import { permitRequestSchema } from '../protocol/permitMessages'
import { RpcServer } from '../protocol/rpcServer'
import { usageUpdateSchema } from '../protocol/usageMessages'
import { listViewSchema, loadUpdateSchema, peerUpdateSchema, watchViewSchema } from '../protocol/viewMessages'

import type { PermitAnswer, PermitRequest } from '../protocol/permitMessages'
import type { UsageAnswer, UsageUpdate } from '../protocol/usageMessages'
import type { LoadUpdate, PeerUpdate } from '../protocol/viewMessages'
import type { SharedViewService } from '../store/sharedViewService'

export interface PeerServerOptions {
  view: SharedViewService
  /** Applies another gateway's update and returns this gateway's. */
  handlePeerUpdate: (update: PeerUpdate) => PeerUpdate
  handleLoadUpdate: (update: LoadUpdate) => LoadUpdate
  handlePermitRequest: (request: PermitRequest) => PermitAnswer
  /** Applies another gateway's usage counts; null where usage is not reported. */
  handleUsageUpdate: ((update: UsageUpdate) => UsageAnswer) | null
}

/** Serves the calls of peer gateways. */
export class PeerServer {
  readonly #listener: HttpListener

  constructor (options: PeerServerOptions) {
    const { view, handlePeerUpdate, handleLoadUpdate, handlePermitRequest, handleUsageUpdate } = options
    // only processes of the fleet can reach this address
    const rpc = new RpcServer({ fleetSecret: null })
    rpc.register('listView', async params => view.answerList(listViewSchema.parse(params).prefix))
    rpc.register('watchView', async (params, call) => {
      const { prefix, afterRevision, waitMs } = watchViewSchema.parse(params)
      return await view.answerWatch(prefix, afterRevision, waitMs, call.closed)
    })
    rpc.register('exchangeNews', async params => handlePeerUpdate(peerUpdateSchema.parse(params)))
    rpc.register('exchangeLoads', async params => handleLoadUpdate(loadUpdateSchema.parse(params)))
    rpc.register('requestPermits', async params => handlePermitRequest(permitRequestSchema.parse(params)))
    if (handleUsageUpdate !== null) rpc.register('exchangeUsage', async params => handleUsageUpdate(usageUpdateSchema.parse(params)))
    this.#listener = new HttpListener({ handlers: { [RPC_PATH]: (request, response) => rpc.handle(request, response) } })
  }

  /** Starts to listen and returns the `host:port` in use. */
  async listen (address: { host: string, port: number }): Promise<string> {
    return await this.#listener.listen(address)
  }

  close (): void {
    this.#listener.close()
  }
}
