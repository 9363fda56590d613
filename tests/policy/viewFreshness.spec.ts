import { expect } from 'chai'

import { readClock } from '../../src/base/clockReading'
import { ViewFreshness } from '../../src/policy/viewFreshness'

import type { Clock } from '../../src/base/clock'

/** Builds a clock whose wall time can diverge from its monotonic time, as after a suspension or a wall clock step. */
function buildClock () {
  const times = { monotonicMs: 1000, wallMs: 50_000 }
  const clock: Clock = { getMonotonicMs: () => times.monotonicMs, getWallMs: () => times.wallMs }
  const advance = (milliseconds: number) => {
    times.monotonicMs += milliseconds
    times.wallMs += milliseconds
  }
  const moveWall = (milliseconds: number) => { times.wallMs += milliseconds }
  return { clock, advance, moveWall }
}

describe('ViewFreshness', () => {
  it('should measure the age from the start of the call that confirmed the view', () => {
    const { clock, advance } = buildClock()
    const freshness = new ViewFreshness({ clock, maxAgeMs: 4500 })
    expect(freshness.getVerdict()).to.deep.equal({ kind: 'unconfirmed' })
    const startedAt = readClock(clock)
    advance(400)
    freshness.recordConfirmation(startedAt)
    expect(freshness.getVerdict()).to.deep.equal({ kind: 'fresh', ageMs: 400 })
    advance(4200)
    expect(freshness.getVerdict()).to.deep.equal({ kind: 'stale', ageMs: 4600 })
  })

  it('should include the time of a suspension, which the monotonic clock omits', () => {
    const { clock, moveWall } = buildClock()
    const freshness = new ViewFreshness({ clock, maxAgeMs: 4500 })
    freshness.recordConfirmation(readClock(clock))
    moveWall(6000)
    expect(freshness.getVerdict()).to.deep.equal({ kind: 'stale', ageMs: 6000 })
  })

  it('should distrust the view while the clocks disagree in either direction, until it is confirmed again', () => {
    const { clock, advance, moveWall } = buildClock()
    const freshness = new ViewFreshness({ clock, maxAgeMs: 4500 })
    freshness.recordConfirmation(readClock(clock))
    moveWall(-2400)
    expect(freshness.getVerdict().kind).to.equal('distrusted')
    moveWall(2400)
    expect(freshness.getVerdict().kind).to.equal('fresh')
    moveWall(1500)
    expect(freshness.getVerdict().kind).to.equal('distrusted')
    freshness.recordConfirmation(readClock(clock))
    advance(100)
    expect(freshness.getVerdict()).to.deep.equal({ kind: 'fresh', ageMs: 100 })
  })

  it('should ignore an earlier confirmation', () => {
    const { clock, advance } = buildClock()
    const freshness = new ViewFreshness({ clock, maxAgeMs: 4500 })
    const early = readClock(clock)
    advance(1000)
    freshness.recordConfirmation(readClock(clock))
    freshness.recordConfirmation(early)
    expect(freshness.getVerdict()).to.deep.equal({ kind: 'fresh', ageMs: 0 })
  })
})
