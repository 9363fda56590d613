import { setTimeout as waitFor } from 'node:timers/promises'

import { expect } from 'chai'

import { PacedCaller } from '../fixtures/pacedCaller'
import { answerWhole, buildCallerRequest, buildPlatformConfig, startEndpoint, startRelay } from './relayFixture'

import type { RelayFixture } from './relayFixture'

const HEADER_TIMEOUT_MS = 1000

describe('a head that arrived while the process stood still', () => {
  let fixture: RelayFixture
  let caller: PacedCaller

  afterEach(async () => {
    caller.destroy()
    await fixture.close()
  })

  // the runtime checked the time limit of heads before it read what had arrived
  it('should be read before its time limit is judged', async () => {
    const endpoint = await startEndpoint('e-1', request => answerWhole(request))
    fixture = await startRelay(buildPlatformConfig({ limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs: 5000 } }), [endpoint])
    caller = new PacedCaller(fixture.port)
    const request = buildCallerRequest()
    caller.write(request.slice(0, 30))
    await waitFor(50)
    caller.write(request.slice(30))
    const untilMs = performance.now() + 2 * HEADER_TIMEOUT_MS
    while (performance.now() < untilMs);
    await waitFor(500)
    expect(caller.text).to.match(/^HTTP\/1\.1 200/)
  })

  // a byte at the time limit of a head kept its connection for ever
  it('should be refused although a byte of it comes at its time limit', async () => {
    fixture = await startRelay(buildPlatformConfig({ limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs: 5000 } }))
    caller = new PacedCaller(fixture.port)
    const text = `${buildCallerRequest().slice(0, 60)}${'x'.repeat(3000)}`
    let sent = 0
    const timer = setInterval(() => caller.write(text.slice(sent, ++sent)), 1)
    await caller.waitForEnd()
    clearInterval(timer)
    expect(caller.hasEnded || caller.wasReset).to.equal(true)
    expect(caller.text).to.match(/^HTTP\/1\.1 400/)
  }).timeout(4 * HEADER_TIMEOUT_MS)
})
