import { expect } from 'chai'

import { SharedCall } from '../../src/base/sharedCall'
import { hashStreamId } from '../../src/policy/streamIds'
import { StreamOrigins } from '../../src/policy/streamOrigins'

import type { StreamOrigin } from '../../src/policy/streamOrigins'

function buildOrigin (id: string, overrides: Partial<StreamOrigin> = {}): StreamOrigin {
  const { bucket, key } = hashStreamId(id)
  return { service: 'archive', bucket, key, version: 'v1', source: 'own', learnedAtMs: 0, ...overrides }
}

describe('the remembered origins of streams', () => {
  it('should keep what was learned first, and tell services apart', () => {
    const origins = new StreamOrigins()
    origins.record(buildOrigin('a-1'))
    origins.record(buildOrigin('a-1', { version: 'v2', source: 'peer' }))
    const { key } = hashStreamId('a-1')
    expect(origins.find('archive', key)).to.include({ version: 'v1', source: 'own' })
    expect(origins.find('desk', key)).to.equal(null)
  })

  it('should be reported for a second after they were learned or became uncertain, and only while they are', () => {
    const origins = new StreamOrigins()
    origins.record(buildOrigin('old'))
    origins.record(buildOrigin('new', { learnedAtMs: 5000 }))
    const listNews = (movedAtMs: number | null, nowMs: number) => origins.listNews(new Set(['own']), () => movedAtMs, nowMs).map(({ key }) => key)
    expect(listNews(null, 5100)).to.deep.equal([])
    expect(listNews(-9000, 5100)).to.deep.equal([hashStreamId('new').key])
    origins.recordMove()
    expect(listNews(5000, 5100)).to.deep.equal([hashStreamId('old').key, hashStreamId('new').key])
    expect(listNews(5000, 6100)).to.deep.equal([])
    origins.recordMove()
    expect(origins.listNews(new Set(['peer']), () => 6000, 6100)).to.deep.equal([])
    expect(listNews(6000, 6100)).to.have.length(2)
  })

  it('should be bounded under a flood, in memory and in a report', () => {
    const origins = new StreamOrigins()
    for (let index = 0; index < 20_000; index++) origins.record(buildOrigin(`flood-${index}`))
    expect(origins.size).to.equal(4096)
    expect(origins.listNews(new Set(['own']), () => 0, 10)).to.have.length(300)
    expect(origins.find('archive', hashStreamId('flood-19999').key)).not.to.equal(null)
    origins.expire(() => true)
    expect(origins.size).to.equal(0)
  })
})

describe('a shared call', () => {
  it('should start after those that share it have asked, also after a call that failed', async () => {
    let calls = 0
    const shared = new SharedCall(async () => {
      calls += 1
      const number = calls
      await new Promise(resolve => setTimeout(resolve, 5))
      if (number === 1) throw new Error('first')
      return number
    })
    const first = shared.run().catch((error: Error) => error.message)
    await new Promise(resolve => setTimeout(resolve, 1))
    const others = [shared.run(), shared.run()]
    expect(await first).to.equal('first')
    expect(await Promise.all(others)).to.deep.equal([2, 2])
    expect(await shared.run()).to.equal(3)
  })
})
