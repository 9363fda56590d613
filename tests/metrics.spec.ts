import { expect } from 'chai'

import { createMetricsHandler, createStateHandler } from '../src/base/adminRoutes'
import { Metrics } from '../src/base/metrics'
import { formatState, StateDump } from '../src/base/stateDump'
import { sendCall, startServer } from './gateway/callerFixtures'

describe('Metrics', () => {
  it('should render counters, gauges and cumulative buckets by label', () => {
    const metrics = new Metrics()
    metrics.createCounter('answers_total', 'Answers.').add({ class: 'a"b' }, 3)
    metrics.registerGauge('open', 'Open.', () => 2)
    const histogram = metrics.createHistogram('first_token_ms', 'First token.')
    for (const value of [0.4, 1.5, 60, 900_000]) histogram.record(value, { class: 'x' })
    const text = metrics.format()
    for (const line of [
      '# TYPE tanagerwick_answers_total counter', 'tanagerwick_answers_total{class="a\\"b"} 3', 'tanagerwick_open 2',
      'tanagerwick_first_token_ms_bucket{class="x",le="0.5"} 1', 'tanagerwick_first_token_ms_bucket{class="x",le="2"} 2',
      'tanagerwick_first_token_ms_bucket{class="x",le="75"} 3', 'tanagerwick_first_token_ms_bucket{class="x",le="+Inf"} 4'
    ]) expect(text.split('\n')).to.include(line)
    expect(metrics.readSummaries().first_token_ms![0]!.p50Ms).to.be.closeTo(1.5, 0.05)
  })

  it('should bound the label sets and count the rest as other', () => {
    const counter = new Metrics().createCounter('c', 'C.')
    for (let index = 0; index < 5_000; index++) counter.add({ name: `n${index}` })
    const lines = counter.format('c')
    expect(lines.length).to.be.at.most(201)
    expect(lines.at(-1)).to.equal('c{name="other"} 4800')
  })
})

describe('StateDump', () => {
  it('should contain each section, and the error of one that fails', () => {
    const dump = new StateDump()
    dump.register('queue', () => ({ lengths: new Map([['a', 1]]) }))
    dump.register('broken', () => { throw new Error('no state') })
    expect(dump.readAll()).to.deep.equal({ queue: { lengths: { a: 1 } }, broken: { error: 'Error: no state' } })
    expect(formatState(dump.readAll())).to.contain('queue:\n  lengths:\n    a: 1')
  })

  it('should serve the state only to requests with the secret, and metrics to all', async () => {
    const dump = new StateDump()
    dump.register('queue', () => ({ length: 3 }))
    const isAuthorized = (request: { headers: { authorization?: string } }) => request.headers.authorization === 'Bearer s3cret'
    const { server, port } = await startServer(undefined, {
      handlers: { '/state': createStateHandler(dump, isAuthorized), '/metrics': createMetricsHandler(new Metrics()) }
    })
    const answers = await Promise.all([
      sendCall(port, { method: 'GET', path: '/state', key: 'wrong' }),
      sendCall(port, { method: 'GET', path: '/state', key: 's3cret' }),
      sendCall(port, { method: 'GET', path: '/state', key: 's3cret', headers: { accept: 'text/plain' } }),
      sendCall(port, { method: 'GET', path: '/metrics', key: '' }),
      sendCall(port, { method: 'POST', path: '/metrics', key: '' })
    ])
    server.close()
    expect(answers.map(answer => answer.status)).to.deep.equal([401, 200, 200, 200, 405])
    expect(answers.slice(1, 3).map(answer => answer.text)).to.deep.equal(['{"queue":{"length":3}}', 'queue:\n  length: 3\n'])
  })
})
