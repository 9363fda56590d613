import { RpcClient } from '../protocol/rpcClient'

import type { Progress } from '../base/progress'

const CALL_TIMEOUTS = { firstMessageMs: 2000, silenceMs: 3000 }

/**
 * Calls one JSON-RPC method of a peer process over a new connection.
 *
 * @throws Error with the peer's address and the cause when the call fails
 */
export async function callPeer (peer: { address: string, fleetSecret: string }, method: string, params: unknown, progress: Progress): Promise<unknown> {
  const client = new RpcClient(peer)
  const answer = await client.call(method, params, { progress, ...CALL_TIMEOUTS, newConnection: true })
  client.close()
  if (answer.isErr) throw new Error(`${peer.address} returned no result for '${method}': ${answer.error.message}`)
  return answer.value
}
