import { expect } from 'chai'
import { Result } from 'true-myth'

import { ManualClock } from '../../src/base/clock'
import { Progress } from '../../src/base/progress'
import { SharedViewService } from '../../src/store/sharedViewService'
import { MemoryObjectService, MemoryObjectStore } from '../fakes/memoryObjectService'

import type { ViewReader } from '../../src/store/sharedViewService'

const PREFIX = 'servers/'

interface SharedViewFixture {
  store: MemoryObjectStore
  clock: ManualClock
  reader: SharedViewService
  readerStore: MemoryObjectService
  follower: SharedViewService
  followerStore: MemoryObjectService
  failures: string[]
}

/** Creates two processes of one failure domain. The second reads the view of the first until the first fails. */
function createSharedViews (): SharedViewFixture {
  const store = new MemoryObjectStore()
  const clock = new ManualClock(1000)
  const failures: string[] = []
  const readerStore = new MemoryObjectService(store)
  const followerStore = new MemoryObjectService(store)
  const reader = new SharedViewService({ clock, store: readerStore, prefixes: [PREFIX], chooseReader: () => null, handleAnswer: () => {}, handleFailure: () => {} })
  const readerLink: ViewReader = {
    id: 'reader',
    listView: async prefix => Result.ok(reader.answerList(prefix)),
    watchView: async (prefix, afterRevision, waitMs, progress) => Result.ok(await reader.answerWatch(prefix, afterRevision, waitMs, progress.signal))
  }
  const follower = new SharedViewService({
    clock,
    store: followerStore,
    prefixes: [PREFIX],
    chooseReader: () => failures.length === 0 ? readerLink : null,
    handleAnswer: () => {},
    handleFailure: (_reader, reason) => failures.push(reason)
  })
  return { store, clock, reader, readerStore, follower, followerStore, failures }
}

function createProgress (): Progress {
  return new Progress({ title: 'testing', timeoutMs: 2000 })
}

describe('SharedViewService', () => {
  it('should receive changes through a peer without a call to the object service', async () => {
    const { store, reader, follower, followerStore } = createSharedViews()
    store.put('servers/a', { service: 's' })
    const listed = (await reader.list(PREFIX, createProgress())).unwrapOr({ objects: [], revision: -1 })
    const followed = (await follower.list(PREFIX, createProgress())).unwrapOr({ objects: [], revision: -1 })
    expect(followed.objects).to.deep.equal(listed.objects)
    const waiting = follower.watch(PREFIX, followed.revision, 500, createProgress())
    store.put('servers/b', { service: 's' })
    await reader.watch(PREFIX, listed.revision, 500, createProgress())
    expect((await waiting).unwrapOr(null)?.events).to.have.length(1)
    expect(followerStore.calls.list + followerStore.calls.watch).to.equal(0)
  })

  it('should return the age of the view as reported by the reader', async () => {
    const { clock, reader, follower } = createSharedViews()
    await reader.list(PREFIX, createProgress())
    clock.advance(700)
    const followed = (await follower.list(PREFIX, createProgress())).unwrapOr(null)
    expect(followed?.ageMs).to.equal(700)
  })

  it('should read the object service itself when the reader has lost it, even in the middle of a watch', async () => {
    const { store, reader, readerStore, follower, followerStore, failures } = createSharedViews()
    const { revision } = (await reader.list(PREFIX, createProgress())).unwrapOr({ objects: [], revision: -1 })
    await follower.list(PREFIX, createProgress())
    const waiting = follower.watch(PREFIX, revision, 500, createProgress())
    readerStore.setFaults({ outage: true })
    await reader.watch(PREFIX, revision, 500, createProgress())
    expect((await waiting).isErr).to.equal(true)
    expect(failures).to.have.length(1)
    store.put('servers/a', { service: 's' })
    const direct = (await follower.list(PREFIX, createProgress())).unwrapOr({ objects: [], revision: -1 })
    expect(direct.objects).to.have.length(1)
    expect(followerStore.calls.list).to.equal(1)
  })

  it('should reject an outdated view of a reader', async () => {
    const { clock, reader, follower, failures } = createSharedViews()
    await reader.list(PREFIX, createProgress())
    clock.advance(3_001)
    expect((await follower.list(PREFIX, createProgress())).isErr).to.equal(true)
    expect(failures[0]).to.match(/3001 ms old/)
  })

  it('should not serve a view that another process read', async () => {
    const { reader, follower } = createSharedViews()
    await reader.list(PREFIX, createProgress())
    await follower.list(PREFIX, createProgress())
    expect(follower.answerList(PREFIX).kind).to.equal('unavailable')
  })

  it('should serve a view to peers soon after it starts to read the object service itself', async () => {
    const { store, reader, follower, failures } = createSharedViews()
    store.put('servers/a', {})
    await reader.list(PREFIX, createProgress())
    const { revision } = (await follower.list(PREFIX, createProgress())).unwrapOr({ objects: [], revision: -1 })
    failures.push('no longer in use')
    follower.answerList(PREFIX)
    const watched = await follower.watch(PREFIX, revision, 10, createProgress())
    expect(watched.isErr && watched.error.kind).to.equal('conflict')
    await follower.list(PREFIX, createProgress())
    expect(follower.answerList(PREFIX)).to.include({ kind: 'objects', revision })
    expect((await follower.watch(PREFIX, revision, 10, createProgress())).isOk).to.equal(true)
  })

  it('should refuse its followers when it stops', async () => {
    const { reader, follower, failures } = createSharedViews()
    await reader.list(PREFIX, createProgress())
    reader.stopServing()
    expect((await follower.list(PREFIX, createProgress())).isErr).to.equal(true)
    expect(failures).to.have.length(1)
    await reader.list(PREFIX, createProgress())
    expect(reader.answerList(PREFIX).kind).to.equal('unavailable')
  })

  it('should require a new list when the reader does not have the position', async () => {
    const { store, reader, follower } = createSharedViews()
    store.put('servers/a', {})
    store.put('servers/b', {})
    await reader.list(PREFIX, createProgress())
    const watched = await follower.watch(PREFIX, 1, 100, createProgress())
    expect(watched.isErr && watched.error.kind).to.equal('conflict')
  })

  it('should keep its position with a reader that is behind and has no changes', async () => {
    const { store, reader, follower, failures } = createSharedViews()
    await reader.list(PREFIX, createProgress())
    store.put('config/main', {})
    store.put('config/main', {})
    const watched = (await follower.watch(PREFIX, 2, 20, createProgress())).unwrapOr(null)
    expect(watched).to.include({ revision: 2, ageMs: 0 })
    expect(watched?.events).to.deep.equal([])
    expect(failures).to.deep.equal([])
  })

  it('should reject the list of a reader that is behind', async () => {
    const { store, reader, follower, failures } = createSharedViews()
    await reader.list(PREFIX, createProgress())
    store.put('servers/a', {})
    await follower.watch(PREFIX, 1, 20, createProgress())
    expect((await follower.list(PREFIX, createProgress())).isErr).to.equal(true)
    expect(failures[0]).to.match(/is behind/)
    expect((await follower.list(PREFIX, createProgress())).unwrapOr(null)?.objects).to.have.length(1)
  })
})
