import { expect } from 'chai'

import { Progress } from '../../src/base/progress'
import { HttpObjectService } from '../../src/store/httpObjectService'
import { startPlatform } from '../../standins/platform/platformServer'

import type { ListedInstance } from '../../src/store/objectService'

describe('list of instances', () => {
  it('should come from the cache while it is unchanged, and be fetched again after a change', async () => {
    const platform = await startPlatform({ instancesLagMs: 0 })
    const service = new HttpObjectService({ baseUrl: platform.url })
    const list = async () => (await service.listInstances(new Progress({ title: 'listing', timeoutMs: 2_000 }))).unwrapOr(null)
    try {
      platform.setInstances([createInstance('a')])
      const first = await list()
      expect(first).to.deep.equal([createInstance('a')])
      expect(await list(), 'cached from the first call').to.equal(first)
      platform.setInstances([createInstance('a'), createInstance('b')])
      expect(await list()).to.deep.equal([createInstance('a'), createInstance('b')])
    } finally {
      await service.close()
      await platform.close()
    }
  })
})

function createInstance (instanceId: string): ListedInstance {
  return { instanceId, role: 'sidecar', address: '127.0.0.1:1', domain: 'd', state: 'live' }
}
