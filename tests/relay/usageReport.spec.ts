import http from 'node:http'
import net from 'node:net'

import { expect } from 'chai'

import { UsageClient } from '../../platform/usageClient'
import { Progress } from '../../src/base/progress'
import { findFreePorts } from '../../standins/shared/freePorts'
import { MemoryObjectStore } from '../fakes/memoryObjectService'
import { answerWhole, buildPeerSettings, buildPlatformConfig, sendRequest, SIGNATURE_LINE, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { AddressInfo, Server } from 'node:net'
import type { EndpointFixture, RelayFixture } from './relayFixture'
import type { DutySettings } from '../../src/config/processSettings'

interface PlatformFixture {
  url: string
  reports: Array<{ holder: string, number: number, window: number, counts: Record<string, number> }>
  /** Status of the next answers. */
  status: number
  close (): void
}

async function startPlatform (): Promise<PlatformFixture> {
  const server = http.createServer((request, response) => {
    let text = ''
    request.on('data', bytes => { text += String(bytes) })
    request.on('end', () => {
      const { 'tanagerwick-duty-holder': holder, 'tanagerwick-fencing-token': number } = request.headers
      if (request.method === 'POST' && request.url === '/usage') platform.reports.push({ holder: String(holder), number: Number(number), ...JSON.parse(text) })
      response.writeHead(platform.status, { 'retry-after': '0.2' }).end()
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const platform: PlatformFixture = { url: `http://127.0.0.1:${((server as Server).address() as AddressInfo).port}`, reports: [], status: 200, close: () => server.close() }
  return platform
}

function buildDuties (url: string): DutySettings {
  return { url, names: ['usage_report'], callsPerSecond: 50, leaseMs: 600, usageWindowSeconds: 2, usageLateSeconds: 6 }
}

function countReported (platform: PlatformFixture): number {
  const windows = new Map(platform.reports.map(({ window, counts }) => [window, counts.archivists ?? 0]))
  return [...windows.values()].reduce((sum, count) => sum + count, 0)
}

describe('the usage report of gateways', () => {
  let platform: PlatformFixture
  let endpoint: EndpointFixture
  let gateways: RelayFixture[] = []

  beforeEach(async () => {
    platform = await startPlatform()
    endpoint = await startEndpoint('e-1', request => {
      if (request.text.includes('/archive/broken')) request.socket.destroy()
      else if (request.text.includes('/archive/failing')) answerWhole(request, 'failed', '500 Internal Server Error')
      else if (request.text.includes('/archive/full')) request.socket.write(`HTTP/1.1 503 Service Unavailable\r\nTanagerwick-Not-Executed: 1\r\n${SIGNATURE_LINE}\r\nTanagerwick-Request-Attempt-Id: ${request.requestId}\r\nContent-Length: 0\r\n\r\n`)
      else answerWhole(request)
    })
  })

  afterEach(async () => {
    await Promise.all(gateways.map(async gateway => await gateway.close()))
    gateways = []
    endpoint.close()
    platform.close()
  })

  async function startGateways (count: number, duties: DutySettings | null): Promise<void> {
    const store = new MemoryObjectStore()
    const ports = await findFreePorts(count)
    gateways = await Promise.all(ports.map(async (_port, index) => await startRelay(buildPlatformConfig(), index === 0 ? [endpoint] : [], { ...buildPeerSettings(ports, index), duties }, store, duties === null ? null : new UsageClient(platform.url))))
  }

  it('should sum the requests that endpoints began at all gateways, with one holder', async () => {
    await startGateways(4, buildDuties(platform.url))
    for (let index = 0; index < 40; index++) await sendRequest(gateways[index % 4]!, { id: `a-${index}` })
    await sendRequest(gateways[0]!, { id: 'f-1', target: '/archive/failing', method: 'POST' })
    await sendRequest(gateways[0]!, { id: 'f-2', target: '/archive/full' })
    await sendRequest(gateways[0]!, { id: 'f-3', target: '/archive/broken', method: 'POST' })
    const began = endpoint.received.filter(({ text }) => !text.includes('/archive/full')).length
    await waitUntil('all requests to be reported', () => countReported(platform) === began)
    expect(new Set(platform.reports.map(({ holder }) => holder)).size).to.equal(1)
    expect(new Set(platform.reports.map(({ number }) => number))).to.deep.equal(new Set([1]))
    expect(new Set(platform.reports.map(({ window }) => window)).size).to.equal(platform.reports.length)
  })

  it('should go on at another gateway, under a higher number, when the holder ends', async () => {
    await startGateways(3, buildDuties(platform.url))
    await waitUntil('a report', () => platform.reports.length > 0)
    const first = platform.reports[0]!.holder
    const index = Number(first.slice('gateway-'.length)) - 1
    await gateways[index]!.close()
    gateways.splice(index, 1)
    await waitUntil('a report of another gateway', () => platform.reports.some(({ holder }) => holder !== first))
    expect(platform.reports.find(({ holder }) => holder !== first)?.number).to.equal(2)
  })

  // the end of a process closes its connections in order, and a call that a broken link held up would still be delivered
  it('should not reach the platform after the planned stop of its gateway', async () => {
    let end: 'open' | 'closed' | 'reset' = 'open'
    const silent = net.createServer(socket => {
      socket.on('data', () => {})
      socket.on('end', () => { end = 'closed' })
      socket.on('error', () => { end = 'reset' })
    })
    await new Promise<void>(resolve => silent.listen(0, '127.0.0.1', resolve))
    platform.close()
    platform = { ...platform, url: `http://127.0.0.1:${(silent.address() as AddressInfo).port}`, close: () => silent.close() }
    await startGateways(1, { ...buildDuties(platform.url), leaseMs: 60_000 })
    await waitUntil('the call', async () => await new Promise(resolve => silent.getConnections((_error, count) => resolve(count > 0))))
    await gateways[0]!.relay.drain()
    await waitUntil('the end of the call', () => end !== 'open')
    expect(end).to.equal('reset')
  })

  it('should make no call, write no line and tell peers nothing where no duty is named', async () => {
    await startGateways(3, null)
    for (let index = 0; index < 9; index++) await sendRequest(gateways[index % 3]!, { id: `a-${index}` })
    await new Promise(resolve => setTimeout(resolve, 3000))
    expect(platform.reports).to.have.length(0)
    for (const { service, lines } of gateways) {
      expect(service.log.filter(call => call.includes('duties'))).to.deep.equal([])
      expect(lines.filter(({ event }) => /^(duty|usage)/.test(event))).to.deep.equal([])
    }
  })

  it('should tell what the platform takes, refuses for its rate and refuses for good', async () => {
    const client = new UsageClient(platform.url)
    const send = async (status: number) => {
      platform.status = status
      return await client.sendUsage({ holder: 'gateway-1', number: 7, intent: [12, [['__proto__', 3], ['w', 1]]] }, new Progress({ title: 'testing', timeoutMs: 1000 }))
    }
    expect(await send(200)).to.deep.equal({ kind: 'accepted' })
    expect(await send(429)).to.deep.equal({ kind: 'rateLimited', retryAfterMs: 200 })
    expect(await send(403)).to.deep.equal({ kind: 'refused', status: 403 })
    expect((await send(503)).kind).to.equal('failed')
    expect(platform.reports[0]).to.include({ holder: 'gateway-1', number: 7, window: 12 })
    expect(Object.entries(platform.reports[0]!.counts)).to.deep.equal([['__proto__', 3], ['w', 1]])
    client.close()
  })
})
