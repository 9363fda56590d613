import { expect } from 'chai'

import { CrashAttribution } from '../../src/policy/crashAttribution'

const ENDPOINT = { id: 'e-1', bornAtMs: 17 }

describe('CrashAttribution', () => {
  it('should attribute nothing when a connection breaks while the endpoint stays alive', () => {
    const attribution = new CrashAttribution(() => false)
    attribution.recordBrokenAttempt(ENDPOINT, 'a', 0)
    expect(attribution.recordExit({ id: 'e-2', bornAtMs: 17 }, 100)).to.equal(null)
    expect(attribution.recordExit(ENDPOINT, 9000)).to.equal(null)
  })

  it('should attribute a crash once, to the attempts that broke together', () => {
    const attribution = new CrashAttribution(() => false)
    attribution.recordBrokenAttempt(ENDPOINT, 'earlier', 0)
    attribution.recordBrokenAttempt(ENDPOINT, 'a', 1000)
    attribution.recordBrokenAttempt(ENDPOINT, 'b', 1002)
    expect(attribution.recordExit(ENDPOINT, 2000)).to.deep.equal({ crashId: 'e-1/17', endpointId: 'e-1', fingerprints: ['a', 'b'] })
    expect(attribution.recordExit(ENDPOINT, 2001)).to.equal(null)
  })

  it('should attribute the crash only to the suspect when one was running', () => {
    const attribution = new CrashAttribution(fingerprint => fingerprint === 'b')
    attribution.recordBrokenAttempt(ENDPOINT, 'a', 1000)
    attribution.recordBrokenAttempt(ENDPOINT, 'b', 1002)
    expect(attribution.recordExit(ENDPOINT, 2000)?.fingerprints).to.deep.equal(['b'])
  })
})
