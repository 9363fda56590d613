import { expect } from 'chai'

import { ManualClock } from '../src/base/clock'
import { Progress } from '../src/base/progress'
import { parseManifest } from '../src/config/manifest'
import { ConfigPublisher } from '../src/store/configPublisher'
import { MANIFEST_KEY, PARTS_PREFIX } from '../src/store/keys'
import { MemoryObjectService, MemoryObjectStore } from './fakes/memoryObjectService'
import { buildFleetTree, updateWorkspace } from './fixtures/fleetTree'

import type { FleetTree } from '../src/config/fleetSchema'
import type { Manifest } from '../src/config/manifest'

describe('ConfigPublisher', () => {
  it('should let one of two racing operators win and show the other one the changes', async () => {
    const store = new MemoryObjectStore()
    const tree = buildFleetTree()
    const anna = createOperator('anna', store)
    await anna.publish(tree)
    const bert = createOperator('bert', store)
    bert.service.setFaults({
      beforePut: async key => {
        if (key !== MANIFEST_KEY) return
        bert.service.setFaults({ beforePut: null })
        await anna.publish(updateWorkspace(tree, 'workspace-3', 77))
      }
    })
    const lost = await bert.publish(updateWorkspace(tree, 'workspace-4', 55))
    if (lost.isOk || lost.error.kind !== 'conflict') throw new Error('expected a conflict')
    expect(lost.error.current.appliedBy).to.equal('anna')
    expect(lost.error.changes).to.deep.equal([{ kind: 'changed', path: 'workspaces.workspace-3.requestsPerSecond', before: 10, after: 77 }])
    expect(getManifest(store).generation).to.equal(2)
  })

  it('should refuse to replace a generation that the operator has not seen', async () => {
    const store = new MemoryObjectStore()
    const operator = createOperator('anna', store)
    await operator.publish(buildFleetTree())
    await operator.publish(buildFleetTree({ deadlineMs: 900 }))
    const late = await operator.publish(buildFleetTree({ deadlineMs: 800 }), 1)
    expect(late.isErr && late.error).to.deep.include({ kind: 'conflict', baseGeneration: 1 })
    expect(getManifest(store).generation).to.equal(2)
  })

  it('should recognize its own write as accepted after a lost response', async () => {
    const store = new MemoryObjectStore()
    const operator = createOperator('anna', store)
    operator.service.setFaults({
      beforePut: async key => {
        if (key === MANIFEST_KEY) operator.service.setFaults({ beforePut: null, lostAnswers: 1 })
      }
    })
    const publication = await operator.publish(buildFleetTree())
    expect(publication.isOk && publication.value.kind).to.equal('accepted')
    expect(operator.service.log.filter(line => line === `put ${MANIFEST_KEY}`)).to.have.length(2)
    expect(getManifest(store).generation).to.equal(1)
  })

  it('should return an unknown outcome when the object service fails during the manifest write', async () => {
    const operator = createOperator('anna', new MemoryObjectStore())
    operator.service.setFaults({
      beforePut: async key => {
        if (key === MANIFEST_KEY) operator.service.setFaults({ lostAnswers: 1, outage: true })
      }
    })
    const publication = await operator.publish(buildFleetTree(), undefined, 300)
    expect(publication.isErr && publication.error).to.deep.include({ kind: 'unknownOutcome', generation: 1 })
  })

  it('should change nothing when the object service is unavailable from the start', async () => {
    const operator = createOperator('anna', new MemoryObjectStore())
    operator.service.setFaults({ outage: true })
    const publication = await operator.publish(buildFleetTree())
    expect(publication.isErr && publication.error.kind).to.equal('unavailable')
  })

  it('should delete parts one generation after their last use, but not one that is used again', async () => {
    const store = new MemoryObjectStore()
    const operator = createOperator('anna', store)
    const tree = buildFleetTree()
    await operator.publish(tree)
    await operator.publish(updateWorkspace(tree, 'workspace-1', 11))
    const returning = createOperator('bert', store)
    const back = await returning.publish(tree)
    await operator.publish(updateWorkspace(tree, 'workspace-1', 12))
    expect(back.isOk && back.value.kind).to.equal('accepted')
    const manifest = getManifest(store)
    const stored = [...store.objects.keys()].filter(key => key.startsWith(PARTS_PREFIX))
    const expectedDigests = [...manifest.parts.map(part => part.digest), ...manifest.dropped]
    expect(stored.sort()).to.deep.equal(expectedDigests.map(digest => `${PARTS_PREFIX}${digest}`).sort())
  })

  it('should not delete a part that another operator has started to use meanwhile', async () => {
    const store = new MemoryObjectStore()
    const tree = buildFleetTree()
    const first = updateWorkspace(tree, 'workspace-1', 11)
    const anna = createOperator('anna', store)
    await anna.publish(first)
    await anna.publish(tree)
    anna.service.delete = async (...call) => {
      anna.service.delete = MemoryObjectService.prototype.delete
      await createOperator('bert', store).publish(first)
      return await anna.service.delete(...call)
    }
    await anna.publish(updateWorkspace(tree, 'workspace-2', 12))
    const manifest = getManifest(store)
    expect(manifest.appliedBy).to.equal('bert')
    for (const part of manifest.parts) expect(store.objects.has(`${PARTS_PREFIX}${part.digest}`), part.name).to.equal(true)
  })
})

function createOperator (appliedBy: string, store: MemoryObjectStore) {
  const service = new MemoryObjectService(store)
  const publisher = new ConfigPublisher(service, { appliedBy, clock: new ManualClock() })
  const publish = async (tree: FleetTree, baseGeneration?: number, timeoutMs = 5_000) =>
    await publisher.publish(tree, new Progress({ title: 'publishing', timeoutMs }), { baseGeneration })
  return { service, publish }
}

function getManifest (store: MemoryObjectStore): Manifest {
  const manifest = parseManifest(store.objects.get(MANIFEST_KEY)?.value)
  if (manifest === null) throw new Error('the store contains no valid manifest')
  return manifest
}
