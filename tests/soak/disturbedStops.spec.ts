import { expect } from 'chai'

import { listDisturbedStops } from '../../soak/disturbedStops'
import { buildSoakPlan } from '../../soak/soakPlan'

import type { DisturbedStop, TimedStopAction } from '../../soak/disturbedStops'

const MS_PER_HOUR = 3_600_000

function listStops (actions: readonly TimedStopAction[]): DisturbedStop[][] {
  return actions.flatMap(({ action }) => action.kind === 'disturbStops' ? [action.stops] : [])
}

describe("the soak's disturbed stops", () => {
  const options = { seed: 5, gateways: 4, fromMs: 0, untilMs: MS_PER_HOUR }

  it('should be the same for the same seed', () => {
    expect(listDisturbedStops(options)).to.deep.equal(listDisturbedStops(options)).and.not.deep.equal(listDisturbedStops({ ...options, seed: 6 }))
  })

  // an older seed that found a fault has to play the same actions again
  it('should leave the other actions of a seed as they are', () => {
    const plan = { seed: 5, durationMs: MS_PER_HOUR / 6, gateways: 4, endpoints: 6 }
    const stopsAlone = buildSoakPlan({ ...plan, hasStopsAlone: true })
    const all = buildSoakPlan(plan)
    expect(all.filter(({ action }) => action.kind === 'disturbStops' || action.kind === 'pauseBriefly')).to.deep.equal(stopsAlone)
    expect(all.length).to.be.above(2 * stopsAlone.length)
  })

  it('should leave one gateway that goes on, where there are two', () => {
    for (const gateways of [1, 2, 3, 4]) {
      for (const stops of listStops(listDisturbedStops({ ...options, gateways }))) {
        const stopped = new Set(stops.map(({ gateway }) => gateway))
        expect(stopped.size).to.equal(stops.length).and.be.within(1, Math.max(1, gateways - 1))
      }
    }
  })

  // a plan without one of these would pass on a program that it breaks
  it('should overlap, send each signal and pause before, over and after the signal and after the restart', () => {
    const all = listStops(listDisturbedStops(options))
    const stops = all.flat()
    const signals = stops.flatMap(each => each.signals)
    expect(new Set(signals.map(({ signal }) => signal))).to.have.all.keys('SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR2')
    expect(Math.max(...signals.map(({ afterMs }) => afterMs))).to.be.within(6000, 7000)
    expect(signals.every(({ signal, afterMs }) => afterMs > 0 || signal === 'SIGHUP')).to.equal(true)
    const pauses = stops.flatMap(({ pause }) => pause ?? [])
    const counts = [
      pauses.filter(({ from, afterMs, forMs }) => from === 'signal' && afterMs <= -forMs),
      pauses.filter(({ from, afterMs, forMs }) => from === 'signal' && afterMs < 0 && afterMs > -forMs),
      pauses.filter(({ from, afterMs }) => from === 'signal' && afterMs > 0),
      pauses.filter(({ from }) => from === 'restart')
    ].map(group => group.length)
    for (const count of counts) expect(count).to.be.above(10)
    expect(all.filter(each => each.length > 1).length).to.be.above(all.length / 2)
  })
})
