import { expect } from 'chai'

import { chooseDirectEndpoint } from '../../src/policy/directChooser'
import { recordAttemptResult } from '../../src/policy/directEndpoint'
import { buildChoiceRequest, buildChooserOptions, buildEndpoint } from './directFixtures'

import type { PromptPart } from '../../src/policy/prefixCacheEstimate'

const PROMPT: PromptPart[] = [{ id: 'history', tokens: 13_000 }, { id: 'question', tokens: 1000 }]
const PROMPT_REQUEST = buildChoiceRequest({ promptParts: PROMPT })
const PLAIN_REQUEST = buildChoiceRequest({ service: 'archive' })

describe('the choice among endpoints reached directly', () => {
  it('should meet at the home of the shared part', () => {
    const endpoints = [buildEndpoint('e-1'), buildEndpoint('e-2')]
    const choice = chooseDirectEndpoint(PROMPT_REQUEST, endpoints, buildChooserOptions({ homeEndpoints: [endpoints[1]!] }))
    expect(choice).to.include({ endpoint: endpoints[1], reason: 'prefixHome', unreadTokens: 1000, hasRoom: true })
  })

  it('should wait for the home while its prompts are read rather than have the prompt read again elsewhere', () => {
    const home = buildEndpoint('home', { pendingTokens: 12_000, inFlight: 2 })
    const choice = chooseDirectEndpoint(PROMPT_REQUEST, [home, buildEndpoint('idle')], buildChooserOptions({ homeEndpoints: [home] }))
    expect(choice).to.include({ endpoint: home, hasRoom: false })
  })

  it('should not let a short prompt take the room for which a long one waits', () => {
    const home = buildEndpoint('home', { pendingTokens: 4000 })
    const short = buildChoiceRequest({ promptParts: [{ id: 'note', tokens: 500 }] })
    expect(chooseDirectEndpoint(short, [home], buildChooserOptions())).to.include({ hasRoom: true })
    expect(chooseDirectEndpoint(short, [home], buildChooserOptions({ queuedTokens: new Map([['home', 8000]]) }))).to.include({ hasRoom: false })
    expect(chooseDirectEndpoint(short, [buildEndpoint('home')], buildChooserOptions({ queuedTokens: new Map([['home', 8000]]) }))).to.include({ hasRoom: false })
  })

  it('should go elsewhere when more waits for the home than reading the prompt again costs', () => {
    const home = buildEndpoint('home', { pendingTokens: 4000 })
    const idle = buildEndpoint('idle')
    const planned = new Map([['home', 1_000_000]])
    expect(chooseDirectEndpoint(PROMPT_REQUEST, [home, idle], buildChooserOptions({ homeEndpoints: [home], queuedTokens: planned }))).to.include({ endpoint: idle, hasRoom: true })
  })

  it('should leave a home that is behind for its alternate, the same at all gateways', () => {
    const home = buildEndpoint('home', { pendingTokens: 4000 })
    const [idle, alternate] = [buildEndpoint('idle'), buildEndpoint('alternate', { inFlight: 8 })]
    const planned = new Map([['home', 1_000_000]])
    const choice = chooseDirectEndpoint(PROMPT_REQUEST, [home, idle, alternate], buildChooserOptions({ homeEndpoints: [home, alternate], queuedTokens: planned }))
    expect(choice).to.include({ endpoint: alternate, reason: 'prefixAlternate' })
  })

  it('should go where there is room, whatever is held elsewhere, when the prompt must start', () => {
    const home = buildEndpoint('home', { pendingTokens: 12_000 })
    const [full, idle] = [buildEndpoint('full', { pendingTokens: 12_000 }), buildEndpoint('idle')]
    const choose = (needsRoom: boolean) => chooseDirectEndpoint(PROMPT_REQUEST, [home, full, idle], buildChooserOptions({ homeEndpoints: [home], prefersCapacity: needsRoom }))
    expect([choose(false)?.endpoint, choose(true)?.endpoint]).to.deep.equal([home, idle])
    expect(chooseDirectEndpoint(PROMPT_REQUEST, [home, full], buildChooserOptions({ homeEndpoints: [home], prefersCapacity: true }))?.endpoint).to.equal(home)
  })

  it('should go where the fewest requests are in flight when nothing is shared', () => {
    const endpoints = [buildEndpoint('e-1', { inFlight: 3 }), buildEndpoint('e-2', { inFlight: 1 })]
    expect(chooseDirectEndpoint(PLAIN_REQUEST, endpoints, buildChooserOptions())?.endpoint).to.equal(endpoints[1])
  })

  describe('with endpoints that are kept for light prompts', () => {
    const LIGHT_REQUEST = buildChoiceRequest({ promptParts: [{ id: 'note', tokens: 1000 }], size: 'light' })
    const reservedIds = new Set(['kept'])

    it('should send a light prompt there although another endpoint is idle', () => {
      const [kept, idle] = [buildEndpoint('kept', { inFlight: 8 }), buildEndpoint('idle')]
      expect(chooseDirectEndpoint(LIGHT_REQUEST, [idle, kept], buildChooserOptions({ reservedIds }))?.endpoint).to.equal(kept)
    })

    it('should send a light prompt elsewhere when other gateways fill them', () => {
      const [kept, idle] = [buildEndpoint('kept'), buildEndpoint('idle')]
      const getOthers = (id: string) => ({ inFlight: id === 'kept' ? 60 : 0, pendingTokens: 0, heardAtMs: 0 })
      expect(chooseDirectEndpoint(LIGHT_REQUEST, [idle, kept], buildChooserOptions({ reservedIds, getPeerLoad: getOthers }))?.endpoint).to.equal(idle)
    })

    it('should not tell endpoints apart for a request without a prompt', () => {
      const [kept, busy] = [buildEndpoint('kept'), buildEndpoint('busy', { inFlight: 1 })]
      expect(chooseDirectEndpoint(PLAIN_REQUEST, [busy, kept], buildChooserOptions({ reservedIds }))?.endpoint).to.equal(kept)
    })

    it('should send a heavy prompt there only when nothing else is left', () => {
      const [kept, busy] = [buildEndpoint('kept'), buildEndpoint('busy', { inFlight: 60, pendingTokens: 20_000 })]
      expect(chooseDirectEndpoint(PROMPT_REQUEST, [kept, busy], buildChooserOptions({ reservedIds }))?.endpoint).to.equal(busy)
      expect(chooseDirectEndpoint(PROMPT_REQUEST, [kept, busy], buildChooserOptions({ reservedIds, excludedIds: new Set(['busy']) }))?.endpoint).to.equal(kept)
    })
  })

  it('should put an endpoint back that fails, and last one that was ejected', () => {
    const failing = buildEndpoint('failing')
    const ejected = buildEndpoint('ejected')
    for (let count = 0; count < 10; count++) recordAttemptResult(failing, { kind: 'failed' }, 0)
    recordAttemptResult(ejected, { kind: 'broken' }, 0)
    const busy = buildEndpoint('busy', { inFlight: 6 })
    expect(chooseDirectEndpoint(PLAIN_REQUEST, [failing, ejected, busy], buildChooserOptions())?.endpoint).to.equal(busy)
    expect(chooseDirectEndpoint(PLAIN_REQUEST, [failing, ejected], buildChooserOptions())?.endpoint).to.equal(failing)
    expect(chooseDirectEndpoint(PLAIN_REQUEST, [ejected], buildChooserOptions())?.endpoint).to.equal(ejected)
  })

  it('should not choose one that the request has been to', () => {
    const endpoints = [buildEndpoint('e-1')]
    expect(chooseDirectEndpoint(PLAIN_REQUEST, endpoints, buildChooserOptions({ excludedIds: new Set(['e-1']) }))).to.equal(null)
  })
})
