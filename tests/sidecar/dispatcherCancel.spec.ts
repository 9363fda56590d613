import { expect } from 'chai'

import { ManualClock } from '../../src/base/clock'
import { MAX_TIER } from '../../src/protocol/serviceLevels'
import { ClassDurations } from '../../src/policy/classDurations'
import { Attempt } from '../../src/sidecar/attempt'
import { Dispatcher } from '../../src/sidecar/dispatcher'

import type { EndpointSlots } from '../../src/sidecar/endpointSlots'
import type { SidecarStamp, SubmitAttempt } from '../../src/protocol/attemptMessages'

describe('Dispatcher', () => {
  it('should leave an attempt that has started alone when only a queued one is to be cancelled', async () => {
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

function makeAttempt (id: string): Attempt {
  const params = {
    requestId: id,
    attemptId: id,
    attemptNumber: 1,
    workspace: 'shop',
    className: 'quote',
    tier: 1,
    remainingMs: 60_000,
    startWithinMs: 60_000,
    firstTokenRemainingMs: 60_000,
    idempotent: true
  }
  const load = { running: 0, slots: 1, queuedByTier: new Array(MAX_TIER).fill(0), waitMsByTier: new Array(MAX_TIER).fill(0), tokenIntervalMs: 0, draining: false }
  const getStamp = () => ({ sidecarId: 's', sidecarEpoch: 'e', configGeneration: 1, load }) as unknown as SidecarStamp
  return new Attempt({ params: params as unknown as SubmitAttempt, receivedAtMs: 0, getStamp, onEnd: () => {} })
}

async function waitFor (check: () => boolean): Promise<void> {
  while (!check()) await new Promise(resolve => setImmediate(resolve))
}
