import { expect } from 'chai'

import { decideOnSilence, isEndpointSilent, isSilent } from '../../src/policy/silence'

import type { SilentEndpoint, SilentSend } from '../../src/policy/silence'

function buildSend (overrides: Partial<SilentSend> = {}): SilentSend {
  return { kind: 'idempotent', isRepeatable: true, hasAlternative: true, sentAtMs: 0, heardAtMs: null, targetMs: 300, betweenEventsTargetMs: 150, ...overrides }
}

function buildEndpoint (overrides: Partial<SilentEndpoint> = {}): SilentEndpoint {
  return { heardAtMs: 0, heardByOthersAtMs: -Infinity, pendingTokens: 0, silentSends: 2, ...overrides }
}

describe('a send on which nothing comes', () => {
  it('should be given up near its target when it is idempotent and answers are usually fast', () => {
    expect(decideOnSilence(buildSend(), buildEndpoint(), 50, 230)).to.deep.equal({ kind: 'wait' })
    expect(decideOnSilence(buildSend(), buildEndpoint(), 50, 250)).to.deep.equal({ kind: 'giveUp', reason: 'answerLate' })
    expect(decideOnSilence(buildSend(), buildEndpoint(), 100, 350)).to.deep.equal({ kind: 'wait' })
  })

  it('should be waited for when it may not run twice or nobody else could answer', () => {
    expect(decideOnSilence(buildSend({ isRepeatable: false }), buildEndpoint(), 50, 5000)).to.deep.equal({ kind: 'wait' })
    expect(decideOnSilence(buildSend({ hasAlternative: false }), buildEndpoint(), 50, 5000)).to.deep.equal({ kind: 'wait' })
  })

  it('should be given up when its endpoint is silent to all, but not while other answers come', () => {
    const stream = buildSend({ kind: 'stream' })
    expect(decideOnSilence(stream, buildEndpoint({ heardAtMs: 100 }), 50, 950)).to.deep.equal({ kind: 'giveUp', reason: 'endpointSilent' })
    expect(decideOnSilence(stream, buildEndpoint({ heardAtMs: 900, silentSends: 0 }), 50, 950)).to.deep.equal({ kind: 'wait' })
  })

  it('should be given up when its stream stalls while others go on', () => {
    const stalled = buildSend({ kind: 'stream', heardAtMs: 1000 })
    expect(decideOnSilence(stalled, buildEndpoint({ heardAtMs: 2600, silentSends: 0 }), 50, 2600)).to.deep.equal({ kind: 'giveUp', reason: 'streamStalled' })
  })

  it('should not be held against the endpoint when it is the only one, since it may be slow by itself', () => {
    const stream = buildSend({ kind: 'stream' })
    expect(isEndpointSilent(buildEndpoint({ silentSends: 1 }))).to.equal(false)
    expect(isEndpointSilent(buildEndpoint({ silentSends: 2 }))).to.equal(true)
    expect(decideOnSilence(stream, buildEndpoint({ silentSends: 1 }), 50, 950)).to.deep.equal({ kind: 'wait' })
    expect(decideOnSilence(stream, buildEndpoint({ silentSends: 1 }), 50, 1600)).to.deep.equal({ kind: 'giveUp', reason: 'streamStalled' })
  })

  it('should not be held against an endpoint that answers other gateways', () => {
    const stream = buildSend({ kind: 'stream' })
    const busy = buildEndpoint({ heardByOthersAtMs: 1500 })
    expect(isSilent(buildEndpoint(), 0, 2400)).to.equal(true)
    expect(isSilent(busy, 0, 2400)).to.equal(false)
    expect(isSilent(busy, 0, 3600)).to.equal(true)
    expect(decideOnSilence(stream, { ...busy, silentSends: 0 }, 50, 2400)).to.deep.equal({ kind: 'wait' })
    expect(decideOnSilence(stream, buildEndpoint({ heardByOthersAtMs: 3000, silentSends: 0 }), 50, 3100)).to.deep.equal({ kind: 'giveUp', reason: 'streamStalled' })
  })

  it('should leave an endpoint the time to read long prompts', () => {
    expect(isSilent(buildEndpoint(), 0, 900)).to.equal(true)
    expect(isSilent(buildEndpoint({ pendingTokens: 40_000 }), 0, 2500)).to.equal(false)
  })
})
