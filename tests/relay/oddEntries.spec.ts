import { expect } from 'chai'

import { storeDecoder } from '../../platform/storeDecoder'
import { systemClock } from '../../src/base/clock'
import { findFreePorts } from '../../standins/shared/freePorts'
import { MemoryObjectStore } from '../fakes/memoryObjectService'
import { answerWhole, buildPeerSettings, registerEndpoint, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, RelayFixture } from './relayFixture'

/** Odd values that any field may have. */
const ODD_VALUES: unknown[] = [null, true, -1, 0.5, 1e300, Number.MAX_SAFE_INTEGER + 2, '', 'x', 'x'.repeat(100_000), [], ['ready'], {}, { service: 'archive' }]
const ODD_ADDRESSES = ['127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:99999', '127.0.0.1:1e3', '127.0.0.1:-1', '256.0.0.1:80', '999.999.999.999:80', '127.0.0.1', ':80', '127.0.0.1:', '127.0.0.1:80:80', ' 127.0.0.1:80', '127.0.0.1:80\r\nX: y', 'localhost:80', `127.0.0.1:${'9'.repeat(400)}`]
const ODD_SLOTS = [0, -6, 1.5, 1e9, Number.MAX_VALUE]
const ODD_STARTS = [-1, 1.5, 1e300, Number.MAX_VALUE]
const ODD_NAMES = ['with space', 'line\nbreak', 'carriage\r\nX-Injected: 1', 'nul\0', 'ü', 'x'.repeat(5000), '']
const REQUESTS = 12

describe('an odd entry of another writer among the endpoints', () => {
  let gateways: RelayFixture[] = []
  let good: EndpointFixture

  beforeEach(async () => {
    good = await startEndpoint('good', request => answerWhole(request))
  })

  afterEach(async () => {
    await Promise.all(gateways.map(async gateway => await gateway.close()))
    good.close()
    gateways = []
  })

  /** Returns what each field can be beside its valid form, by a label. */
  function listOddEntries (address: string): Array<[string, string, unknown]> {
    const valid = { service: 'archive', address, zone: 'domain-a', version: 'v1', slots: 6, state: 'ready', seq: 1, born: 1 }
    const odd: Array<[string, string, unknown]> = ODD_VALUES.map((value, index) => ['whole', `whole-${index}`, value])
    for (const field of Object.keys(valid)) {
      const values = [...ODD_VALUES, ...field === 'address' ? ODD_ADDRESSES : [], ...field === 'slots' ? ODD_SLOTS : [], ...field === 'born' ? ODD_STARTS : []]
      for (const [index, value] of values.entries()) odd.push([field, `${field}-${index}`, { ...valid, [field]: value }])
    }
    for (const name of ODD_NAMES) odd.push(['name', name, valid])
    return odd
  }

  for (const moment of ['before the start', 'while it runs'] as const) {
    it(`should keep nothing else from being read and served, written ${moment}`, async () => {
      const store = new MemoryObjectStore()
      // entries whose odd field does not matter are usable
      const harmless = await startEndpoint('harmless', request => answerWhole(request))
      const odd = listOddEntries(harmless.address)
      const putOdd = () => { for (const [, name, value] of odd) store.put(`servers/${name}`, value) }
      if (moment === 'before the start') putOdd()
      const ports = await findFreePorts(2)
      registerEndpoint(store, good)
      gateways = await Promise.all([0, 1].map(async index => await startRelay(undefined, [], { ...buildPeerSettings(ports, index), domain: 'domain-a' }, store)))
      if (moment === 'while it runs') putOdd()
      const later = await startEndpoint('later', request => answerWhole(request))
      registerEndpoint(store, later)
      await waitUntil('the later endpoint at both gateways', () => gateways.every(({ lines }) => lines.some(line => line.event === 'endpointChanged' && line.endpoint === 'later')))
      for (const gateway of gateways) {
        for (let index = 0; index < REQUESTS; index++) expect((await sendRequest(gateway, { id: `r-${index}` })).text).to.match(/^HTTP\/1.1 200 /)
        expect(gateway.lines.filter(line => line.event === 'unexpectedError')).to.deep.equal([])
      }
      const chosen = gateways.flatMap(({ lines }) => lines.flatMap(line => line.event === 'endpointChanged' && line.change === 'joined' ? [line.endpoint] : []))
      for (const [field, name] of odd.filter(([field]) => ['address', 'slots', 'born', 'name', 'whole', 'service'].includes(field))) {
        expect(chosen.includes(name) && !isHarmless(field, name), `${field} ${JSON.stringify(name).slice(0, 60)}`).to.equal(false)
      }
      later.close()
      harmless.close()
    })
  }

  /** Returns whether an entry with this value is a valid one of another service, or one without an optional field. */
  function isHarmless (field: string, name: string): boolean {
    return field === 'service' && name === `service-${ODD_VALUES.indexOf('x')}`
  }

  it('should be told from valid ones by each field', () => {
    const valid = { service: 's', address: '10.0.0.1:80', zone: 'z', version: 'v1', slots: 6, state: 'ready', born: 17 }
    expect(storeDecoder.decodeEndpoint('e-1', valid)).not.to.equal(null)
    for (const address of ODD_ADDRESSES) expect(storeDecoder.decodeEndpoint('e-1', { ...valid, address }), address.slice(0, 40)).to.equal(null)
    for (const slots of ODD_SLOTS) expect(storeDecoder.decodeEndpoint('e-1', { ...valid, slots }), String(slots)).to.equal(null)
    for (const born of ODD_STARTS) expect(storeDecoder.decodeEndpoint('e-1', { ...valid, born }), String(born)).to.equal(null)
    for (const name of ODD_NAMES) expect(storeDecoder.decodeEndpoint(name, valid), JSON.stringify(name).slice(0, 40)).to.equal(null)
    for (const field of ['service', 'zone', 'version'] as const) expect(storeDecoder.decodeEndpoint('e-1', { ...valid, [field]: 'x'.repeat(201) }), field).to.equal(null)
  })
})

describe('an endpoint whose address cannot be connected to', () => {
  it('should leave nothing reserved, also where the attempt cannot even be started', async () => {
    const { sendToEndpoint } = await import('../../src/relay/endpointExchange')
    const { ByteBudget } = await import('../../src/relay/byteBudget')
    const sink = { handleHead: () => 'collect' as const, handleCollectedChunk: () => {}, handleRelayedChunk: () => true }
    for (const override of [{ port: 99_999 }, { port: -1 }, { port: NaN }, { headers: ['Name', 'line\r\nbreak'] }, { method: 'NO METHOD' }, { target: '/with space' }]) {
      const options = { agent: false as const, host: '127.0.0.1', port: 1, method: 'GET', target: '/', headers: [], body: Buffer.alloc(0), clock: systemClock, connectTimeoutMs: 100, signal: new AbortController().signal, budget: new ByteBudget({ guaranteedBytes: 1, sharedBytes: 1 }), ...override }
      const result = await sendToEndpoint(options, sink)
      expect(result.kind, JSON.stringify(override)).to.equal('notSent')
    }
  })
})

describe('a prompt part with an odd number of tokens', () => {
  it('should not disturb the choice for later requests', async () => {
    const endpoint = await startEndpoint('e-1', request => answerWhole(request))
    const gateway = await startRelay(undefined, [endpoint])
    for (const tokens of ['9'.repeat(400), '1' + '0'.repeat(18), '-1', '1e9', '']) {
      await sendRequest(gateway, { id: 'odd', headers: [`Tanagerwick-Prompt-Prefix: ab:100,cd:${tokens},ef:${tokens}`] })
      expect((await sendRequest(gateway, { id: 'next', headers: ['Tanagerwick-Prompt-Prefix: ab:100,cd:10,ef:10'] })).text, tokens.slice(0, 20)).to.match(/^HTTP\/1.1 200 /)
    }
    const chosen = gateway.lines.filter(line => line.event === 'endpointChosen')
    for (const line of chosen) expect(line.event === 'endpointChosen' && Number.isFinite(line.costMs) && Number.isFinite(line.pendingTokens)).to.equal(true)
    await gateway.close()
  })
})
