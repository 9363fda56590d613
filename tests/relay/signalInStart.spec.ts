import { setTimeout as waitFor } from 'node:timers/promises'

import { expect } from 'chai'

import { systemClock } from '../../src/base/clock'
import { ProcessLifecycle } from '../../src/cli/processLifecycle'
import { PacedCaller } from '../fixtures/pacedCaller'
import { buildCallerRequest, buildPlatformConfig, buildRoute, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { ReceivedRequest, RelayFixture } from './relayFixture'
import type { HandledSignal } from '../../src/policy/signalEffect'

const STOP_SECONDS = 4
/** Time that the start goes on after the signal. */
const START_REST_MS = 800

describe('a signal that comes while the start is under way', () => {
  // the stop was counted from the end of the start, and the platform ended the process first
  it('should end the process within the stop time counted from the signal', async () => {
    const held: ReceivedRequest[] = []
    const endpoint = await startEndpoint('e-1', request => { held.push(request) })
    let fixture: RelayFixture | null = null
    let caller: PacedCaller | null = null
    let handleSignal: (signal: HandledSignal) => void = () => {}
    let ended: number | null = null
    const lifecycle = new ProcessLifecycle({
      clock: systemClock,
      signals: { attach: handle => { handleSignal = handle } },
      start: async () => {
        fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ timeoutMs: 9000 })] }), [endpoint], { stopSeconds: STOP_SECONDS })
        caller = new PacedCaller(fixture.port)
        caller.write(buildCallerRequest({ timeoutMs: 9000 }))
        await waitUntil('the request', () => held.length === 1)
        await waitFor(START_REST_MS)
      },
      drain: async handledAtMs => await fixture!.relay.drain(handledAtMs),
      end: async () => { ended = performance.now() },
      writeLine: () => {},
      handleStop: () => {},
      handleError: error => { throw error }
    })
    const run = lifecycle.run()
    await waitUntil('the request', () => held.length === 1)
    const signalledAtMs = performance.now()
    handleSignal('SIGTERM')
    await run
    await waitUntil('the end', () => ended !== null)
    caller!.destroy()
    await fixture!.close()
    expect(ended! - signalledAtMs).to.be.lessThan(STOP_SECONDS * 1000)
  })
})
