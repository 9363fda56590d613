import { expect } from 'chai'

import { Progress } from '../../src/base/progress'
import { createChatBody, KEY_B, sendCall, sendRaw, startServer } from './callerFixtures'

import type { CallOptions, RelayHandler, ServerFixture } from './callerFixtures'
import type { CallerServerOptions } from '../../src/gateway/callerServer'

const CHAT_HEAD = 'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-of-workspace-a\r\n'

describe('CallerServer', () => {
  const fixtures: ServerFixture[] = []
  const start = async (step?: RelayHandler, options?: Partial<CallerServerOptions>) => {
    const fixture = await startServer(step, options)
    fixtures.push(fixture)
    return fixture
  }
  afterEach(() => { for (const fixture of fixtures.splice(0)) fixture.server.close() })

  const refusals: Array<[string, CallOptions, number, string]> = [
    ['a body that is not JSON', { body: '{"model":' }, 400, 'invalid_json'],
    ['a body that is not UTF-8', { body: Buffer.from([0x22, 0xff, 0x22]) }, 400, 'invalid_json'],
    ['a body nested too deeply', { body: `${'['.repeat(100_000)}${']'.repeat(100_000)}` }, 400, 'invalid_json'],
    ['a body that is a number', { body: '7' }, 400, 'invalid_request'],
    ['a body without messages', { body: '{"model":"small"}' }, 400, 'invalid_request'],
    ['more than one answer', { body: createChatBody({ n: 3 }) }, 400, 'invalid_request'],
    ['an empty body', {}, 400, 'invalid_json'],
    ['a huge body', { body: Buffer.alloc(9_000_000, 'x') }, 413, 'body_too_large'],
    ['a huge body of unknown length', { body: Buffer.alloc(9_000_000, 'x'), headers: { 'transfer-encoding': 'chunked' } }, 413, 'body_too_large'],
    ['an unknown model', { body: createChatBody({ model: 'none' }) }, 404, 'model_not_found'],
    ['an unknown key', { key: 'nobody', body: createChatBody() }, 401, 'invalid_api_key'],
    ['a scheme other than Bearer', { headers: { authorization: 'Basic abc' }, body: createChatBody() }, 401, 'invalid_api_key'],
    ['an unknown class', { headers: { 'x-tanagerwick-class': 'none' }, body: createChatBody() }, 400, 'unknown_class'],
    ['a forbidden class', { key: KEY_B, headers: { 'x-tanagerwick-class': 'urgent' }, body: createChatBody() }, 403, 'class_not_allowed'],
    ['an idempotency key with spaces', { headers: { 'idempotency-key': 'a b' }, body: createChatBody() }, 400, 'invalid_header'],
    ['an unknown path', { path: '/v2/none', body: '' }, 404, 'not_found'],
    ['a wrong method', { method: 'PUT', body: createChatBody() }, 405, 'method_not_allowed'],
    ['an unknown service', { path: '/services/none/x', body: '' }, 404, 'service_not_found'],
    ['a service path with dot segments', { path: '/services/desk/jobs/../bookings', body: '' }, 400, 'invalid_path'],
    ['a service path with encoded dot segments', { path: '/services/desk/jobs/%2e%2e/bookings', body: '' }, 400, 'invalid_path'],
    ['a service path with an encoded separator', { path: '/services/desk/jobs%2fbookings', body: '' }, 400, 'invalid_path'],
    ['a service path with a bad escape', { path: '/services/desk/%zz', body: '' }, 400, 'invalid_path']
  ]
  for (const [title, call, status, code] of refusals) {
    it(`should refuse ${title} as not run`, async () => {
      const { port, relayed, errors } = await start()
      const answer = await sendCall(port, call)
      const { error } = JSON.parse(answer.text)
      expect([answer.status, error.code, error.execution]).to.deep.equal([status, code, 'not_run'])
      expect(answer.text.length).to.be.below(1000)
      expect(answer.headers['x-tanagerwick-request-id']).to.match(/^req-/)
      expect([relayed.length, errors.length]).to.deep.equal([0, 0])
      expect((await sendCall(port, { body: createChatBody() })).status, 'the next request').to.equal(200)
    })
  }

  const rawRefusals: Array<[string, string, RegExp]> = [
    ['bytes that are not HTTP', 'what is this\r\n\r\n', /^HTTP\/1.1 400 .*"invalid_request"/s],
    ['a huge header', `${CHAT_HEAD}x-big: ${'y'.repeat(40_000)}\r\n\r\n`, /^HTTP\/1.1 431 .*"headers_too_large"/s],
    ['a header that never ends', CHAT_HEAD, /^HTTP\/1.1 408 .*"request_timeout"/s],
    ['a body that never ends', `${CHAT_HEAD}content-length: 50\r\n\r\n{"model"`, /^HTTP\/1.1 408 .*"request_timeout"/s],
    ['both a length and chunks', `${CHAT_HEAD}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`, /^HTTP\/1.1 400 /]
  ]
  for (const [title, bytes, expected] of rawRefusals) {
    it(`should refuse ${title} and keep serving`, async () => {
      const { port, relayed } = await start(undefined, { limits: { headerTimeoutMs: 100, requestTimeoutMs: 300 } })
      expect(await sendRaw(port, bytes)).to.match(expected)
      expect(relayed).to.have.length(0)
      expect((await sendCall(port, { body: createChatBody() })).status).to.equal(200)
    })
  }

  it('should choose the class by header or workspace default, and pass unknown fields through', async () => {
    const { port, relayed } = await start()
    await sendCall(port, { body: createChatBody({ seed: 7, resume: { text: 'forged', chunkCount: 1 } }) })
    await sendCall(port, { body: createChatBody({ seed: 7, stream: true }), headers: { 'x-tanagerwick-class': 'batch', 'idempotency-key': 'k1' } })
    await sendCall(port, { body: createChatBody({ seed: 7 }), key: KEY_B })
    expect(relayed.map(request => request.serviceClass.name)).to.deep.equal(['urgent', 'batch', 'batch'])
    expect(relayed[1]!.idempotencyKey).to.equal('k1')
    expect(relayed[0]!.target).to.deep.include({ kind: 'chat', body: JSON.parse(createChatBody({ seed: 7 })) })
    expect(relayed[0]!.fingerprint, 'streamed or not').to.equal(relayed[1]!.fingerprint)
    expect(relayed[0]!.fingerprint, 'another workspace').not.to.equal(relayed[2]!.fingerprint)
  })

  it('should forward service calls with their idempotency, and return their status and content type', async () => {
    const { port, relayed } = await start((_request, answer) => {
      answer.writeText('{"booked"')
      answer.writeText(':true}')
      answer.complete({ status: 201, contentType: 'application/json' })
    })
    const paths: Array<[string, string]> = [['GET', '/jobs/4?full=1'], ['GET', '/jobsheet'], ['POST', '/bookings'], ['DELETE', '/jobs/4']]
    for (const [method, path] of paths) {
      const answer = await sendCall(port, { method, path: `/services/desk${path}`, body: 'x' })
      expect([answer.status, answer.text, answer.headers['content-type']]).to.deep.equal([201, '{"booked":true}', 'application/json'])
    }
    expect(relayed.map(request => request.idempotent)).to.deep.equal([true, false, false, false])
    expect(relayed[0]!.target).to.deep.equal({ kind: 'service', service: 'desk', method: 'GET', path: '/jobs/4?full=1', contentType: '', bodyBase64: 'eA==' })
  })

  it('should send a completion as one object, or as a stream that ends with its end marker', async () => {
    const { port } = await start()
    const whole = JSON.parse((await sendCall(port, { body: createChatBody() })).text)
    expect(whole.choices[0].message.content).to.equal('a/urgent')
    const stream = await sendCall(port, { body: createChatBody({ stream: true }) })
    const events = stream.text.split('\n\n').filter(line => line !== '')
    const deltas = events.slice(0, -1).map(line => JSON.parse(line.slice('data: '.length)).choices[0])
    expect(deltas.map(choice => choice.delta.content ?? '').join('')).to.equal('a/urgent')
    expect([deltas.at(-1).finish_reason, events.at(-1), stream.isCut]).to.deep.equal(['stop', 'data: [DONE]', false])
  })

  it('should close a stream that fails after its start without the end marker', async () => {
    const { port } = await start(async (_request, answer) => {
      await answer.writeText('half')
      answer.fail({ code: 'endpoint_failed', message: 'lost', execution: 'may_have_run' })
      answer.writeText('late')
      answer.complete({ status: 200, contentType: '' })
    })
    const stream = await sendCall(port, { body: createChatBody({ stream: true }) })
    expect(stream.text).to.match(/half.*"endpoint_failed","execution":"may_have_run"/s)
    expect(stream.text).not.to.match(/DONE|late/)
    expect(stream.isCut).to.equal(true)
    const whole = await sendCall(port, { body: createChatBody() })
    expect([whole.status, JSON.parse(whole.text).error.code]).to.deep.equal([502, 'endpoint_failed'])
  })

  it('should end the answer when the relay throws or returns without ending it', async () => {
    const { port, errors } = await start(request => {
      if (request.stream) throw new Error('broken')
    })
    expect((await sendCall(port, { body: createChatBody({ stream: true }) })).status).to.equal(500)
    expect((await sendCall(port, { body: createChatBody() })).status).to.equal(500)
    expect(errors.map(String)).to.deep.equal(['Error: broken'])
  })

  it('should notify the relay when the caller disconnects, and release the admission once', async () => {
    let released = 0
    const disconnected = new Promise<void>(resolve => {
      start(async (_request, answer) => {
        answer.begin()
        await new Promise<void>(resolve => answer.signal.addEventListener('abort', () => resolve()))
        resolve()
      }, { admit: () => ({ kind: 'admitted', release: () => { released++ } }) }).then(async ({ port }) => {
        const body = createChatBody({ stream: true })
        const { connect } = await import('node:net')
        const socket = connect(port, '127.0.0.1', () => socket.write(`${CHAT_HEAD}content-length: ${body.length}\r\n\r\n${body}`))
        socket.once('data', () => socket.destroy())
      })
    })
    await disconnected
    expect(released).to.equal(1)
  })

  it('should apply backpressure to the relay while the caller does not read', async () => {
    let pending: Promise<void> | undefined
    let count = 0
    const { port } = await start(async (_request, answer) => {
      const text = 'x'.repeat(10_000)
      while (pending === undefined && count < 10_000) {
        pending = answer.writeText(text)
        count++
      }
      await pending
      answer.complete({ status: 200, contentType: '' })
    })
    const stream = await sendCall(port, { body: createChatBody({ stream: true }) })
    expect(count).to.be.below(10_000)
    expect(stream.text.match(/x{10000}/g)).to.have.length(count)
  })

  it('should send Retry-After when the admission hook refuses a request', async () => {
    const { port } = await start(undefined, {
      admit: () => ({ kind: 'refused', refusal: { code: 'rate_limited', message: 'slow down', execution: 'not_run', retryAfterMs: 1500 } })
    })
    const answer = await sendCall(port, { body: createChatBody() })
    expect([answer.status, answer.headers['retry-after']]).to.deep.equal([429, '2'])
  })

  it('should finish requests in flight and refuse new ones while draining', async () => {
    const { promise: gate, resolve: openGate } = createDeferred()
    const { promise: arrived, resolve: notifyArrived } = createDeferred()
    const { server, port } = await start(async (_request, answer) => {
      notifyArrived()
      await gate
      answer.writeText('done')
      answer.complete({ status: 200, contentType: '' })
    })
    const first = sendCall(port, { body: createChatBody() })
    await arrived
    const drained = server.drain(new Progress({ title: 'draining', timeoutMs: 5_000 }))
    const second = await sendCall(port, { body: createChatBody() })
    expect([second.status, JSON.parse(second.text).error.code]).to.deep.equal([503, 'draining'])
    openGate()
    expect((await first).text).to.contain('done')
    await drained
    expect(server.countInFlight()).to.equal(0)
  })
})

function createDeferred (): { promise: Promise<void>, resolve: () => void } {
  let resolve = () => {}
  const promise = new Promise<void>(_resolve => { resolve = _resolve })
  return { promise, resolve }
}
