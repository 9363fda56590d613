import { expect } from 'chai'

import { decideOnStall, isEndpointUnresponsive, isIdleTimeoutExceeded } from '../../src/policy/stallDetection'

import type { EndpointActivity, AttemptInFlight } from '../../src/policy/stallDetection'

function buildAttempt (overrides: Partial<AttemptInFlight> = {}): AttemptInFlight {
  return { kind: 'idempotent', isRetryable: true, hasAlternative: true, sentAtMs: 0, heardAtMs: null, targetMs: 300, betweenEventsTargetMs: 150, ...overrides }
}

function buildActivity (overrides: Partial<EndpointActivity> = {}): EndpointActivity {
  return { heardAtMs: 0, lastPeerByteAtMs: -Infinity, pendingTokens: 0, silentSends: 2, ...overrides }
}

describe('an attempt that receives no bytes', () => {
  it('should be abandoned near its target when it is idempotent and answers are typically fast', () => {
    expect(decideOnStall(buildAttempt(), buildActivity(), 50, 230)).to.deep.equal({ kind: 'wait' })
    expect(decideOnStall(buildAttempt(), buildActivity(), 50, 250)).to.deep.equal({ kind: 'giveUp', reason: 'answerLate' })
    expect(decideOnStall(buildAttempt(), buildActivity(), 100, 350)).to.deep.equal({ kind: 'wait' })
  })

  it('should not be abandoned when it is not retryable or has no alternative endpoint', () => {
    expect(decideOnStall(buildAttempt({ isRetryable: false }), buildActivity(), 50, 5000)).to.deep.equal({ kind: 'wait' })
    expect(decideOnStall(buildAttempt({ hasAlternative: false }), buildActivity(), 50, 5000)).to.deep.equal({ kind: 'wait' })
  })

  it('should be abandoned when its endpoint is unresponsive, but not while other answers arrive', () => {
    const stream = buildAttempt({ kind: 'stream' })
    expect(decideOnStall(stream, buildActivity({ heardAtMs: 100 }), 50, 950)).to.deep.equal({ kind: 'giveUp', reason: 'endpointSilent' })
    expect(decideOnStall(stream, buildActivity({ heardAtMs: 900, silentSends: 0 }), 50, 950)).to.deep.equal({ kind: 'wait' })
  })

  it('should be abandoned when its stream stalls while others continue', () => {
    const stalled = buildAttempt({ kind: 'stream', heardAtMs: 1000 })
    expect(decideOnStall(stalled, buildActivity({ heardAtMs: 2600, silentSends: 0 }), 50, 2600)).to.deep.equal({ kind: 'giveUp', reason: 'streamStalled' })
  })

  it('should not make the endpoint count as unresponsive when no other attempt stalls, since it may just be slow', () => {
    const stream = buildAttempt({ kind: 'stream' })
    expect(isEndpointUnresponsive(buildActivity({ silentSends: 1 }))).to.equal(false)
    expect(isEndpointUnresponsive(buildActivity({ silentSends: 2 }))).to.equal(true)
    expect(decideOnStall(stream, buildActivity({ silentSends: 1 }), 50, 950)).to.deep.equal({ kind: 'wait' })
    expect(decideOnStall(stream, buildActivity({ silentSends: 1 }), 50, 1600)).to.deep.equal({ kind: 'giveUp', reason: 'streamStalled' })
  })

  it('should not exceed the idle timeout of an endpoint that answers peer gateways', () => {
    const stream = buildAttempt({ kind: 'stream' })
    const busy = buildActivity({ lastPeerByteAtMs: 1500 })
    expect(isIdleTimeoutExceeded(buildActivity(), 0, 2400)).to.equal(true)
    expect(isIdleTimeoutExceeded(busy, 0, 2400)).to.equal(false)
    expect(isIdleTimeoutExceeded(busy, 0, 3600)).to.equal(true)
    expect(decideOnStall(stream, { ...busy, silentSends: 0 }, 50, 2400)).to.deep.equal({ kind: 'wait' })
    expect(decideOnStall(stream, buildActivity({ lastPeerByteAtMs: 3000, silentSends: 0 }), 50, 3100)).to.deep.equal({ kind: 'giveUp', reason: 'streamStalled' })
  })

  it('should allow an endpoint time to prefill long prompts', () => {
    expect(isIdleTimeoutExceeded(buildActivity(), 0, 900)).to.equal(true)
    expect(isIdleTimeoutExceeded(buildActivity({ pendingTokens: 40_000 }), 0, 2500)).to.equal(false)
  })
})
