import { expect } from 'chai'

import { PacedCaller } from '../fixtures/pacedCaller'
import { buildCallerRequest, buildPlatformConfig, sendRequest, startRelay, waitUntil } from './relayFixture'

import type { RelayFixture } from './relayFixture'

const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 1000, idleTimeoutMs: 500 }
const BODY_BYTES = 200_000

describe('an idle connection of a caller', () => {
  let fixture: RelayFixture
  let caller: PacedCaller

  beforeEach(async () => {
    fixture = await startRelay(buildPlatformConfig({ limits: LIMITS }))
    caller = new PacedCaller(fixture.port)
    caller.write(buildCallerRequest({ method: 'POST', headers: [`Content-Length: ${BODY_BYTES}`] }).replace('Content-Length: 0\r\n', ''))
    await waitUntil('the refusal', () => caller.text.includes('HTTP/1.1 413'))
  })

  afterEach(async () => {
    caller.destroy()
    await fixture.close()
  })

  // the body, which arrived after the refusal, ended the idle timeout for ever
  it('should be closed although its last request was refused before its body had arrived', async () => {
    caller.write('y'.repeat(BODY_BYTES))
    await caller.waitForEnd()
    expect(caller.wasReset).to.equal(false)
  })

  // the idle timeout took the head of the refused request for that of a next one
  for (const bodyBytes of [0, 100]) {
    it(`should be closed when ${bodyBytes} bytes of the body of its refused request have arrived and no more come`, async () => {
      caller.write('y'.repeat(bodyBytes))
      await caller.waitForEnd()
      expect(caller.wasReset).to.equal(false)
    })
  }

  it('should serve a next request after the body of a refused one', async () => {
    caller.write('y'.repeat(BODY_BYTES) + buildCallerRequest({ target: '/none' }))
    await waitUntil('the second answer', () => (caller.text.match(/HTTP\/1.1/g) ?? []).length === 2)
    expect((await sendRequest(fixture, { target: '/none' })).text.slice(0, 12)).to.equal(caller.text.slice(caller.text.lastIndexOf('HTTP/1.1')).slice(0, 12))
  })
})
