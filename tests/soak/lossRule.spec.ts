import { expect } from 'chai'

import { isLost } from '../../soak/lossRule'

import type { BrokenRequest } from '../../soak/lossRule'
import type { SoakRun } from '../../soak/soakEndpoint'

const BOUNDS = { stopSeconds: 8, configApplyMs: 2000, lossSlackMs: 200 }
const NO_SIGNALS = { stoppedAtMs: null, reloadedAtMs: null, all: [] }

function buildRun (overrides: Partial<SoakRun> = {}): SoakRun {
  return { requestId: 'r-1', endpointId: 'desk-1', method: 'GET', target: '/read/x', body: '', workspace: null, hasKey: false, startedAtMs: 0, endedAtMs: null, hasBrokenOff: false, ...overrides }
}

/** Returns whether a request is lost that was sent 1 s after a signal to stop and broke 1 s later, with some changes. */
function isLostWith (overrides: Partial<BrokenRequest>): boolean {
  return isLost({ sentAtMs: 1000, lastByteSentAtMs: 1000, endedAtMs: 2000, deadlineMs: 20_000, runs: [buildRun({ endedAtMs: 2000 })], hasPause: false, signals: { ...NO_SIGNALS, stoppedAtMs: 0 }, ...overrides }, BOUNDS)
}

describe("the soak's rule of lost requests", () => {
  it('should count a request that ran, with a signal to stop and without', () => {
    expect(isLostWith({})).to.equal(true)
    expect(isLostWith({ signals: NO_SIGNALS })).to.equal(true)
  })

  it('should not count a request whose time limit has passed or whose endpoint broke off', () => {
    expect(isLostWith({ deadlineMs: 1000 })).to.equal(false)
    expect(isLostWith({ deadlineMs: 1001 })).to.equal(true)
    expect(isLostWith({ runs: [buildRun({ hasBrokenOff: true })] })).to.equal(false)
    expect(isLostWith({ runs: [buildRun({ hasBrokenOff: true }), buildRun({ endedAtMs: 1900 })] })).to.equal(true)
  })

  it('should not count a request that is still at work in the last sixth of the stop, if it was sent early', () => {
    expect(isLostWith({ endedAtMs: 7200, runs: [buildRun()] })).to.equal(false)
    expect(isLostWith({ endedAtMs: 7200, runs: [buildRun({ endedAtMs: 6600 })] })).to.equal(true)
    expect(isLostWith({ endedAtMs: 6600, runs: [buildRun()] })).to.equal(true)
    expect(isLostWith({ sentAtMs: 3000, endedAtMs: 7200, runs: [buildRun()] })).to.equal(false)
    expect(isLostWith({ sentAtMs: 3001, endedAtMs: 7200, runs: [buildRun()] })).to.equal(true)
  })

  // the gateway has read it, though no endpoint has seen it
  it('should count a whole request that ran nowhere around a signal, later than the slack after its last byte', () => {
    const ranNowhere = { runs: [], lastByteSentAtMs: 1700 }
    expect(isLostWith(ranNowhere)).to.equal(true)
    expect(isLostWith({ ...ranNowhere, lastByteSentAtMs: 1800 })).to.equal(false)
    expect(isLostWith({ ...ranNowhere, lastByteSentAtMs: null })).to.equal(false)
    expect(isLostWith({ ...ranNowhere, signals: NO_SIGNALS })).to.equal(false)
    expect(isLostWith({ ...ranNowhere, endedAtMs: 9000 })).to.equal(true)
    expect(isLostWith({ ...ranNowhere, endedAtMs: 9001 })).to.equal(false)
  })

  it('should count what ran at a paused process, but ask for no bound in time there', () => {
    expect(isLostWith({ hasPause: true })).to.equal(true)
    expect(isLostWith({ hasPause: true, sentAtMs: 3001, endedAtMs: 7200, runs: [buildRun()] })).to.equal(false)
    expect(isLostWith({ hasPause: true, runs: [], lastByteSentAtMs: 1700 })).to.equal(false)
  })

  it('should count a whole request around a signal to reload, if it was sent before that applies', () => {
    const ranNowhere = { runs: [], lastByteSentAtMs: 1700 }
    expect(isLostWith({ ...ranNowhere, signals: { ...NO_SIGNALS, reloadedAtMs: -1000 } })).to.equal(true)
    expect(isLostWith({ ...ranNowhere, signals: { ...NO_SIGNALS, reloadedAtMs: -1001 } })).to.equal(false)
    expect(isLostWith({ ...ranNowhere, signals: { ...NO_SIGNALS, reloadedAtMs: 2001 } })).to.equal(false)
  })
})
