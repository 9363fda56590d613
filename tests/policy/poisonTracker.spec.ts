import { expect } from 'chai'
import fc from 'fast-check'

import { PoisonTracker } from '../../src/policy/poisonTracker'
import { createRandom } from '../../bench/lunch/random'

const SEED = 20_254
const CRASH_LIMIT = 3
const POISON = 'poison'

function buildTracker (fields = {}): PoisonTracker {
  return new PoisonTracker({ crashLimit: CRASH_LIMIT, expiryMs: 600_000, maxFingerprints: 10_000, ...fields })
}

/** Runs a poison request among innocent ones, retries all after each crash, and returns the number of crashes. */
function simulatePoisonRequest (tracker: PoisonTracker, random: () => number): number {
  const endpoints: Set<string>[] = Array.from({ length: 6 }, () => new Set())
  const waiting = Array.from({ length: 120 }, (_, index) => `innocent-${index}`)
  waiting.splice(Math.floor(random() * 50), 0, POISON)
  let crashes = 0
  for (let round = 0; round < 3000 && waiting.length > 0; round++) {
    const running = endpoints[Math.floor(random() * endpoints.length)] as Set<string>
    const next = waiting.shift() as string
    if (tracker.getVerdict(next, round) === 'refused') continue
    if (running.size >= 8 || !tracker.canStartAlongside(next, running, round)) {
      waiting.push(next)
      if (!running.has(POISON) && running.size > 0) running.delete([...running][0] as string)
      continue
    }
    running.add(next)
    if (!running.has(POISON) || (random() < 0.5 && running.size < 8)) continue
    tracker.recordCrash(running, round)
    waiting.push(...running)
    running.clear()
    crashes += 1
  }
  return crashes
}

describe('PoisonTracker', () => {
  it('should refuse a poison request at the crash limit and never one that ran alongside it', () => {
    fc.assert(fc.property(fc.integer(), seed => {
      const tracker = buildTracker()
      const crashes = simulatePoisonRequest(tracker, createRandom(seed))
      expect(crashes).to.be.at.most(CRASH_LIMIT)
      if (crashes === CRASH_LIMIT) expect(tracker.getVerdict(POISON, 3000)).to.equal('refused')
      for (let index = 0; index < 120; index++) expect(tracker.getVerdict(`innocent-${index}`, 3000)).not.to.equal('refused')
    }), { seed: SEED, numRuns: 200 })
  })

  it('should attribute a crash only to the fingerprints with the most crashes', () => {
    const tracker = buildTracker()
    tracker.recordCrash([POISON, 'beside'], 0)
    expect(tracker.recordCrash([POISON, 'new'], 1)).to.deep.equal([POISON])
    expect(tracker.recordCrash([POISON, 'beside', 'new'], 2)).to.deep.equal([POISON])
    expect(['beside', 'new'].map(fingerprint => tracker.getVerdict(fingerprint, 2))).to.deep.equal(['suspect', 'clear'])
  })

  it('should adopt a higher count from another process and otherwise keep its own', () => {
    const tracker = buildTracker()
    tracker.adoptCrashCount(POISON, 2, 0)
    tracker.adoptCrashCount(POISON, 1, 0)
    expect(tracker.getVerdict(POISON, 0)).to.equal('confined')
  })

  it('should expire fingerprints and keep at most the configured number', () => {
    const tracker = buildTracker({ maxFingerprints: 100 })
    for (let index = 0; index < 1000; index++) tracker.recordCrash([`fingerprint-${index}`], index)
    expect(tracker.size).to.equal(100)
    expect(tracker.getVerdict('fingerprint-999', 600_999)).to.equal('suspect')
    expect(tracker.getVerdict('fingerprint-999', 601_000)).to.equal('clear')
  })
})
