import http from 'node:http'

import { expect } from 'chai'

import { ManualClock } from '../../src/base/clock'
import { Progress } from '../../src/base/progress'
import { HttpObjectService } from '../../src/store/httpObjectService'
import { retryCall } from '../../src/store/retryCall'
import { TokenBucket } from '../../src/store/tokenBucket'
import { createProgress } from './platformFixtures'

import type { AddressInfo, Socket } from 'node:net'

interface StubServer {
  url: string
  requests: string[]
  close (): Promise<void>
}

describe('HttpObjectService', () => {
  it('should distinguish a call that was never sent from one sent without a response', async () => {
    const server = await startStub((request, response) => response.destroy())
    const service = new HttpObjectService({ baseUrl: server.url })
    const lost = await service.put('a/b', 1, { kind: 'absent' }, createProgress())
    await server.close()
    const refused = await service.put('a/b', 1, { kind: 'absent' }, createProgress())
    await service.close()
    expect([lost, refused].map(getErrorKind)).to.deep.equal(['unknownOutcome', 'unavailable'])
  })

  it('should report a write past the caller\'s deadline as an unknown outcome, and a read as unavailable', async () => {
    const server = await startStub(() => {})
    const service = new HttpObjectService({ baseUrl: server.url })
    const results = [
      await service.put('a', 1, { kind: 'absent' }, createProgress(50)),
      await service.get('a', createProgress(50))
    ]
    await closeAll(service, server)
    expect(results.map(getErrorKind)).to.deep.equal(['unknownOutcome', 'unavailable'])
  })

  it('should map each status to a typed error', async () => {
    const answers: Array<[number, string]> = [[412, '{"current":null}'], [412, 'nonsense'], [429, ''], [503, ''], [500, ''], [413, ''], [200, '{"version":"x"}']]
    const server = await startStub((_request, response) => {
      const [status, body] = answers.shift()!
      response.writeHead(status, { 'retry-after': '2' }).end(body)
    })
    const service = new HttpObjectService({ baseUrl: server.url })
    const kinds: string[] = []
    while (answers.length > 0) kinds.push(getErrorKind(await service.put('a', 1, { kind: 'version', version: 3 }, createProgress())))
    await closeAll(service, server)
    expect(kinds).to.deep.equal(['conflict', 'unavailable', 'rateLimited', 'unavailable', 'unknownOutcome', 'unavailable', 'unknownOutcome'])
  })

  it('should refuse a response above the size limit and a value above one megabyte', async () => {
    const server = await startStub((_request, response) => { response.end(`{"key":"a","version":1,"value":"${'x'.repeat(3_000_000)}"}`) })
    const service = new HttpObjectService({ baseUrl: server.url })
    const answer = await service.get('a', createProgress())
    const value = await service.put('a', 'x'.repeat(1_000_001), { kind: 'absent' }, createProgress())
    await closeAll(service, server)
    expect([answer, value].map(getErrorKind)).to.deep.equal(['unavailable', 'unavailable'])
    expect(server.requests).to.deep.equal(['GET /objects/a'])
  })

  it('should refuse calls at once while the service is known to be down, and recover through a probe', async () => {
    let up = false
    const server = await startStub((_request, response) => {
      if (up) response.end('{"version":1}')
      else response.writeHead(503).end()
    })
    const service = new HttpObjectService({ baseUrl: server.url, getRandom: () => 0 })
    for (let call = 0; call < 5; call += 1) await service.put('a', 1, { kind: 'absent' }, createProgress())
    expect([service.isAvailable(), server.requests.length]).to.deep.equal([false, 2])
    up = true
    const result = await retryCall(() => service.put('a', 1, { kind: 'absent' }, createProgress()), createProgress(10_000))
    await closeAll(service, server)
    expect(result.isOk).to.equal(true)
  })

  it('should limit the call rate of the process', () => {
    const clock = new ManualClock()
    const bucket = new TokenBucket({ ratePerSecond: 10, burst: 5, clock })
    let granted = 0
    for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 10) {
      if (bucket.acquire(0).kind === 'granted') granted += 1
      clock.advance(10)
    }
    expect(granted).to.be.within(100, 105)
  })
})

describe('retryCall', () => {
  it('should not retry a write with an unknown outcome, and stop at the deadline', async () => {
    const server = await startStub((request, response) => request.method === 'PUT' ? response.destroy() : response.writeHead(503).end())
    const service = new HttpObjectService({ baseUrl: server.url })
    const written = await retryCall(() => service.put('a', 1, { kind: 'absent' }, createProgress()), createProgress())
    const progress = new Progress({ title: 'reading', timeoutMs: 300 })
    const read = await retryCall(() => service.get('a', progress), progress)
    await closeAll(service, server)
    expect([written, read].map(getErrorKind)).to.deep.equal(['unknownOutcome', 'unavailable'])
    expect(server.requests.filter(line => line.startsWith('PUT'))).to.have.length(1)
  })
})

async function startStub (handle: (request: http.IncomingMessage, response: http.ServerResponse) => unknown): Promise<StubServer> {
  const requests: string[] = []
  const sockets = new Set<Socket>()
  const server = http.createServer((request, response) => {
    requests.push(`${request.method} ${request.url}`)
    handle(request, response)
  })
  server.on('connection', socket => sockets.add(socket))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const close = async () => {
    for (const socket of sockets) socket.destroy()
    await new Promise(resolve => server.close(resolve))
  }
  return { requests, close, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` }
}

async function closeAll (service: HttpObjectService, server: StubServer): Promise<void> {
  await service.close()
  await server.close()
}

function getErrorKind (result: { isErr: boolean, error?: { kind: string } }): string {
  return result.isErr ? result.error!.kind : 'ok'
}
