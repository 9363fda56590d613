import { expect } from 'chai'

import { systemClock } from '../../src/base/clock'
import { Progress } from '../../src/base/progress'
import { ConfigPublisher } from '../../src/store/configPublisher'
import { offerConfig } from '../../src/store/offerConfig'
import { callPeer } from '../../src/cli/peerCaller'
import { sendChat } from './callers'
import { FLEET_SECRET, readState, startFleet, waitUntil } from './fleetFixture'
import { FleetProcess } from './fleetProcess'

import type { FleetTree } from '../../src/config/fleetSchema'
import type { Fleet } from './fleetFixture'

const MAX_PROPAGATION_MS = 4_000
/** Number of watches after which each process has watched twice. */
const WATCH_COUNT = 10
/** Longer than a process waits for its watch, so that no watch reports the change. */
const WATCH_DELAY_MS = 10_000

describe('configuration in force', () => {
  let fleet: Fleet

  beforeEach(async () => {
    fleet = await startFleet({ gateways: 2, engines: [{}, {}] })
  })

  afterEach(async () => { await fleet.stop() })

  it('should apply one generation at every process when several operators publish concurrently', async () => {
    const results = await Promise.all([1_000, 2_000, 3_000].map(async deadlineMs => await publish(deadlineMs)))
    const accepted = results.flatMap(result => result.isOk ? [result.value.manifest.generation] : [])
    const newest = Math.max(...accepted)
    await waitForGeneration(listProcesses(), newest)
    expect(new Set(accepted).size).to.equal(accepted.length)
    expect(accepted.length).to.be.within(1, 3)
  })

  it('should spread through messages when the platform fails right after accepting it', async () => {
    const [informedGateway] = fleet.gateways
    await publishBeforeOutage(informedGateway!)
    await waitUntil('both sidecars to receive the generation', async () => {
      await sendChat(informedGateway!, `another question ${Math.random()}`)
      return await hasGeneration(fleet.sidecars, 2)
    }, MAX_PROPAGATION_MS)
    await waitUntil('the other gateway to receive the generation', async () => {
      await sendChat(fleet.gateways[1]!, `a question ${Math.random()}`)
      return await hasGeneration(listProcesses(), 2)
    }, MAX_PROPAGATION_MS)
  })

  it('should be fetched from a peer by a process that starts during an outage, and never be replaced by an older one', async () => {
    await publishBeforeOutage(fleet.gateways[0]!)
    const peers = `127.0.0.1:1,${fleet.gateways[0]!.address}`
    const lateGateway = new FleetProcess(['gateway', '--id', 'late', '--listen', '127.0.0.1:0', '--domain', 'a', '--platform', fleet.platform.url, '--peers', peers], FLEET_SECRET)
    try {
      await lateGateway.waitForReady()
      await waitForGeneration([lateGateway], 2)
      await fleet.platform.setFaults({ outage: 'none' })
      await waitForGeneration([...listProcesses(), lateGateway], 2)
      await fleet.platform.setFaults({ replayOldEvents: 20 })
      await publish(8_000)
      await waitForGeneration([...listProcesses(), lateGateway], 3)
      const watches = fleet.platform.getCounters().byKind.watch
      await waitUntil('the next watches', () => fleet.platform.getCounters().byKind.watch >= watches + WATCH_COUNT)
      expect(await hasGeneration([...listProcesses(), lateGateway], 3)).to.equal(true)
    } finally {
      await lateGateway.stop()
    }
  })

  function listProcesses (): FleetProcess[] {
    return [...fleet.gateways, ...fleet.sidecars]
  }

  async function publish (deadlineMs: number, onAccepted?: () => Promise<void>) {
    const publisher = new ConfigPublisher(fleet.service, { appliedBy: 'test', clock: systemClock })
    return await publisher.publish(buildChangedTree(deadlineMs), new Progress({ title: 'publishing', timeoutMs: 10_000 }), { onAccepted })
  }

  /** Publishes generation 2, starts an outage of the platform at its acceptance, and offers the generation to one process. */
  async function publishBeforeOutage (receiver: FleetProcess): Promise<void> {
    await fleet.platform.setFaults({ watchDelayMs: WATCH_DELAY_MS })
    const result = await publish(9_000, async () => { await fleet.platform.setFaults({ outage: 'answer503', watchDelayMs: 0 }) })
    if (result.isErr) throw new Error(JSON.stringify(result.error))
    const progress = new Progress({ title: 'offering the configuration', timeoutMs: 5_000 })
    const offered = await offerConfig((address, method, params) => callPeer({ address, fleetSecret: FLEET_SECRET }, method, params, progress), receiver.address, result.value, progress)
    expect(offered.isOk && offered.value).to.equal(2)
  }

  function buildChangedTree (deadlineMs: number): FleetTree {
    const { normal } = fleet.tree.classes
    return { ...fleet.tree, classes: { ...fleet.tree.classes, normal: { ...normal!, deadlineMs } } }
  }
})

async function hasGeneration (processes: FleetProcess[], generation: number): Promise<boolean> {
  const states = await Promise.all(processes.map(async process => await readState(process)))
  return states.every(state => state.configGeneration === generation)
}

async function waitForGeneration (processes: FleetProcess[], generation: number): Promise<void> {
  await waitUntil(`generation ${generation} at ${processes.length} processes`, async () => await hasGeneration(processes, generation), MAX_PROPAGATION_MS)
}
