import { expect } from 'chai'

import { Progress } from '../src/base/progress'
import { MemoryObjectService } from './fakes/memoryObjectService'

const progress = new Progress({ title: 'testing the fake', timeoutMs: 5_000 })

describe('MemoryObjectService', () => {
  it('should refuse a conditional write whose version is not the current one', async () => {
    const service = new MemoryObjectService()
    await service.put('a', 1, { kind: 'absent' }, progress)
    await service.put('a', 2, { kind: 'version', version: 1 }, progress)
    const late = await service.put('a', 3, { kind: 'version', version: 1 }, progress)
    expect(late.isErr && late.error).to.deep.equal({ kind: 'conflict', current: { key: 'a', version: 2, value: 2 } })
  })

  it('should apply a write whose response is lost', async () => {
    const service = new MemoryObjectService()
    service.setFaults({ lostAnswers: 1 })
    const write = await service.put('a', 1, { kind: 'absent' }, progress)
    expect(write.isErr && write.error.kind).to.equal('unknownOutcome')
    expect(service.store.objects.get('a')?.value).to.equal(1)
  })

  it('should return no events from watches until the fault ends', async () => {
    const service = new MemoryObjectService()
    service.setFaults({ holdWatches: true })
    const watch = service.watch('a', 0, 5_000, progress)
    await service.put('a', 1, { kind: 'absent' }, progress)
    expect(await Promise.race([watch, Promise.resolve('waiting')])).to.equal('waiting')
    service.setFaults({ holdWatches: false })
    const batch = await watch
    expect(batch.isOk && batch.value.events).to.have.length(1)
  })
})
