import { expect } from 'chai'

import { ManualClock } from '../../src/base/clock'
import { MAX_TIER } from '../../src/protocol/tiers'
import { ClassDurations } from '../../src/policy/classDurations'
import { Dispatcher } from '../../src/sidecar/dispatcher'
import { makeAttempt } from './attemptFixture'

import type { Attempt } from '../../src/sidecar/attempt'
import type { EndpointSlots } from '../../src/sidecar/endpointSlots'

describe('Dispatcher', () => {
  it('should not cancel a running attempt when only a queued one is to be cancelled', async () => {
    const started: Attempt[] = []
    const dispatcher = makeDispatcher(attempt => { started.push(attempt) })
    const running = makeAttempt('running')
    const queued = makeAttempt('queued')
    dispatcher.submit(running)
    await waitFor(() => started.length === 1)
    dispatcher.submit(queued)
    dispatcher.cancel('running', { onlyQueued: true })
    dispatcher.cancel('queued', { onlyQueued: true })
    await waitFor(() => queued.outcome !== null)
    expect(queued.outcome).to.deep.include({ kind: 'notRun', reason: 'cancelled' })
    expect(running.signal.aborted).to.equal(false)
    dispatcher.cancel('running', { onlyQueued: false })
    await waitFor(() => running.signal.aborted)
  })
})

function makeDispatcher (handleStart: (attempt: Attempt) => void): Dispatcher {
  return new Dispatcher({
    clock: new ManualClock(),
    maxQueued: 10,
    durations: new ClassDurations(),
    slots: makeSlots(),
    getShare: () => 0,
    checkAdmission: () => null,
    run: async attempt => {
      handleStart(attempt)
      await new Promise(() => {})
    }
  })
}

function makeSlots (): EndpointSlots {
  const slots: Pick<EndpointSlots, 'getLimit' | 'getLimitByTier' | 'getTokenIntervalMs'> = {
    getLimit: () => 1,
    getLimitByTier: () => new Array<number>(MAX_TIER).fill(1),
    getTokenIntervalMs: () => 0
  }
  return slots as EndpointSlots
}

async function waitFor (check: () => boolean): Promise<void> {
  while (!check()) await new Promise(resolve => setImmediate(resolve))
}
