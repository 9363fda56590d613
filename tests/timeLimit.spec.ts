import { setImmediate as waitForTurn } from 'node:timers/promises'

import FakeTimers from '@sinonjs/fake-timers'
import { expect } from 'chai'

import { ReadableTime } from '../src/base/readableTime'
import { TimeLimit } from '../src/base/timeLimit'

import type { Clock } from '../src/base/clock'

const STANDSTILLS_MS = [300, 800, 1500, 3000, 6000]
const LIMITS_MS = [250, 600, 2000]
const MAX_READABLE_GAP_MS = 150

describe('TimeLimit', () => {
  // calls to others failed at once after a standstill, with their answers unread
  it('should pass one whole limit after a standstill at the latest, and not with it', async () => {
    for (const standstillMs of STANDSTILLS_MS) {
      for (const limitMs of LIMITS_MS) {
        const timers = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
        const clock: Clock = { getMonotonicMs: () => performance.now(), getWallMs: () => performance.now() }
        const readable = new ReadableTime({ clock, getProcessorMs: () => 0, handleStandstill: () => {} })
        let passedAtMs: number | null = null
        const limit = new TimeLimit({ ...clock, readable }, limitMs, () => { passedAtMs = performance.now() })
        timers.jump(standstillMs)
        for (let stepMs = 0; stepMs < limitMs + 100; stepMs += 10) {
          await waitForTurn()
          await waitForTurn()
          await waitForTurn()
          timers.tick(10)
        }
        limit.cancel()
        readable.close()
        timers.uninstall()
        const expectedMs = standstillMs + limitMs - MAX_READABLE_GAP_MS
        if (limitMs < standstillMs) expect(passedAtMs).to.be.within(expectedMs, expectedMs + 30)
        else expect(passedAtMs).to.be.within(limitMs, standstillMs + limitMs)
      }
    }
  })

  it('should not pass once it is cancelled, also while input is being read', async () => {
    let hasPassed = false
    let nowMs = 0
    const timers = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] })
    const limit = new TimeLimit({ getMonotonicMs: () => nowMs, getWallMs: () => nowMs }, 1, () => { hasPassed = true })
    // late, so that the limit waits for the input
    nowMs = 100
    timers.tick(1)
    limit.cancel()
    timers.uninstall()
    for (let turn = 0; turn < 5; turn++) await waitForTurn()
    expect(hasPassed).to.equal(false)
  })
})
