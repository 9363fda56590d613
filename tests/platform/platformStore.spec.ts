import { expect } from 'chai'

import { PlatformStore } from '../../platform/platformStore'
import { Progress } from '../../src/base/progress'
import { PrefixWatcher } from '../../src/store/prefixWatcher'
import { ObjectsServer } from '../../standins/objects/objectsServer'
import { waitUntil } from '../relay/relayFixture'

import type { ObjectsFault } from '../../standins/objects/objectsServer'

function createProgress (timeoutMs = 1000): Progress {
  return new Progress({ title: 'testing', timeoutMs })
}

describe("the platform's store", () => {
  let server: ObjectsServer
  let store: PlatformStore

  beforeEach(async () => {
    server = new ObjectsServer({ pageSize: 2 })
    await server.open()
    store = new PlatformStore(server.url)
  })

  afterEach(async () => {
    store.close()
    await server.close()
  })

  it('should read a list in pages and a single object', async () => {
    for (const name of ['a', 'b', 'c', 'd', 'e']) server.put('servers', name, { service: name })
    server.put('config', 'main', { version: 7 })
    const listed = (await store.list('servers/', createProgress())).unwrapOr(null)
    expect(listed?.objects.map(object => object.key)).to.deep.equal(['servers/a', 'servers/b', 'servers/c', 'servers/d', 'servers/e'])
    expect((await store.list('config/main', createProgress())).unwrapOr(null)?.objects).to.have.length(1)
    expect((await store.get('config/main', createProgress())).unwrapOr(null)?.value).to.deep.equal({ version: 7 })
    expect((await store.get('config/other', createProgress())).unwrapOr('failed')).to.equal(null)
  })

  it('should wait for changes and say when its history is gone', async () => {
    const { revision } = (await store.list('servers/', createProgress())).unwrapOr({ revision: 0, objects: [] })
    const waiting = store.watch('servers/', revision, 1000, createProgress(2000))
    server.put('servers', 'a', { service: 's' })
    expect((await waiting).unwrapOr(null)?.events).to.have.length(1)
    server.dropHistory()
    const gone = await store.watch('servers/', revision, 100, createProgress())
    expect(gone.isErr && gone.error.kind).to.equal('conflict')
  })

  it('should create, replace and delete only under the condition', async () => {
    const created = (await store.put('poison/x', { n: 1 }, { kind: 'absent' }, createProgress())).unwrapOr({ version: 0 })
    const again = await store.put('poison/x', { n: 2 }, { kind: 'absent' }, createProgress())
    expect(again.isErr && again.error.kind).to.equal('conflict')
    const stale = await store.put('poison/x', { n: 3 }, { kind: 'version', version: created.version - 1 }, createProgress())
    expect(stale.isErr && stale.error.kind).to.equal('conflict')
    const replaced = (await store.put('poison/x', { n: 4 }, { kind: 'version', version: created.version }, createProgress())).unwrapOr({ version: 0 })
    expect((await store.delete('poison/x', replaced.version, createProgress())).isOk).to.equal(true)
  })

  for (const [fault, kind] of [['busy', 'unavailable'], ['limited', 'rateLimited'], ['reset', 'unavailable'], ['silent', 'unavailable'], ['garbled', 'unavailable']] as Array<[ObjectsFault, string]>) {
    it(`should tell a read that fails, '${fault}', as '${kind}'`, async () => {
      server.fault = fault
      const result = await store.list('servers/', createProgress(150))
      expect(result.isErr && result.error.kind).to.equal(kind)
    })
  }

  it('should not claim that a write without an answer was not done', async () => {
    server.fault = 'silent'
    const result = await store.put('poison/x', {}, { kind: 'absent' }, createProgress(150))
    expect(result.isErr && result.error.kind).to.equal('unknownOutcome')
  })

  it('should be followed through silent connections, an outage and a dropped history', async () => {
    const seen = new Map<string, unknown>()
    let failures = 0
    const watcher = new PrefixWatcher({
      service: store,
      prefix: 'servers/',
      timing: { watchMs: 60, watchGraceMs: 60, listTimeoutMs: 100, minRearmMs: 1, maxRearmMs: 5, backoffBaseMs: 5, backoffCapMs: 20 },
      handleList: objects => {
        seen.clear()
        for (const object of objects) seen.set(object.key, object.value)
      },
      handleEvents: events => {
        for (const event of events) event.kind === 'put' ? seen.set(event.object.key, event.object.value) : seen.delete(event.key)
      },
      handleFailed: () => { failures += 1 }
    })
    watcher.start()
    server.put('servers', 'a', 1)
    await waitUntil('the first object', () => seen.has('servers/a'))
    for (const fault of ['silent', 'reset', 'busy'] as const) {
      server.fault = fault
      server.put('servers', fault, 2)
      const before = failures
      await waitUntil('a failed call', () => failures > before)
      server.fault = 'none'
      await waitUntil(`the object of the time of '${fault}'`, () => seen.has(`servers/${fault}`))
    }
    server.dropHistory()
    server.remove('servers', 'a')
    server.dropHistory()
    await waitUntil('the deletion', () => !seen.has('servers/a'))
    await watcher.stop()
  })
})
