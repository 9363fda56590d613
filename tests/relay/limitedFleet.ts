import { findFreePorts } from '../../standins/shared/freePorts'
import { MemoryObjectStore } from '../fakes/memoryObjectService'
import { playAtRate } from '../fixtures/pacedLoad'
import { answerWhole, buildPeerSettings, buildPlatformConfig, sendRequest, startEndpoint, startRelay } from './relayFixture'

import type { EndpointFixture, RawAnswer, RelayFixture } from './relayFixture'

/** Several gateways in three failure domains before one endpoint that names a limit and one that does not. */
export interface LimitedFleet {
  gateways: RelayFixture[]
  limited: EndpointFixture
  unlimited: EndpointFixture
  /** Times at which requests reached the limited endpoint, in milliseconds of `performance.now()`. */
  arrivalsMs: number[]
  close (): Promise<void>
}

export interface LimitedFleetOptions {
  gateways: number
  /** Value of the limit header of the next answer; null for no header. */
  getLimit: () => string | null
  /** Status of the limited endpoint's answers. */
  status?: string
  /** Whether the limited endpoint is the only one. */
  isAlone?: boolean
}

export async function startLimitedFleet ({ gateways: count, getLimit, status = '200 OK', isAlone = false }: LimitedFleetOptions): Promise<LimitedFleet> {
  const arrivalsMs: number[] = []
  const limited = await startEndpoint('e-limited', request => {
    arrivalsMs.push(performance.now())
    const limit = getLimit()
    answerWhole(request, 'limited', status, limit === null ? [] : [`Server-Limit: ${limit}`])
  })
  const unlimited = await startEndpoint('e-unlimited', request => answerWhole(request, 'unlimited'))
  const store = new MemoryObjectStore()
  const ports = await findFreePorts(count)
  const gateways = await Promise.all(ports.map(async (_port, index) => {
    const endpoints = index > 0 ? [] : isAlone ? [limited] : [limited, unlimited]
    return await startRelay(buildPlatformConfig(), endpoints, buildPeerSettings(ports, index), store)
  }))
  return {
    gateways,
    limited,
    unlimited,
    arrivalsMs,
    close: async () => {
      await Promise.all(gateways.map(async gateway => await gateway.close()))
      limited.close()
      unlimited.close()
    }
  }
}

/** Sends `ratePerSecond` requests per second for some milliseconds, to the gateways in turn. Returns all answers. */
export async function playRequests (gateways: readonly RelayFixture[], ratePerSecond: number, milliseconds: number): Promise<RawAnswer[]> {
  const startedAtMs = performance.now()
  return await playAtRate(ratePerSecond, milliseconds, async index => await sendRequest(gateways[index % gateways.length]!, { id: `p-${startedAtMs}-${index}` }))
}
