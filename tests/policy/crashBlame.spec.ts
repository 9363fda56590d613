import { expect } from 'chai'

import { CrashBlame } from '../../src/policy/crashBlame'

const ENDPOINT = { id: 'e-1', bornAtMs: 17 }

describe('CrashBlame', () => {
  it('should blame nothing for a connection that broke while the endpoint lives on', () => {
    const blame = new CrashBlame(() => false)
    blame.recordBroken(ENDPOINT, 'a', 0)
    expect(blame.recordGone({ id: 'e-2', bornAtMs: 17 }, 100)).to.equal(null)
    expect(blame.recordGone(ENDPOINT, 9000)).to.equal(null)
  })

  it('should blame what broke together when the endpoint is gone, once', () => {
    const blame = new CrashBlame(() => false)
    blame.recordBroken(ENDPOINT, 'earlier', 0)
    blame.recordBroken(ENDPOINT, 'a', 1000)
    blame.recordBroken(ENDPOINT, 'b', 1002)
    expect(blame.recordGone(ENDPOINT, 2000)).to.deep.equal({ crashId: 'e-1/17', endpointId: 'e-1', fingerprints: ['a', 'b'] })
    expect(blame.recordGone(ENDPOINT, 2001)).to.equal(null)
  })

  it('should blame only the suspect when one was running', () => {
    const blame = new CrashBlame(fingerprint => fingerprint === 'b')
    blame.recordBroken(ENDPOINT, 'a', 1000)
    blame.recordBroken(ENDPOINT, 'b', 1002)
    expect(blame.recordGone(ENDPOINT, 2000)?.fingerprints).to.deep.equal(['b'])
  })
})
