import { expect } from 'chai'

import { ManualClock } from '../../src/base/clock'
import { Dispatcher } from '../../src/relay/dispatcher'
import { buildEndpoint } from '../policy/directFixtures'
import { waitUntil } from './relayFixture'

import type { DirectChoice } from '../../src/policy/directChooser'
import type { DispatchRequest } from '../../src/relay/dispatcher'

const QUEUED_REQUESTS = 100

interface QueueFixture {
  dispatcher: Dispatcher
  clock: ManualClock
  countChoices: () => number
  setCapacity: (hasCapacity: boolean) => void
  started: string[]
}

/** Builds a dispatcher with many requests queued for one endpoint without capacity. */
function buildQueue (): QueueFixture {
  const clock = new ManualClock(1000)
  const dispatcher = new Dispatcher({ clock })
  const endpoint = buildEndpoint('e-1')
  const started: string[] = []
  let choices = 0
  let hasCapacity = false
  const choose = (): DirectChoice => {
    choices += 1
    return { endpoint, reason: 'leastCost', costMs: 0, candidates: 1, unreadTokens: 100, prefixSource: null, othersInFlight: 0, othersTokens: 0, hasCapacity, needsPermit: false }
  }
  for (let index = 0; index < QUEUED_REQUESTS; index++) {
    const request: DispatchRequest = { id: `r-${index}`, service: 'engines', rank: 1, prefillMs: 1, latestStartAtMs: 5000, expiresAtMs: 9000, claim: null, choose, reserve: () => started.push(`r-${index}`) }
    dispatcher.wait(request, new AbortController().signal).catch(() => {})
  }
  return { dispatcher, clock, started, countChoices: () => choices, setCapacity: value => { hasCapacity = value } }
}

describe('requests queued at a gateway', () => {
  let queue: QueueFixture

  beforeEach(() => { queue = buildQueue() })

  afterEach(() => queue.dispatcher.close())

  it('should not be evaluated again for each of many notifications in a burst', () => {
    const before = queue.countChoices()
    for (let notice = 0; notice < 200; notice++) queue.dispatcher.notifyCapacity('engines')
    expect(queue.countChoices() - before).to.be.at.most(QUEUED_REQUESTS)
  })

  it('should start soon after capacity became free', async () => {
    queue.setCapacity(true)
    queue.dispatcher.notifyCapacity('engines')
    await waitUntil('all requests to be dispatched', () => queue.started.length === QUEUED_REQUESTS)
  })
})
