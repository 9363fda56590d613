import { expect } from 'chai'

import { ManualClock } from '../src/base/clock'
import { createLogger } from '../src/base/logger'
import { Progress } from '../src/base/progress'
import { ConfigFollower } from '../src/store/configFollower'
import { ConfigPublisher } from '../src/store/configPublisher'
import { MANIFEST_KEY, PARTS_PREFIX } from '../src/store/keys'
import { createConfigAnswer, getConfigSchema, MAX_MESSAGE_TEXT_LENGTH, RpcPeerConfigSource } from '../src/store/peerConfig'
import { MemoryObjectService, MemoryObjectStore } from './fakes/memoryObjectService'
import { buildFleetTree, updateWorkspace } from './fixtures/fleetTree'

import type { FleetTree } from '../src/config/fleetSchema'
import type { PeerCaller } from '../src/store/peerConfig'

const TIMING = { watchMs: 40, watchGraceMs: 100, readTimeoutMs: 200, fetchTimeoutMs: 500, fetchJitterMs: 1, watchJitterMs: 1, minBackoffMs: 1, maxBackoffMs: 5 }

describe('ConfigFollower', () => {
  it('should bring one accepted configuration into force at every process, even with two racing operators', async () => {
    await withFleet(async fleet => {
      const processes = [fleet.startProcess(), fleet.startProcess()]
      await fleet.publish(buildFleetTree({ deadlineMs: 1_000 }), 'anna')
      await Promise.all([fleet.publish(buildFleetTree({ deadlineMs: 2_000 }), 'anna'), fleet.publish(buildFleetTree({ deadlineMs: 3_000 }), 'bert')])
      const configs = await Promise.all(processes.map(async process => await process.follower.waitForConfig(createProgress(), 2)))
      const deadlines = configs.map(config => config.classes.get('quote')?.deadlineMs)
      expect(new Set(deadlines).size).to.equal(1)
      expect(configs.map(config => config.generation)).to.deep.equal([2, 2])
    })
  })

  it('should spread through peers when the platform fails right after the configuration was accepted', async () => {
    await withFleet(async fleet => {
      await fleet.publish(buildFleetTree())
      const processes = [fleet.startProcess(), fleet.startProcess(), fleet.startProcess()]
      for (const process of processes) await process.follower.waitForConfig(createProgress())
      const [reached, ...others] = processes
      for (const process of others) process.service.setFaults({ outage: true })
      await fleet.publish(buildFleetTree({ deadlineMs: 2_000 }))
      await reached?.follower.waitForConfig(createProgress(), 2)
      reached?.service.setFaults({ outage: true })
      for (const process of others) process.follower.notifyGeneration(2, reached?.address ?? '')
      for (const process of others) {
        const config = await process.follower.waitForConfig(createProgress(), 2)
        expect(config.classes.get('quote')?.deadlineMs).to.equal(2_000)
        expect(process.follower.getState().source).to.equal(`peer ${reached?.address}`)
      }
    })
  })

  it('should fetch a higher generation from the peer that reports it while its own watches return nothing', async () => {
    await withFleet(async fleet => {
      const [reached, behind] = [fleet.startProcess(), fleet.startProcess()]
      await fleet.publish(buildFleetTree())
      await behind.follower.waitForConfig(createProgress())
      behind.service.setFaults({ holdWatches: true })
      await fleet.publish(buildFleetTree({ deadlineMs: 2_000 }))
      await reached.follower.waitForConfig(createProgress(), 2)
      behind.follower.notifyGeneration(2, reached.address)
      await behind.follower.waitForConfig(createProgress(), 2)
      expect(behind.follower.getState()).to.deep.include({ source: `peer ${reached.address}`, platformFailuresInRow: 0 })
    })
  })

  it('should fetch the configuration from a peer in its settings when it starts during an outage', async () => {
    await withFleet(async fleet => {
      const running = fleet.startProcess()
      await fleet.publish(buildFleetTree({ workspaceCount: 4_000 }))
      await running.follower.waitForConfig(createProgress())
      const started = fleet.startProcess({ peers: ['127.0.0.1:1', running.address], outage: true })
      const config = await started.follower.waitForConfig(createProgress())
      expect(config.workspaces.size).to.equal(4_000)
      expect(fleet.largestAnswer).to.be.within(1, MAX_MESSAGE_TEXT_LENGTH)
    })
  })

  it('should read no part from the platform when it starts and a peer has the parts', async () => {
    await withFleet(async fleet => {
      const running = fleet.startProcess()
      await fleet.publish(buildFleetTree({ workspaceCount: 2_000 }))
      await running.follower.waitForConfig(createProgress())
      const started = fleet.startProcess({ peers: [running.address] })
      await started.follower.waitForConfig(createProgress())
      expect(started.service.calls.get).to.equal(0)
      expect(running.service.calls.get).to.be.above(100)
    })
  })

  it('should have no configuration in force when neither the platform nor a peer has a complete one', async () => {
    await withFleet(async fleet => {
      const started = fleet.startProcess({ peers: ['127.0.0.1:1'], outage: true })
      await waitUntil(() => started.follower.getState().platformFailuresInRow >= 3)
      expect(started.follower.getCurrent()).to.equal(null)
    })
  })

  it('should never go back to a lower generation when an old version is delivered late', async () => {
    await withFleet(async fleet => {
      const { service, follower } = fleet.startProcess()
      const first = await fleet.publish(buildFleetTree({ deadlineMs: 1_000 }))
      const old = fleet.store.objects.get(MANIFEST_KEY)
      await fleet.publish(buildFleetTree({ deadlineMs: 2_000 }))
      await follower.waitForConfig(createProgress(), 2)
      const seen: number[] = []
      follower.watchConfig(config => seen.push(config.generation))
      if (old !== undefined) service.setFaults({ injectedBatches: [{ events: [{ kind: 'put', object: old }], revision: fleet.store.revision }] })
      await waitUntil(() => service.faults.injectedBatches.length === 0)
      expect(await follower.receiveOffer(first)).to.deep.equal({ generation: 2, missing: [] })
      await fleet.publish(buildFleetTree({ deadlineMs: 3_000 }))
      await follower.waitForConfig(createProgress(), 3)
      expect(seen).to.deep.equal([3])
    })
  })

  it('should never apply incomplete parts, and continue with the next complete configuration', async () => {
    await withFleet(async fleet => {
      const { follower } = fleet.startProcess()
      await fleet.publish(buildFleetTree({ deadlineMs: 1_000 }))
      await follower.waitForConfig(createProgress())
      const manifest = fleet.store.objects.get(MANIFEST_KEY)?.value as { parts: object[] }
      fleet.store.put(`${PARTS_PREFIX}half`, '{"classes":{"quo')
      fleet.store.put(MANIFEST_KEY, { ...manifest, generation: 2, parts: [...manifest.parts, { name: 'workspaces/0', digest: 'half' }] })
      await waitUntil(() => follower.getState().lastPlatformFailure !== null)
      expect(follower.getGeneration()).to.equal(1)
      expect(follower.getState().lastPlatformFailure).to.match(/part workspaces\/0 \(half\) is missing/)
      await fleet.publish(buildFleetTree({ deadlineMs: 3_000 }))
      const config = await follower.waitForConfig(createProgress(), 3)
      expect(config.classes.get('quote')?.deadlineMs).to.equal(3_000)
    })
  })

  it('should recover when a watch never returns', async () => {
    await withFleet(async fleet => {
      const { service, follower } = fleet.startProcess()
      await fleet.publish(buildFleetTree())
      await follower.waitForConfig(createProgress())
      service.watch = async () => await new Promise(() => {})
      await waitUntil(() => follower.getState().platformFailuresInRow >= 1)
      await fleet.publish(buildFleetTree({ deadlineMs: 2_000 }))
      expect((await follower.waitForConfig(createProgress(), 2)).generation).to.equal(2)
    })
  })

  it('should fetch no part that it already has or that is inline in the manifest', async () => {
    await withFleet(async fleet => {
      const { service, follower } = fleet.startProcess()
      const tree = buildFleetTree({ workspaceCount: 2_000 })
      await fleet.publish(tree)
      await follower.waitForConfig(createProgress())
      const before = service.calls.get
      const workspace = follower.getCurrent()?.workspaces.get('workspace-1')
      await fleet.publish(updateWorkspace(tree, 'workspace-0', 5))
      const config = await follower.waitForConfig(createProgress(), 2)
      expect(config.workspaces.get('workspace-0')?.requestsPerSecond).to.equal(5)
      expect(service.calls.get).to.equal(before)
      expect(config.workspaces.get('workspace-1')).to.equal(workspace)
    })
  })

  it('should accept an offer of its publisher, and list the missing parts', async () => {
    await withFleet(async fleet => {
      await fleet.publish(buildFleetTree({ workspaceCount: 2_000 }))
      const publication = await fleet.publish(buildFleetTree({ workspaceCount: 2_000, deadlineMs: 2_000 }))
      const { follower } = fleet.startProcess({ outage: true })
      const { manifest, parts } = publication
      const first = await follower.receiveOffer({ manifest, parts: [] })
      expect(first.generation).to.equal(0)
      expect(first.missing.length).to.be.above(10)
      const second = await follower.receiveOffer({ manifest, parts: parts.filter(part => first.missing.includes(part.digest)) })
      expect(second).to.deep.equal({ generation: 2, missing: [] })
    })
  })
})

/** Processes that share one store in memory and call each other directly, without a network. */
class Fleet {
  readonly store = new MemoryObjectStore()
  readonly #followers = new Map<string, ConfigFollower>()
  largestAnswer = 0

  startProcess (options: { peers?: string[], outage?: boolean } = {}) {
    const service = new MemoryObjectService(this.store)
    service.setFaults({ outage: options.outage ?? false })
    const address = `127.0.0.1:${7_000 + this.#followers.size}`
    const follower = new ConfigFollower({
      service,
      peerSource: new RpcPeerConfigSource(this.#callPeer),
      peers: options.peers ?? [],
      clock: new ManualClock(),
      getRandom: () => 0.5,
      logger: createLogger('follower', 'silent'),
      timing: TIMING
    })
    this.#followers.set(address, follower)
    follower.start()
    return { service, address, follower }
  }

  async publish (tree: FleetTree, appliedBy = 'anna') {
    const publisher = new ConfigPublisher(new MemoryObjectService(this.store), { appliedBy, clock: new ManualClock() })
    const publication = await publisher.publish(tree, createProgress())
    if (publication.isOk) return publication.value
    if (publication.error.kind === 'conflict') return { manifest: publication.error.current, parts: [] }
    throw new Error(JSON.stringify(publication.error))
  }

  stop (): void {
    for (const follower of this.#followers.values()) follower.stop()
  }

  readonly #callPeer: PeerCaller = async (address, _method, params) => {
    const follower = this.#followers.get(address)
    if (follower === undefined) throw new Error('connection refused')
    const answer = createConfigAnswer(follower, getConfigSchema.parse(params))
    this.largestAnswer = Math.max(this.largestAnswer, answer.parts.reduce((sum, part) => sum + part.text.length, 0))
    return JSON.parse(JSON.stringify(answer))
  }
}

async function withFleet (run: (fleet: Fleet) => Promise<void>): Promise<void> {
  const fleet = new Fleet()
  try {
    await run(fleet)
  } finally {
    fleet.stop()
  }
}

function createProgress (): Progress {
  return new Progress({ title: 'testing the follower', timeoutMs: 5_000 })
}

async function waitUntil (isMet: () => boolean): Promise<void> {
  const progress = createProgress()
  while (!isMet()) await progress.wait('the condition', new Promise(resolve => setImmediate(resolve)))
}
