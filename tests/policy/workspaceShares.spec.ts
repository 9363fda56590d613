import { expect } from 'chai'

import { DispatchQueue } from '../../src/policy/dispatchQueue'
import { PeerLoadTable } from '../../src/policy/peerLoadTable'
import { computeFairLevel } from '../../src/policy/workspaceDemand'
import { decodeDemands, encodeDemands } from '../../src/relay/demandReports'
import { loadUpdateSchema } from '../../src/protocol/viewMessages'
import { simulateOverload } from './overloadReplay'
import { buildWorkspaceScenario } from './replayLoads'

import type { WaitingRequest } from '../../src/policy/dispatchQueue'
import type { DemandEntry } from '../../src/policy/workspaceDemand'

/** Maximum fraction of a small workspace's requests that another one, sending 8 times its usual number, may make late. */
const MAX_LOSS = 0.03
const SEEDS = [1, 2, 3, 4, 5, 6]

function buildClaimed (id: string, workspace: string | null, { tokens = 1000, latestStartAtMs = 500, rank = 1 } = {}): WaitingRequest {
  return { id, rank, prefillMs: 0, latestStartAtMs, expiresAtMs: 10_000, claim: workspace === null ? null : { workspace, uniqueTokens: tokens, outputTokens: 0 } }
}

function buildDemand (workspace: string, receivedTokens: number, waitingTokens: number): DemandEntry {
  return { service: 'engines', rank: 1, workspace, receivedTokens, waitingTokens }
}

/** Builds a queue in which workspace 'large' received `receivedTokens` just before. */
function buildQueueAfter (receivedTokens: number, peerDemands: DemandEntry[] = []): DispatchQueue<WaitingRequest> {
  const queue = new DispatchQueue(() => new Map(peerDemands.map(demand => [demand.workspace, demand])))
  const started = buildClaimed('started', 'large')
  queue.add(started, 0)
  queue.recordStart(started, { unreadTokens: receivedTokens, nowMs: 0 })
  return queue
}

function listIds (queue: DispatchQueue<WaitingRequest>, nowMs = 0): string[] {
  return queue.listInOrder(nowMs).map(({ id }) => id)
}

function computeOthersInTime (firstFactor: number): number {
  const counts = SEEDS.map(seed => simulateOverload(buildWorkspaceScenario({ load: 1, seed, firstFactor })).workspaces.others)
  return counts.reduce((sum, { inTime }) => sum + inTime, 0) / counts.reduce((sum, { arrived }) => sum + arrived, 0)
}

describe('shares of workspaces in a rank', () => {
  it('should give what a workspace does not use to the others', () => {
    expect(computeFairLevel([{ receivedTokens: 10, waitingTokens: 0 }, { receivedTokens: 90, waitingTokens: 50 }, { receivedTokens: 20, waitingTokens: 60 }])).to.equal(55)
    expect(computeFairLevel([{ receivedTokens: 10, waitingTokens: 0 }, { receivedTokens: 90, waitingTokens: 0 }])).to.equal(Infinity)
  })

  it('should order a workspace above its share after the others, whose largest requests included', () => {
    const queue = buildQueueAfter(50_000)
    queue.add(buildClaimed('urgent', 'large', { latestStartAtMs: 100 }), 0)
    queue.add(buildClaimed('huge', 'small', { tokens: 200_000 }), 0)
    expect(listIds(queue)).to.deep.equal(['huge', 'urgent'])
  })

  it('should let rank go first', () => {
    const queue = buildQueueAfter(50_000)
    queue.add(buildClaimed('small', 'small', { rank: 2 }), 0)
    queue.add(buildClaimed('large', 'large', { rank: 1 }), 0)
    expect(listIds(queue)).to.deep.equal(['large', 'small'])
  })

  it('should place a workspace that was idle as any other within its share', () => {
    const queue = buildQueueAfter(50_000)
    for (const id of ['busy-1', 'busy-2']) queue.add(buildClaimed(id, 'busy', { latestStartAtMs: 200 }), 0)
    queue.add(buildClaimed('idle', 'idle', { latestStartAtMs: 400 }), 0)
    queue.add(buildClaimed('large', 'large', { latestStartAtMs: 100 }), 0)
    expect(listIds(queue)).to.deep.equal(['busy-1', 'busy-2', 'idle', 'large'])
  })

  it('should count what a workspace received at other gateways', () => {
    const queue = buildQueueAfter(1000, [buildDemand('elsewhere', 90_000, 5000)])
    queue.add(buildClaimed('elsewhere', 'elsewhere', { latestStartAtMs: 100 }), 0)
    queue.add(buildClaimed('large', 'large'), 0)
    expect(listIds(queue)).to.deep.equal(['large', 'elsewhere'])
  })

  it('should forget what a workspace received long ago', () => {
    const queue = buildQueueAfter(50_000)
    queue.add(buildClaimed('urgent', 'large', { latestStartAtMs: 100_000 }), 60_000)
    queue.add(buildClaimed('other', 'small', { latestStartAtMs: 200_000 }), 60_000)
    expect(listIds(queue, 60_000)).to.deep.equal(['urgent', 'other'])
  })

  it('should change nothing without workspaces, or while only one waits', () => {
    const queue = buildQueueAfter(50_000)
    queue.add(buildClaimed('large', 'large', { latestStartAtMs: 300 }), 0)
    queue.add(buildClaimed('public', null, { latestStartAtMs: 400 }), 0)
    expect(listIds(queue)).to.deep.equal(['large', 'public'])
    const withoutWorkspaces = new DispatchQueue()
    withoutWorkspaces.add(buildClaimed('public', null), 0)
    expect(withoutWorkspaces.listDemands(0)).to.deep.equal([])
  })

  it('should report nothing in calm', () => {
    const queue = buildQueueAfter(50_000)
    expect(queue.listDemands(0)).to.deep.equal([])
    queue.add(buildClaimed('large', 'large'), 0)
    expect(queue.listDemands(0)).to.deep.equal([{ rank: 1, workspace: 'large', receivedTokens: 50_000, waitingTokens: 1000 }])
  })

  it('should report a bounded number of workspaces, the largest first, in a valid update', () => {
    const entries = Array.from({ length: 13_000 }, (_, index) => buildDemand(`w-${index}`, index, 0))
    const demands = encodeDemands([...entries, buildDemand('n'.repeat(101), 90_000, 0)])
    expect(decodeDemands(demands).map(({ workspace }) => workspace)).to.deep.equal(Array.from({ length: 32 }, (_, index) => `w-${12_999 - index}`))
    const update = { teller: 'g-1', domain: null, gateways: 1, loads: [] }
    expect(loadUpdateSchema.parse({ ...update, demands }).demands).to.deep.equal(demands)
    expect(loadUpdateSchema.parse(update).demands).to.deep.equal([])
  })

  it('should drop the demands of a gateway that stopped reporting', () => {
    const peerLoads = new PeerLoadTable()
    peerLoads.record('g-1', new Map(), 0, { gateways: 1, scope: 'gateway', demands: [buildDemand('large', 500, 100)] })
    peerLoads.record('g-2', new Map(), 1000, { gateways: 1, scope: 'gateway', demands: [buildDemand('large', 200, 0)] })
    expect(peerLoads.getPeerDemands('engines', 1).get('large')).to.include({ receivedTokens: 700, waitingTokens: 100 })
    peerLoads.expire(2600)
    expect(peerLoads.getPeerDemands('engines', 1).get('large')).to.include({ receivedTokens: 200, waitingTokens: 0 })
  })

  it('should keep the small ones on time beside one that sends 8 times its usual number, in the burst of the heaviest day', () => {
    expect(computeOthersInTime(1) - computeOthersInTime(8)).to.be.at.most(MAX_LOSS)
  }).timeout(240_000)
})
