import { expect } from 'chai'

import { chooseDirectEndpoint } from '../../src/policy/directChooser'
import { computeTransferTokensPerMs } from '../../src/policy/prefixes/prefixSource'
import { buildChoiceRequest, buildChooserOptions, buildEndpoint, buildEntry } from './directFixtures'
import { simulateOverload } from './overloadReplay'
import { buildManyGatewayScenario } from './replayLoads'

import type { DirectChoice, DirectChooserOptions } from '../../src/policy/directChooser'
import type { DirectEndpoint } from '../../src/policy/directEndpoint'
import type { PromptPart } from '../../src/policy/prefixCacheEstimate'

const COURSE: PromptPart = { id: 'course', tokens: 2500 }
const HISTORY: PromptPart = { id: 'history', tokens: 10_500 }
const PROMPT: PromptPart[] = [COURSE, HISTORY, { id: 'question', tokens: 1000 }]
const REQUEST = buildChoiceRequest({ promptParts: PROMPT })
const TRANSFER_TOKENS_PER_MS = 1300
const NOW_MS = 60_000

/** Lets an endpoint have read the parts, as its answer showed. */
function addReadParts (endpoint: DirectEndpoint, parts: PromptPart[], atMs: number): void {
  endpoint.prefixCache.record(parts, atMs - 100)
  endpoint.prefixCache.recordRead(parts, atMs)
}

/** Chooses an endpoint for a prompt whose home endpoint has a long queue. */
function chooseBesideBusyHome (home: DirectEndpoint, others: DirectEndpoint[], overrides: Partial<DirectChooserOptions> = {}): DirectChoice | null {
  const options = { homeEndpoints: [home], queuedTokens: new Map([[home.entry.id, 100_000]]), transferTokensPerMs: TRANSFER_TOKENS_PER_MS, nowMs: NOW_MS, ...overrides }
  return chooseDirectEndpoint(REQUEST, [home, ...others], buildChooserOptions(options))
}

describe('computeTransferTokensPerMs', () => {
  const engine = { slots: 64, cacheTokens: 500_000, bytesPerToken: 35_136, transferMegabitsPerSecond: 370_000, tokensPerEvent: 4, maxCacheWatchers: 12, canMove: true, canBackUp: true }

  it('should be the tokens that pass the link in a millisecond', () => {
    expect(computeTransferTokensPerMs(engine)).to.be.closeTo(1316, 1)
  })

  it('should be null where the configuration names no size, no link or no engine', () => {
    for (const other of [null, { ...engine, bytesPerToken: 0 }, { ...engine, transferMegabitsPerSecond: 0 }]) expect(computeTransferTokensPerMs(other)).to.equal(null)
  })
})

describe('the source of a prompt that goes to an endpoint without its beginning', () => {
  it('should be the home endpoint, which is left earlier than where the beginning would be prefilled again', () => {
    const home = buildEndpoint('home')
    const idle = buildEndpoint('idle')
    addReadParts(home, [COURSE, HISTORY], NOW_MS - 2000)
    const queuedTokens = new Map([['home', 25_000]])
    const choice = chooseBesideBusyHome(home, [idle], { queuedTokens })
    expect(choice?.endpoint).to.equal(idle)
    expect(choice?.prefixSource).to.include({ endpoint: home, belief: 'read' })
    expect(choice?.unreadTokens).to.be.below(5000)
    expect(chooseBesideBusyHome(home, [idle], { queuedTokens, transferTokensPerMs: null })).to.include({ endpoint: home, prefixSource: null })
  })

  it('should be the home endpoint, but left no earlier, while no answer shows that it has read the beginning', () => {
    const home = buildEndpoint('home')
    home.prefixCache.record([COURSE, HISTORY], NOW_MS - 2000)
    const choose = (tokens: number) => chooseBesideBusyHome(home, [buildEndpoint('idle')], { queuedTokens: new Map([['home', tokens]]) })
    expect(choose(25_000)).to.include({ endpoint: home, prefixSource: null })
    const choice = choose(100_000)
    expect(choice).to.include({ unreadTokens: 14_000 })
    expect(choice?.prefixSource).to.include({ endpoint: home, belief: 'home' })
  })

  it('should not be asked for while the home endpoint has little to do', () => {
    const home = buildEndpoint('home')
    expect(chooseBesideBusyHome(home, [buildEndpoint('idle')], { queuedTokens: new Map([['home', 3000]]) })).to.include({ endpoint: home, prefixSource: null })
  })

  it('should be an endpoint that read the widely shared part, when the home may lack it', () => {
    const home = buildEndpoint('home')
    const reader = buildEndpoint('reader', { inFlight: 2 })
    addReadParts(reader, [COURSE, { id: 'other history', tokens: 5000 }], NOW_MS - 2000)
    const choice = chooseBesideBusyHome(home, [reader], { queuedTokens: new Map() })
    expect(choice?.endpoint).to.equal(home)
    expect(choice?.prefixSource).to.include({ endpoint: reader, belief: 'read' })
  })

  it('should not be an endpoint that may still read what was sent there, or whose last send is long ago', () => {
    const home = buildEndpoint('home')
    const reading = buildEndpoint('reading', { pendingTokens: 3000 })
    const past = buildEndpoint('past', { inFlight: 2 })
    reading.prefixCache.record([COURSE], NOW_MS - 50)
    addReadParts(past, [COURSE], NOW_MS - 30_000)
    expect(chooseBesideBusyHome(home, [reading, past], { queuedTokens: new Map() })).to.include({ endpoint: home, prefixSource: null })
  })

  it('should be one of the same failure domain where two hold the same', () => {
    const [near, far] = [buildEndpoint('near', { inFlight: 40 }), buildEndpoint('far', { inFlight: 40, entry: buildEntry('far', { domain: 'domain-b' }) })]
    for (const holder of [far, near]) addReadParts(holder, [COURSE, HISTORY], NOW_MS - 2000)
    const home = buildEndpoint('home', { refusedAtMs: NOW_MS - 100 })
    for (const domain of ['domain-a', 'domain-b']) {
      const idle = buildEndpoint('idle', { entry: buildEntry('idle', { domain }) })
      const choice = chooseBesideBusyHome(home, [far, near, idle], { queuedTokens: new Map(['home', 'near', 'far'].map(id => [id, 100_000])) })
      expect([choice?.endpoint, choice?.prefixSource?.endpoint]).to.deep.equal([idle, domain === 'domain-a' ? near : far])
    }
  })

  for (const [reason, overrides] of [
    ['whose address refused a connection', { refusedAtMs: NOW_MS - 9000 }],
    ['whose connection broke', { brokenAtMs: NOW_MS - 9000 }],
    ['from which a request fetched that ended without an event', { fetchFailedAtMs: NOW_MS - 9000 }],
    ['that is ejected', { ejectedUntilMs: NOW_MS + 10 }],
    ['of another software version', { entry: buildEntry('home', { version: 'v2' }) }]
  ] as const) {
    it(`should not be an endpoint ${reason}`, () => {
      const home = buildEndpoint('home', overrides)
      expect(chooseBesideBusyHome(home, [buildEndpoint('idle')], { queuedTokens: new Map([['home', 1_000_000]]) })?.prefixSource).to.equal(null)
    })
  }

  it('should be named again some time after the failure', () => {
    const home = buildEndpoint('home', { fetchFailedAtMs: NOW_MS - 11_000, brokenAtMs: NOW_MS - 11_000 })
    expect(chooseBesideBusyHome(home, [buildEndpoint('idle')])?.prefixSource?.endpoint).to.equal(home)
  })

  it('should not be named for a request that was sent before', () => {
    const home = buildEndpoint('home')
    const choice = chooseBesideBusyHome(home, [buildEndpoint('idle')], { queuedTokens: new Map([['home', 1_000_000]]), excludedIds: new Set(['first']) })
    expect(choice?.prefixSource).to.equal(null)
  })
})

describe('many gateways whose prompts share their beginnings', () => {
  const scenario = buildManyGatewayScenario({ load: 0.8, seed: 2, gateways: 12, engines: 6 })
  const simulate = (transferTokensPerMs: number | null, losesSources = false) => {
    const { kinds, prefilledTokens } = simulateOverload({ ...scenario, transferTokensPerMs, losesSources })
    const counts = [...kinds.values()]
    const served = counts.reduce((sum, { inTime, late }) => sum + inTime + late, 0)
    return { served, inTime: counts.reduce((sum, { inTime }) => sum + inTime, 0), tokensPerServed: prefilledTokens / served }
  }

  it('should prefill fewer tokens for each prompt served, and serve more of them and more in time, where engines can fetch', () => {
    const without = simulate(null)
    const fetching = simulate(TRANSFER_TOKENS_PER_MS)
    expect(fetching.tokensPerServed).to.be.below(without.tokensPerServed)
    expect(fetching.served).to.be.above(without.served)
    expect(fetching.inTime).to.be.above(without.inTime)
  }).timeout(120_000)

  it('should serve nine tenths as many prompts where no source has what it is asked for', () => {
    expect(simulate(TRANSFER_TOKENS_PER_MS, true).served).to.be.at.least(0.9 * simulate(null).served)
  }).timeout(120_000)
})
