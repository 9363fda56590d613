import { expect } from 'chai'

import { TrueTime } from '../../src/duties/trueTime'

import type { Clock } from '../../src/base/clock'

const SAMPLE_MS = 400

/** A clock whose wall time can be set. */
class JumpingClock implements Clock {
  nowMs = 1000
  wallErrorMs = 0

  getMonotonicMs (): number {
    return this.nowMs
  }

  getWallMs (): number {
    return 1_000_000 + this.nowMs + this.wallErrorMs
  }
}

/** Lets seconds pass, and returns the largest error of the estimate meanwhile. */
function advance (clock: JumpingClock, trueTime: TrueTime, seconds: number, tell: () => void = () => {}): number {
  let largestMs = 0
  for (let passedMs = 0; passedMs < 1000 * seconds; passedMs += SAMPLE_MS) {
    clock.nowMs += SAMPLE_MS
    tell()
    trueTime.sample()
    largestMs = Math.max(largestMs, Math.abs(trueTime.getMs() - 1_000_000 - clock.nowMs))
  }
  return largestMs
}

describe('the true time', () => {
  it('should not move when the wall clock jumps and comes back, and follow one that is set for good', () => {
    const clock = new JumpingClock()
    const trueTime = new TrueTime(clock)
    advance(clock, trueTime, 40)
    clock.wallErrorMs = 2000
    expect(advance(clock, trueTime, 10)).to.equal(0)
    clock.wallErrorMs = 0
    expect(advance(clock, trueTime, 40)).to.equal(0)
    clock.wallErrorMs = -3000
    advance(clock, trueTime, 40)
    expect(trueTime.getMs()).to.equal(clock.getWallMs())
  })

  it('should be that of most gateways when this one started with a wrong wall clock', () => {
    const clock = new JumpingClock()
    clock.wallErrorMs = 2000
    const reader = new TrueTime(clock)
    const member = new TrueTime(clock)
    const recordWords = () => ['p-1', 'p-2', 'p-3'].forEach((process, index) => reader.recordPeer(process, 1_000_000 + clock.nowMs - index))
    expect(advance(clock, reader, 10, recordWords)).to.be.at.most(2)
    expect(advance(clock, member, 10, () => member.recordReader(1_000_000 + clock.nowMs))).to.equal(0)
    // a word that is too old is not used
    advance(clock, member, 6)
    expect(member.getMs()).to.equal(clock.getWallMs())
  })

  it('should be its own while others differ by the way of a message, or only a few of them do', () => {
    const clock = new JumpingClock()
    const trueTime = new TrueTime(clock)
    const recordWords = () => {
      for (const [process, errorMs] of [['p-1', -60], ['p-2', -90], ['p-3', 2000], ['p-4', -20]] as const) trueTime.recordPeer(process, 1_000_000 + clock.nowMs + errorMs)
    }
    expect(advance(clock, trueTime, 20, recordWords)).to.equal(0)
  })
})
