import FakeTimers from '@sinonjs/fake-timers'
import { expect } from 'chai'

import { ReadableTime } from '../src/base/readableTime'

import type { Standstill } from '../src/base/readableTime'

const STANDSTILLS_MS = [300, 800, 1500, 3000, 6000]
const MAX_READABLE_GAP_MS = 150

describe('ReadableTime', () => {
  let timers: ReturnType<typeof FakeTimers.install>
  let readable: ReadableTime
  let reported: Standstill[]
  let nowMs: number
  let processorMs: number

  beforeEach(() => {
    timers = FakeTimers.install({ toFake: ['setInterval', 'clearInterval', 'setImmediate', 'clearImmediate'] })
    nowMs = 0
    processorMs = 0
    reported = []
    readable = new ReadableTime({
      clock: { getMonotonicMs: () => nowMs, getWallMs: () => nowMs },
      getProcessorMs: () => processorMs,
      handleStandstill: standstill => reported.push(standstill)
    })
    timers.tick(1)
  })

  afterEach(() => {
    readable.close()
    timers.uninstall()
  })

  /** Lets the time pass up to the next tick, which may be late; `isRead`: and the input that arrived meanwhile is read. */
  function advance (elapsedMs: number, { usedMs = 0, isRead = true } = {}): void {
    nowMs += elapsedMs
    processorMs += usedMs
    timers.tick(99)
    if (isRead) timers.tick(1)
  }

  // a delay that nobody sees leaves the cause of late requests open
  it('should report a delay of the event loop, with the processor time that the process used meanwhile', () => {
    advance(101, { usedMs: 50 })
    advance(299, { usedMs: 50 })
    expect(reported).to.have.length(0)
    readable.recordDeferral()
    advance(2100, { usedMs: 1900 })
    advance(100, { usedMs: 10 })
    expect(reported).to.deep.equal([{ delayMs: 2000, processorMs: 1900, deferred: 1 }])
    expect(readable.longestDelayMs).to.equal(2000)
  })

  // others were blamed for the time in which this process could not read what they sent
  it('should count almost nothing of a standstill, before and after the tick that ends it', () => {
    for (const standstillMs of STANDSTILLS_MS) {
      advance(100)
      const heardAtMs = nowMs
      nowMs += standstillMs
      expect(readable.getElapsedMs(heardAtMs)).to.equal(MAX_READABLE_GAP_MS)
      nowMs -= standstillMs
      advance(standstillMs)
      expect(readable.getElapsedMs(heardAtMs)).to.equal(MAX_READABLE_GAP_MS)
      advance(100)
      expect(readable.getElapsedMs(heardAtMs)).to.equal(MAX_READABLE_GAP_MS + 100)
    }
  })

  // a clock that jumps would let a time limit pass that was not due a moment before
  it('should neither run faster than the clock nor back, in any sequence of delays', () => {
    let previousMs = readable.toReadableMs(0)
    let previousNowMs = 0
    for (let step = 0; step < 2000; step++) {
      const delayMs = (step * 7919) % 613
      for (const partMs of [delayMs / 3, delayMs / 2]) {
        nowMs += partMs
        const readableMs = readable.toReadableMs(nowMs)
        expect(readableMs).to.be.within(previousMs, previousMs + nowMs - previousNowMs + 1e-6)
        ;[previousMs, previousNowMs] = [readableMs, nowMs]
      }
      advance(delayMs / 6)
    }
  })

  it('should count all of the time of a process that is never late, and some of one that always is', () => {
    for (let tick = 0; tick < 20; tick++) advance(105)
    expect(readable.getElapsedMs(0)).to.equal(2100)
    const sinceMs = nowMs
    for (let tick = 0; tick < 10; tick++) advance(500)
    expect(readable.getElapsedMs(sinceMs)).to.equal(10 * MAX_READABLE_GAP_MS)
  })

  it('should answer for a time before, within and between standstills', () => {
    advance(1000)
    advance(100)
    advance(2000)
    expect(readable.getElapsedMs(0)).to.equal(150 + 100 + 150)
    expect(readable.getElapsedMs(600)).to.equal(100 + 150)
    expect(readable.getElapsedMs(1050)).to.equal(50 + 150)
    expect(readable.getElapsedMs(-Infinity)).to.equal(Infinity)
  })

  // a stop was counted from the turn in which its signal was handled, and the platform's end came first
  it('should say since when input may be unread, until a turn has read it', () => {
    advance(100)
    nowMs += 3000
    expect(readable.getUnreadSinceMs()).to.equal(100)
    advance(0, { isRead: false })
    expect(readable.getUnreadSinceMs()).to.equal(100)
    timers.tick(1)
    expect(readable.getUnreadSinceMs()).to.equal(3100)
  })

  // requests were refused in a planned stop up to a tick earlier than needed
  it('should take no input for unread while the event loop is on time', () => {
    for (let tick = 0; tick < 5; tick++) advance(110)
    nowMs += 80
    expect(readable.getUnreadSinceMs()).to.equal(nowMs)
  })
})
