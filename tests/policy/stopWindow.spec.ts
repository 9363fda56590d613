import { expect } from 'chai'

import { buildStopWindow, canSendBeforeStop } from '../../src/policy/stopWindow'

const STOP_MS = 8000
/** Milliseconds after the signal from which on running requests may be cut: the last sixth of the stop time. */
const LAST_SIXTH_MS = 5 / 6 * STOP_MS
/** Milliseconds after the signal until which requests may be accepted that are cut at the end. */
const LAST_SEND_MS = 3000

describe('the times of a planned stop', () => {
  it('should end in time and not before the last sixth when the signal is handled at once', () => {
    const stop = buildStopWindow({ earliestMs: 100, latestMs: 100 }, STOP_MS)
    expect(stop.finishAtMs).to.be.within(100 + LAST_SIXTH_MS, 100 + 0.95 * STOP_MS)
    expect(stop.deliverUntilMs).to.be.within(stop.finishAtMs, 100 + STOP_MS - 250)
  })

  // a stop that was counted from the earliest possible time cut streams 0.3 s before the last sixth
  for (const lateMs of [20, 300, 800, 900, 1500, 6000]) {
    it(`should cut nothing before the last sixth unless the platform may end the process, and accept nothing late, when the signal may have come ${lateMs} ms before it is handled`, () => {
      const stop = buildStopWindow({ earliestMs: 0, latestMs: lateMs }, STOP_MS)
      expect(stop.finishAtMs).to.be.least(Math.min(lateMs + LAST_SIXTH_MS, 0.95 * STOP_MS))
      expect(stop.deliverUntilMs).to.be.within(stop.finishAtMs, STOP_MS - 250)
      expect(stop.sendUntilMs).to.be.most(LAST_SEND_MS)
      // what cannot be repeated ends before the platform can end the process
      expect(canSendBeforeStop({ kind: 'nonIdempotent', deadlineAtMs: 0.95 * STOP_MS }, stop, lateMs)).to.equal(false)
    })
  }
})
