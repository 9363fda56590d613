import { expect } from 'chai'

import { answerWhole, buildPlatformConfig, buildRoute, registerEndpoint, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, ReceivedRequest, RelayFixture } from './relayFixture'

const ENGINE = { slots: 64, kvCapacity: 500_000, kvTokenBytes: 35_136, linkMbps: 370_000 }
const FETCH_LINE = /^kv-fetch: (\S+)\r$/im

/** Starts a gateway before two engines of a service, whose prompts of one session share a long beginning. */
async function startEngines (answer: (request: ReceivedRequest) => void, engine: Record<string, unknown> | undefined = ENGINE, fetchesPrefixes = true): Promise<{ fixture: RelayFixture, engines: EndpointFixture[] }> {
  const engines = await Promise.all(['e-1', 'e-2'].map(async id => await startEndpoint(id, answer)))
  const config = buildPlatformConfig({
    routes: [buildRoute({ targetLatencyMs: 1000, timeoutMs: 5000 })],
    services: [{ name: 'archive', healthPath: '/health', maxConnections: 100, engine }]
  })
  const fixture = await startRelay(config, engines, { fetchesPrefixes })
  for (const one of engines) registerEndpoint(fixture.store, one, { slots: 64 })
  return { fixture, engines }
}

async function sendPrompt (fixture: RelayFixture, id: string, uniqueTokens: number, headers: string[] = []): Promise<string> {
  const { text } = await sendRequest(fixture, { id, timeoutMs: 4000, headers: [`Tanagerwick-Prompt-Prefix: abc:13000,${id.replace('-', '')}:${uniqueTokens}`, ...headers] })
  return text
}

/** Keeps the home endpoint of the session busy with long prompts, and returns what the other one then receives. */
async function receiveBesideBusyHome (fixture: RelayFixture, engines: EndpointFixture[]): Promise<{ home: EndpointFixture, request: ReceivedRequest }> {
  const prompts = Array.from({ length: 8 }, (_, index) => sendPrompt(fixture, `a-${index}`, 30_000, ['Kv-Fetch: 10.0.0.1:9']))
  await waitUntil('both engines to receive a prompt', () => engines.every(({ received }) => received.length > 0))
  const fetching = engines.flatMap(({ received }) => received).find(({ text }) => FETCH_LINE.test(text))
  const home = engines.find(({ received }) => fetching === undefined || !received.includes(fetching))!
  await fixture.close()
  await Promise.all(prompts)
  return { home, request: fetching ?? engines.find(other => other !== home)!.received[0]! }
}

describe('a prompt that leaves its busy home endpoint', () => {
  it('should name the home endpoint to fetch its beginning from, and never what the caller named', async () => {
    const { fixture, engines } = await startEngines(() => {})
    const { home, request } = await receiveBesideBusyHome(fixture, engines)
    expect(FETCH_LINE.exec(request.text)?.[1]).to.equal(home.address)
    for (const { text } of engines.flatMap(({ received }) => received)) expect(text).not.to.include('10.0.0.1:9')
    expect(fixture.lines.filter(line => line.event === 'endpointChosen').map(line => line.event === 'endpointChosen' && line.prefixSource)).to.include(home.id)
  })

  it('should name none where the configuration has no link between engines', async () => {
    const { fixture, engines } = await startEngines(() => {}, { ...ENGINE, linkMbps: 0 })
    await receiveBesideBusyHome(fixture, engines)
    for (const { text } of engines.flatMap(({ received }) => received)) expect(text).not.to.match(FETCH_LINE)
  })

  it('should name none where the settings do not ask for it', async () => {
    const { fixture, engines } = await startEngines(() => {}, ENGINE, false)
    await receiveBesideBusyHome(fixture, engines)
    for (const { text } of engines.flatMap(({ received }) => received)) expect(text).not.to.match(FETCH_LINE)
  })

  it('should be answered by another endpoint, without a source, when the one that fetches breaks off', async () => {
    let broken = 0
    const { fixture, engines } = await startEngines(request => {
      if (!FETCH_LINE.test(request.text)) return setTimeout(() => answerWhole(request), 300)
      broken += 1
      return request.socket.destroy()
    })
    const answers = await Promise.all(Array.from({ length: 8 }, (_, index) => sendPrompt(fixture, `a-${index}`, 30_000)))
    await fixture.close()
    expect(broken).to.be.above(0)
    expect(answers.filter(text => !text.startsWith('HTTP/1.1 200'))).to.deep.equal([])
    const retried = engines.flatMap(({ received }) => received).filter(({ text }, _, all) => FETCH_LINE.test(text) && all.some(other => other.text !== text && other.requestId === /attempt-id: (\S+)/i.exec(text)?.[1]))
    expect(retried.length).to.equal(broken)
  })
})
