import { systemClock } from '../../src/base/clock'
import { ByteBudget } from '../../src/relay/byteBudget'
import { sendToEndpoint } from '../../src/relay/endpointExchange'

import type { Agent } from 'node:http'
import type { ExchangeResult, HeadDecision } from '../../src/relay/endpointExchange'

/** Runs one exchange with the endpoint at a port of this machine, and decides on its answer as given. */
export async function runExchange (port: number, { agent = false, decision = 'collect', connectTimeoutMs = 1000, signal = new AbortController().signal }: { agent?: Agent | false, decision?: HeadDecision, connectTimeoutMs?: number, signal?: AbortSignal } = {}): Promise<ExchangeResult> {
  return await sendToEndpoint({
    agent,
    host: '127.0.0.1',
    port,
    method: 'GET',
    target: '/archive/1',
    headers: ['Host', 'archive.example'],
    body: Buffer.alloc(0),
    clock: systemClock,
    connectTimeoutMs,
    signal,
    budget: new ByteBudget({ guaranteedBytes: 65_536, sharedBytes: 65_536 })
  }, { handleHead: () => decision, handleCollectedChunk: () => {}, handleRelayedChunk: () => true })
}
