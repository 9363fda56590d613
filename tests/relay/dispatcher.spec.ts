import { expect } from 'chai'

import { ManualClock } from '../../src/base/clock'
import { Dispatcher } from '../../src/relay/dispatcher'
import { buildEndpoint } from '../policy/directFixtures'
import { waitUntil } from './relayFixture'

import type { DirectChoice } from '../../src/policy/directChooser'
import type { DispatchRequest } from '../../src/relay/dispatcher'

const LINE_OF_WAITING = 100

interface LineFixture {
  dispatcher: Dispatcher
  clock: ManualClock
  countChoices: () => number
  setRoom: (hasRoom: boolean) => void
  started: string[]
}

/** A gateway at which many requests wait for one endpoint without room. */
function buildLine (): LineFixture {
  const clock = new ManualClock(1000)
  const dispatcher = new Dispatcher({ clock })
  const endpoint = buildEndpoint('e-1')
  const started: string[] = []
  let choices = 0
  let hasRoom = false
  const choose = (): DirectChoice => {
    choices += 1
    return { endpoint, reason: 'leastCost', costMs: 0, candidates: 1, unreadTokens: 100, othersInFlight: 0, othersTokens: 0, hasRoom }
  }
  for (let index = 0; index < LINE_OF_WAITING; index++) {
    const request: DispatchRequest = { id: `r-${index}`, service: 'engines', rank: 1, tokens: 100, dueAtMs: 5000, expiresAtMs: 9000, choose, take: () => started.push(`r-${index}`) }
    dispatcher.wait(request, new AbortController().signal).catch(() => {})
  }
  return { dispatcher, clock, started, countChoices: () => choices, setRoom: value => { hasRoom = value } }
}

describe('requests that wait at a gateway', () => {
  let line: LineFixture

  beforeEach(() => { line = buildLine() })

  afterEach(() => line.dispatcher.close())

  it('should not be weighed anew for each of many notices in a burst', () => {
    const before = line.countChoices()
    for (let notice = 0; notice < 200; notice++) line.dispatcher.notifyRoom('engines')
    expect(line.countChoices() - before).to.be.at.most(LINE_OF_WAITING)
  })

  it('should start soon after room came free', async () => {
    line.setRoom(true)
    line.dispatcher.notifyRoom('engines')
    await waitUntil('the starts', () => line.started.length === LINE_OF_WAITING)
  })
})
