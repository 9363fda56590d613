import { expect } from 'chai'

import { RateMeter } from '../../src/policy/engines/rateMeter'
import { DEFAULT_PREFILL_TOKENS_PER_MS, ServiceRate } from '../../src/policy/engines/serviceRate'
import { buildDirectEndpoint } from '../../src/policy/directEndpoint'
import { buildEntry } from './directFixtures'
import { simulateOverload } from './overloadReplay'
import { buildRateScenario } from './replayLoads'

import type { DirectChoice } from '../../src/policy/directChooser'
import type { DirectEndpoint } from '../../src/policy/directEndpoint'
import type { RateChange } from '../../src/policy/engines/rateMeter'
import type { EngineSpeed } from './engineModel'
import type { ReplayResult } from './overloadReplay'

const RATES = [55, 61, 157]
const LOADS = { idle: { load: 0.2 }, busy: { load: 0.7 }, overloaded: { load: 1.4, calmMs: 25_000 } }
const FIRST_EVENT_DELAY_MS = 90
const TOKENS_PER_MS = 50

/** Computes the prompt tokens that an engine gets through per millisecond: between two chunks it runs a step. */
function computeThroughput ({ chunkTokens, prefillTokensPerMs, stepMs, stepMsPerSlot, slots }: EngineSpeed): number {
  return chunkTokens / (chunkTokens / prefillTokensPerMs + stepMs + stepMsPerSlot * slots / 2)
}

function getMedianRate ({ rates }: ReplayResult): number {
  return [...rates].sort((one, other) => one - other)[Math.floor(rates.length / 2)]!
}

/** Sends prompts to endpoints in turn; `getSlowness` multiplies the delay of an endpoint's first event. */
class MeterFixture {
  readonly rate = new ServiceRate()
  readonly endpoints: DirectEndpoint[] = Array.from({ length: 6 }, (_, index) => buildDirectEndpoint(buildEntry(`engine-${index}`), this.rate))
  readonly changes: RateChange[] = []
  readonly #meter: RateMeter
  nowMs = 0

  constructor (isEngine = true) {
    this.#meter = new RateMeter({
      isEngine: () => isEngine,
      listEndpoints: () => this.endpoints,
      getPeerLoad: () => ({ inFlight: 0, pendingTokens: 0, heardAtMs: 0, permittedSends: 0 }),
      handleChange: change => this.changes.push(change)
    })
  }

  play (durationMs: number, { getSlowness = () => 1, uncachedShare = 0 }: { getSlowness?: (id: string) => number, uncachedShare?: number } = {}): void {
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs; this.nowMs += 50) {
      const index = this.nowMs / 50
      const uniqueTokens = 200 + (index * 7919) % 6000
      const promptParts = [{ id: 'shared', tokens: 13_000 }, { id: `own-${index}`, tokens: uniqueTokens }]
      const endpoint = this.endpoints[index % this.endpoints.length]!
      const choice: DirectChoice = { endpoint, reason: 'prefixHome', costMs: 0, candidates: 6, unreadTokens: uniqueTokens, othersInFlight: 0, othersTokens: 0, hasCapacity: true, needsPermit: false, prefixSource: null }
      const prefilledTokens = uniqueTokens + ((index * 31) % 100 < 100 * uncachedShare ? 13_000 : 0)
      this.#meter.recordSend(choice, promptParts)
      this.#meter.recordFirstEvent(choice, getSlowness(endpoint.entry.id) * (FIRST_EVENT_DELAY_MS + prefilledTokens / TOKENS_PER_MS), this.nowMs)
      this.#meter.updateFactors('engines', this.nowMs)
    }
  }
}

describe('the learned prefill rate', () => {
  for (const tokensPerMs of RATES) {
    for (const [name, load] of Object.entries(LOADS)) {
      it(`should be that of an engine of ${tokensPerMs} tokens per millisecond that is ${name}`, () => {
        const scenario = buildRateScenario({ ...load, tokensPerMs, seed: 1 })
        const expected = computeThroughput(scenario.speed)
        expect(getMedianRate(simulateOverload(scenario))).to.be.within(0.75 * expected, 1.33 * expected)
      }).timeout(60_000)
    }
  }

  it('should be the default before anything is known, and for a plain service', () => {
    const fixture = new MeterFixture(false)
    fixture.play(10_000)
    expect(fixture.endpoints[0]!.prefillRate.tokensPerMs).to.equal(DEFAULT_PREFILL_TOKENS_PER_MS)
  })

  it('should not change when a part of the prompts finds its shared part not cached', () => {
    const fixture = new MeterFixture()
    fixture.play(20_000, { uncachedShare: 0.3 })
    expect(fixture.rate.tokensPerMs).to.be.within(0.9 * TOKENS_PER_MS, 1.1 * TOKENS_PER_MS)
    expect(fixture.endpoints.map(({ prefillRate }) => prefillRate.factor)).to.deep.equal([1, 1, 1, 1, 1, 1])
  })

  it('should fall within seconds for an endpoint that has slowed down, and rise again after it', () => {
    const fixture = new MeterFixture()
    fixture.play(20_000)
    fixture.play(3000, { getSlowness: id => id === 'engine-2' ? 4 : 1 })
    expect(fixture.endpoints[2]!.prefillRate.factor).to.be.below(0.6)
    expect(fixture.endpoints[1]!.prefillRate.factor).to.equal(1)
    expect(fixture.changes.at(-1)!.endpoint.entry.id).to.equal('engine-2')
    fixture.play(8000)
    expect(fixture.endpoints[2]!.prefillRate.factor).to.equal(1)
  })

  it('should rise again for a slow endpoint that gets no prompts, and start at the rate of its service for a new process', () => {
    const fixture = new MeterFixture()
    fixture.play(20_000)
    fixture.play(5000, { getSlowness: id => id === 'engine-2' ? 4 : 1 })
    const slowed = fixture.endpoints[2]!
    fixture.endpoints[2] = buildDirectEndpoint(buildEntry('engine-2', { bornAtMs: 2 }), fixture.rate)
    expect(fixture.endpoints[2]!.prefillRate.tokensPerMs).to.equal(fixture.rate.tokensPerMs)
    expect(slowed.prefillRate.getEvidence(fixture.nowMs + 20_000).measuredMs).to.be.below(5)
  })
})

describe('an overload of engines that are slower than the default', () => {
  it('should leave more prompts on time when the rate is learned, and serve no fewer', () => {
    const count = { known: { inTime: 0, served: 0 }, unknown: { inTime: 0, served: 0 } }
    for (let seed = 1; seed <= 10; seed++) {
      const scenario = buildRateScenario({ load: 1.4, tokensPerMs: 55, seed, calmMs: 25_000 })
      for (const name of ['known', 'unknown'] as const) {
        for (const { inTime, late } of simulateOverload({ ...scenario, learnsRates: name === 'known' }).kinds.values()) {
          count[name].inTime += inTime
          count[name].served += inTime + late
        }
      }
    }
    expect(count.known.inTime).to.be.above(count.unknown.inTime)
    expect(count.known.served).to.be.at.least(count.unknown.served)
  }).timeout(120_000)
})
