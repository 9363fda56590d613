import { expect } from 'chai'

import { CrashAttribution } from '../../src/policy/crashAttribution'

const ENDPOINT = { id: 'e-1', address: '10.0.0.1:80', bornAtMs: 17 }

describe('CrashAttribution', () => {
  it('should attribute nothing when a connection breaks while the endpoint stays alive', () => {
    const attribution = new CrashAttribution(() => false)
    attribution.recordBrokenAttempt(ENDPOINT, createAttempt('a'), 0)
    expect(attribution.recordExit({ ...ENDPOINT, id: 'e-2' }, 100)).to.equal(null)
    expect(attribution.recordExit(ENDPOINT, 9000)).to.equal(null)
  })

  it('should attribute a crash once, to the attempts that broke together', () => {
    const attribution = new CrashAttribution(() => false)
    attribution.recordBrokenAttempt(ENDPOINT, createAttempt('earlier'), 0)
    attribution.recordBrokenAttempt(ENDPOINT, createAttempt('a'), 1000)
    attribution.recordBrokenAttempt(ENDPOINT, createAttempt('b'), 1002)
    expect(attribution.recordExit(ENDPOINT, 2000)).to.deep.equal({ crashId: 'e-1/17', endpointId: 'e-1', atMs: 1000, fingerprints: ['a', 'b'], requests: [['part-a'], ['part-b']] })
    expect(attribution.recordExit(ENDPOINT, 2001)).to.equal(null)
  })

  it('should attribute the crash only to the suspect when one was running', () => {
    const attribution = new CrashAttribution(fingerprint => fingerprint === 'b')
    attribution.recordBrokenAttempt(ENDPOINT, createAttempt('a'), 1000)
    attribution.recordBrokenAttempt(ENDPOINT, createAttempt('b'), 1002)
    expect(attribution.recordExit(ENDPOINT, 2000)?.fingerprints).to.deep.equal(['b'])
  })

  it('should add attempts whose break is noticed after the exit of the endpoint', () => {
    const attribution = new CrashAttribution(() => false)
    attribution.recordBrokenAttempt(ENDPOINT, createAttempt('a'), 1000)
    attribution.recordExit(ENDPOINT, 1001)
    expect(attribution.recordBrokenAttempt(ENDPOINT, createAttempt('b'), 1040)).to.deep.equal({ crashId: 'e-1/17', endpointId: 'e-1', atMs: 1040, fingerprints: ['b'], requests: [['part-b']] })
    expect(attribution.recordBrokenAttempt(ENDPOINT, createAttempt('c'), 9000)).to.equal(null)
  })

  it('should find the process that another one replaced at its address', () => {
    const attribution = new CrashAttribution(() => false)
    attribution.recordBrokenAttempt(ENDPOINT, createAttempt('a'), 1000)
    expect(attribution.findReplaced({ ...ENDPOINT, address: '10.0.0.2:80', id: 'e-9' })).to.deep.equal([])
    expect(attribution.findReplaced(ENDPOINT)).to.deep.equal([])
    expect(attribution.findReplaced({ ...ENDPOINT, bornAtMs: 18 })).to.deep.equal([ENDPOINT])
    expect(attribution.findReplaced({ ...ENDPOINT, id: 'e-9' })).to.deep.equal([ENDPOINT])
  })
})

function createAttempt (fingerprint: string): { fingerprint: string, parts: string[] } {
  return { fingerprint, parts: [`part-${fingerprint}`] }
}
