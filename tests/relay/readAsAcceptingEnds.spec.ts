import { setTimeout as waitFor } from 'node:timers/promises'

import { expect } from 'chai'

import { RelayServer } from '../../src/relay/relayServer'
import { PacedCaller } from '../fixtures/pacedCaller'
import { answerWhole, buildCallerRequest, buildPlatformConfig, buildRoute, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { RelayFixture } from './relayFixture'

// the stop counted no busy connection, and had refused and cut everything before these were read
describe('requests that are read while their idle connections are about to be closed in a planned stop', () => {
  let fixture: RelayFixture
  let callers: PacedCaller[]
  const original = RelayServer.prototype.stopAccepting

  afterEach(async () => {
    RelayServer.prototype.stopAccepting = original
    for (const caller of callers) caller.destroy()
    await fixture.close()
  })

  /** Plays a stop in which each caller sends a request on its idle connection as accepting ends; the endpoint answers only the requests before. */
  async function play (count: number): Promise<void> {
    let answered = 0
    const endpoint = await startEndpoint('e-1', request => { if (answered++ < count) answerWhole(request) })
    const services = [{ name: 'archive', healthPath: '/health', maxConnections: 1 }]
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ timeoutMs: 9000 })], services }), [endpoint], { stopSeconds: 3 })
    callers = Array.from({ length: count }, () => new PacedCaller(fixture.port))
    for (const [index, caller] of callers.entries()) {
      caller.write(buildCallerRequest({ id: `warm-${index}` }))
      await waitUntil('the first answer', () => caller.text.includes('found'))
    }
    await waitFor(50)
    RelayServer.prototype.stopAccepting = function () {
      original.call(this)
      for (const [index, caller] of callers.entries()) caller.write(buildCallerRequest({ id: `late-${index}`, timeoutMs: 9000 }))
    }
    await fixture.relay.drain()
  }

  it('should be cut with a line at the end of the stop where they run', async () => {
    await play(1)
    expect(fixture.lines.find(line => line.event === 'replyNotWhole')).to.include({ requestId: 'late-0', stage: 'sent', endedBy: 'stop' })
    expect(fixture.lines.find(line => line.event === 'drained')).to.include({ cutRequests: 1 })
  })

  it('should be refused where they wait', async () => {
    await play(2)
    const answers = callers.map(({ text }) => (text.match(/HTTP\/1.1 \d+/g) ?? []).length)
    expect(Math.max(...answers)).to.equal(2)
  })
})
