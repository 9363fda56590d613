import { systemClock } from '../../src/base/clock'
import { createLogger } from '../../src/base/logger'
import { Progress } from '../../src/base/progress'
import { waitFor } from '../../src/store/channels'
import { ConfigFollower } from '../../src/store/configFollower'
import { ConfigPublisher } from '../../src/store/configPublisher'
import { HttpObjectService } from '../../src/store/httpObjectService'
import { createConfigAnswer, getConfigSchema, RpcPeerConfigSource } from '../../src/store/peerConfig'
import { startPlatform } from '../../standins/platform/platformServer'
import { buildLargeTree, updateFirstWorkspace } from './configSizes'

import type { FleetTree } from '../../src/config/fleetSchema'
import type { PlatformServer } from '../../standins/platform/platformServer'

const WORKSPACE_COUNT = 100
const OFFERED_GATEWAYS = 3
const TIMEOUT_MS = 30_000
const READS_PER_SECOND = 2_000
const WRITES_PER_SECOND = 400
const SETTLE_MS = 3_000
const POLL_MS = 50

/** Times until one accepted change was applied at every process. */
export interface ApplyTimes {
  processes: number
  /** Milliseconds from acceptance until the last process applied the change, with the platform available. */
  withPlatformMs: number
  /** The same with a platform outage from acceptance on. Only three processes receive the change directly. */
  duringOutageMs: number
}

/**
 * Measures the times until a change is applied, over HTTP and with a platform that limits its call rates.
 * All followers share this process, and peers call each other directly, without a network.
 */
export async function measureApplyTimes (processes: number): Promise<ApplyTimes> {
  const platform = await startPlatform({ readsPerSecond: READS_PER_SECOND, writesPerSecond: WRITES_PER_SECOND })
  const fleet = new FollowerFleet(platform, processes)
  try {
    const tree = buildLargeTree(WORKSPACE_COUNT)
    await fleet.apply(tree)
    fleet.start()
    await fleet.waitForAll(1)
    await fleet.waitUntilSettled()
    const withPlatformMs = await fleet.measureChange(updateFirstWorkspace(tree, 20), false)
    await fleet.waitUntilSettled()
    const duringOutageMs = await fleet.measureChange(updateFirstWorkspace(tree, 30), true)
    return { processes, withPlatformMs, duringOutageMs }
  } finally {
    await fleet.stop()
  }
}

class FollowerFleet {
  readonly #platform: PlatformServer
  readonly #services: HttpObjectService[]
  readonly #followers: ConfigFollower[]
  readonly #publisherService: HttpObjectService
  readonly #publisher: ConfigPublisher

  constructor (platform: PlatformServer, count: number) {
    this.#platform = platform
    this.#services = Array.from({ length: count }, () => new HttpObjectService({ baseUrl: platform.url }))
    this.#publisherService = new HttpObjectService({ baseUrl: platform.url, callsPerSecond: 200, callBurst: 400 })
    this.#publisher = new ConfigPublisher(this.#publisherService, { appliedBy: 'bench', clock: systemClock })
    const peers = Array.from({ length: Math.min(OFFERED_GATEWAYS, count) }, (_, index) => String(index))
    const peerSource = new RpcPeerConfigSource(async (address, _method, params) =>
      JSON.parse(JSON.stringify(createConfigAnswer(this.#followers[Number(address)]!, getConfigSchema.parse(params)))))
    const logger = createLogger('bench', 'silent')
    this.#followers = this.#services.map(service => new ConfigFollower({ service, peerSource, peers, clock: systemClock, getRandom: Math.random, logger }))
  }

  start (): void {
    for (const follower of this.#followers) follower.start()
  }

  async apply (tree: FleetTree): Promise<void> {
    const result = await this.#publisher.publish(tree, createProgress())
    if (result.isErr) throw new Error(JSON.stringify(result.error))
  }

  async waitForAll (generation: number): Promise<void> {
    await Promise.all(this.#followers.map(async follower => await follower.waitForConfig(createProgress(), generation)))
  }

  /** Waits until every process watches the platform again and the platform's read rate limit has refilled. */
  async waitUntilSettled (): Promise<void> {
    const progress = createProgress()
    await waitFor(SETTLE_MS)
    while (this.#followers.some(follower => follower.getState().platformFailuresInRow > 0)) {
      await progress.wait('all processes to watch the platform', waitFor(POLL_MS))
    }
  }

  /** Measures the time from acceptance until all followers have the change. With an outage, only three followers receive it directly. */
  async measureChange (tree: FleetTree, isOutage: boolean): Promise<number> {
    let acceptedMs = 0
    const result = await this.#publisher.publish(tree, createProgress(), {
      onAccepted: async ({ manifest, parts }) => {
        acceptedMs = performance.now()
        if (!isOutage) return
        await this.#platform.setFaults({ outage: 'answer503' })
        for (const follower of this.#followers.slice(0, OFFERED_GATEWAYS)) await follower.receiveOffer({ manifest, parts })
      }
    })
    if (result.isErr) throw new Error(JSON.stringify(result.error))
    await this.waitForAll(result.value.manifest.generation)
    return performance.now() - acceptedMs
  }

  async stop (): Promise<void> {
    for (const follower of this.#followers) follower.stop()
    for (const service of [...this.#services, this.#publisherService]) service.close()
    await this.#platform.close()
  }
}

function createProgress (): Progress {
  return new Progress({ title: 'measuring the time until a change is applied', timeoutMs: TIMEOUT_MS })
}
