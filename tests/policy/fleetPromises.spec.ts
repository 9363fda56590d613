import { expect } from 'chai'

import { computeMeasures, getLatestStartMs } from '../../bench/lunch/measures'
import { buildClass, buildDeployment, listTierViolations, runFleet } from './fleetFixtures'

import type { LogEntry } from '../../bench/lunch/requestRecord'

const SEEDS = [1, 2, 3]
const SHARE = 0.04
const RETRIES_SAVED = 10
const RETRIES_GRANTED_PER_SECOND = 0.1

function listStarts (log: LogEntry[]): Array<Extract<LogEntry, { kind: 'started' }>> {
  return log.filter(entry => entry.kind === 'started')
}

describe('decisions in a fleet at twice its capacity with a slowed, a crashing and a lying engine', () => {
  for (const seed of SEEDS) {
    it(`should neither shed nor displace a tier in favour of a lower one (seed ${seed})`, () => {
      const { log, records } = runFleet({ seed })
      expect(listTierViolations(log)).to.deep.equal([])
      expect(records.filter(record => record.end === 'shed').length).to.be.greaterThan(100)
    })
  }

  it('should start no lower tier where a request of a higher tier, shed shortly afterwards, could have run', () => {
    expect(computeMeasures(runFleet({ seed: 1 })).lowerTierStarts).to.equal(0)
  })

  it('should start each class at about its share, and no more than that by its share, while higher tiers alone exceed the capacity', () => {
    const classes = [buildClass('panel', 1, 1.2), buildClass('quote', 2, 0.8), buildClass('archive', 6, 0.3)]
    const { log } = runFleet({ deployment: { ...buildDeployment(), classes }, faults: { slowed: [], crashed: [], falselyEmptyEngines: [] } })
    const starts = listStarts(log).filter(start => start.atMs > 10_000 && start.atMs < 40_000)
    for (const name of ['quote', 'archive']) {
      const own = starts.filter(start => start.request.class.name === name)
      expect(own.length, name).to.be.at.least(0.7 * SHARE * starts.length)
      expect(own.filter(start => start.by === 'share').length, name).to.be.at.most(SHARE * starts.length + buildDeployment().engines.length)
    }
  })

  it('should truncate no answer and deliver the same answers as the naive router where both complete', () => {
    const ours = runFleet().records
    const naive = runFleet({ router: 'naive' }).records
    expect(naive.map(record => record.request)).to.deep.equal(ours.map(record => record.request))
    const both = ours.map((record, index) => [record, naive[index]] as const).filter(([a, b]) => a.end === 'completed' && b?.end === 'completed')
    expect(both.length).to.be.greaterThan(100)
    for (const [a, b] of both) expect(a.deliveredTokens).to.equal(b?.deliveredTokens)
    for (const record of ours) if (record.end === 'completed') expect(record.deliveredTokens).to.equal(record.request.tokens)
  })

  it('should need about one attempt per started request while two of five engines are down', () => {
    const crashed = [0, 1].map(engine => ({ engine, atMs: 10_000, restartAtMs: 400_000 }))
    const faults = { slowed: [], crashed, falselyEmptyEngines: [] }
    expect(computeMeasures(runFleet({ faults })).attemptsPerStarted).to.be.below(1.1)
    expect(computeMeasures(runFleet({ faults, router: 'naive' })).attemptsPerRequest).to.be.above(1.4)
  })

  it('should keep retries within the budgets while engines crash repeatedly', () => {
    const crashes = Array.from({ length: 20 }, (_, index) => 5000 + 1500 * index)
    const crashed = [0, 1, 2].flatMap(engine => crashes.map(atMs => ({ engine, atMs, restartAtMs: atMs + 200 })))
    const { records, log } = runFleet({ faults: { slowed: [], crashed, falselyEmptyEngines: [] } })
    const starts = listStarts(log)
    const repeated = starts.length - new Set(starts.map(start => start.request.id)).size
    const { classes, gateways } = buildDeployment()
    const saved = classes.length * gateways * (RETRIES_SAVED + RETRIES_GRANTED_PER_SECOND * 40)
    expect(repeated).to.be.within(saved / 2, 0.1 * records.length + saved)
  })

  it('should shed a request that never started at most 200 ms after its latest start', () => {
    const { records } = runFleet()
    for (const { end, endedAtMs, attempts, request } of records) {
      if (end === 'shed' && attempts === 0) expect(endedAtMs).to.be.below(getLatestStartMs(request) + 200)
    }
  })
})
