import { createServer } from 'node:http'

import { expect } from 'chai'

import { PlatformStore } from '../../platform/platformStore'
import { Progress } from '../../src/base/progress'

import type { IncomingMessage, Server } from 'node:http'
import type { AddressInfo } from 'node:net'

const DEPTH = 100_000
const DEEP = `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`

/** Objects in the store's own text, beside a valid one before and after. */
const ODD_ITEMS: Array<[string, string]> = [
  ['deeply nested', `{"metadata":{"name":"m","revision":5},"spec":{"service":"s","extra":${DEEP}}}`],
  ['deeply nested as a whole', `{"metadata":{"name":"m","revision":5},"spec":${DEEP}}`],
  ['with a number too large', '{"metadata":{"name":"m","revision":5},"spec":{"slots":1e999}}'],
  ['with a revision too large', '{"metadata":{"name":"m","revision":1e300},"spec":{}}'],
  ['with a revision below zero', '{"metadata":{"name":"m","revision":-4},"spec":{}}'],
  ['with a revision that is no whole number', '{"metadata":{"name":"m","revision":1.5},"spec":{}}'],
  ['without a revision', '{"metadata":{"name":"m"},"spec":{}}'],
  ['without metadata', '{"spec":{}}'],
  ['without a spec', '{"metadata":{"name":"m","revision":5}}'],
  ['that is a number', '7'],
  ['that is null', 'null']
]

describe('an odd object in the store', () => {
  let server: Server
  let store: PlatformStore
  let answer: (request: IncomingMessage) => string

  beforeEach(async () => {
    server = createServer((request, response) => response.end(answer(request)))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    store = new PlatformStore(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  })

  afterEach(() => {
    store.close()
    server.close()
  })

  function createProgress (): Progress {
    return new Progress({ title: 'testing', timeoutMs: 3000 })
  }

  function buildItem (name: string): string {
    return `{"metadata":{"name":"${name}","revision":3},"spec":{"service":"s"}}`
  }

  /** Answers a list in pages; each page continues after the name that the last one ended with. */
  function answerPages (pages: Array<{ after: string | null, items: string[] }>): (request: IncomingMessage) => string {
    return request => {
      const after = new URL(request.url ?? '', 'http://store').searchParams.get('after')
      const index = pages.findIndex(page => page.after === after)
      return `{"items":[${pages[index]?.items.join(',') ?? ''}],"truncated":${index !== -1 && index < pages.length - 1},"currentRev":9}`
    }
  }

  for (const [name, item] of ODD_ITEMS) {
    it(`should not keep the rest of a page, or later pages, from being read (one ${name})`, async () => {
      answer = answerPages([{ after: null, items: [buildItem('a'), item, buildItem('n')] }, { after: 'n', items: [item, buildItem('o')] }, { after: 'o', items: [buildItem('z')] }])
      const listed = (await store.list('servers/', createProgress())).unwrapOr(null)
      expect(listed?.objects.map(({ key }) => key)).to.include.members(['servers/a', 'servers/n', 'servers/o', 'servers/z'])
      for (const { value, version } of listed!.objects) {
        expect(() => JSON.stringify(value)).not.to.throw()
        expect(Number.isSafeInteger(version)).to.equal(true)
      }
    })

    it(`should not keep the other events of a batch from being read (one ${name})`, async () => {
      answer = () => `{"events":[{"object":${buildItem('a')},"deleted":false},{"object":${item},"deleted":false},{"object":${buildItem('z')},"deleted":true}],"currentRev":9}`
      const batch = (await store.watch('servers/', 3, 10, createProgress())).unwrapOr(null)
      const keys = batch?.events.map(event => event.kind === 'put' ? event.object.key : event.key)
      expect(keys?.at(0)).to.equal('servers/a')
      expect(keys?.at(-1)).to.equal('servers/z')
      expect(() => JSON.stringify(batch)).not.to.throw()
    })

    it(`should end no page too early as its last object (one ${name})`, async () => {
      const last = item.replace('"m"', '"b"')
      // a page that is continued after an earlier name begins with the odd object again
      answer = answerPages([{ after: null, items: [buildItem('a'), last] }, { after: 'a', items: [last, buildItem('z')] }])
      const continued = answer
      answer = request => request.url?.includes('after=b') === true ? `{"items":[${buildItem('z')}],"truncated":false,"currentRev":9}` : continued(request)
      const listed = (await store.list('servers/', createProgress())).unwrapOr(null)
      expect(listed?.objects.map(({ key }) => key)).to.include('servers/z')
    })
  }

  it('should be read around where a whole page holds nothing else', async () => {
    const odd = '{"metadata":{"name":"m"},"spec":{}}'
    answer = answerPages([{ after: null, items: [odd] }, { after: 'm', items: [buildItem('z')] }])
    const listed = (await store.list('servers/', createProgress())).unwrapOr(null)
    expect(listed?.objects.map(({ key }) => key)).to.deep.equal(['servers/z'])
  })

  it('should not make the list endless where pages do not go on', async () => {
    answer = () => `{"items":[${buildItem('a')}],"truncated":true,"currentRev":9}`
    expect((await store.list('servers/', createProgress())).isErr).to.equal(true)
  })

  for (const currentRev of ['1e300', '-1', '1.5', '"7"', 'null']) {
    it(`should not be taken for a position (${currentRev})`, async () => {
      answer = () => `{"items":[${buildItem('a')}],"truncated":false,"currentRev":${currentRev}}`
      expect((await store.list('servers/', createProgress())).isErr).to.equal(true)
    })
  }
})
