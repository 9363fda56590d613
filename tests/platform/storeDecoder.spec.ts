import { expect } from 'chai'

import { storeDecoder } from '../../platform/storeDecoder'
import { buildPlatformConfig, buildRoute } from '../relay/relayFixture'

const ENTRY = { service: 's', address: '10.0.0.1:80', zone: 'z', version: 'v1', slots: 6, state: 'ready', born: 17, seq: 4 }

describe('objects of the platform', () => {
  it('should decode routes with one service and with several, and accept missing optional fields', () => {
    const split = buildRoute({ name: 'r-2', service: undefined, trafficSplit: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }], kind: 'streaming', resumable: true })
    const config = storeDecoder.decodeConfig(buildPlatformConfig({ routes: [buildRoute(), split], tenants: undefined, later: 1 })).unwrapOr(null)
    expect(config?.routes[0]).to.deep.include({ kind: 'idempotent', shares: [{ service: 'archive', weight: 1 }], rank: 1, isResumable: false, isPublic: false })
    expect(config?.routes[1]).to.deep.include({ kind: 'stream', isResumable: true, shares: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] })
    expect(config?.workspaces).to.equal(null)
  })

  it('should report what is wrong with an invalid configuration', () => {
    const result = storeDecoder.decodeConfig({ version: 'x' })
    expect(result.isErr && result.error).to.include('version')
  })

  for (const [name, value] of [
    ['a missing field', { ...ENTRY, service: undefined }],
    ['a field of another type', { ...ENTRY, address: 7 }],
    ['an unknown state', { ...ENTRY, state: 'asleep' }],
    ['a version that is no text', { ...ENTRY, version: 3 }],
    ['no address', { ...ENTRY, address: 'runner' }],
    ['a value that is no object', 'text']
  ] as Array<[string, unknown]>) {
    it(`should ignore an entry with ${name}`, () => {
      expect(storeDecoder.decodeEndpoint('e-1', value)).to.equal(null)
    })
  }

  it('should decode a valid entry', () => {
    expect(storeDecoder.decodeEndpoint('e-1', ENTRY)).to.deep.equal({ id: 'e-1', service: 's', address: '10.0.0.1:80', domain: 'z', version: 'v1', slots: 6, state: 'ready', bornAtMs: 17 })
  })
})
