import { expect } from 'chai'

import { USAGE_DUTY_KEY } from '../../src/duties/dutyRecord'
import { TIMING, UsageFleet } from './usageFleet'

import type { DutyStep } from '../../src/duties/usageDuty'

const CALM_MS = 30_000

/** Starts gateways and lets them report for some windows. */
async function startFleet (): Promise<UsageFleet> {
  const fleet = new UsageFleet()
  await fleet.advance(CALM_MS)
  return fleet
}

/** Checks that no rule is broken, and that the windows after a time are reported right. */
function expectRight (fleet: UsageFleet, fromMs: number): void {
  expect(fleet.listViolations()).to.deep.equal([])
  expect(fleet.listWrong(fromMs, fleet.nowMs - 10_000)).to.deep.equal([])
}

describe('the usage report', () => {
  it('should be right in 100 of 100 calm windows, with one write and no read for each', async () => {
    const fleet = new UsageFleet()
    const startMs = fleet.nowMs
    await fleet.advance(CALM_MS)
    const before = { ...fleet.service.calls }
    await fleet.advance(500_000)
    expectRight(fleet, startMs)
    expect(fleet.received.length).to.be.at.least(100)
    expect(fleet.service.calls.put - before.put).to.equal(100)
    expect(fleet.service.calls.get - before.get).to.equal(0)
    expect(new Set(fleet.received.map(({ number }) => number))).to.deep.equal(new Set([1]))
  })

  for (const kind of ['write', 'send'] as const) {
    for (const isAfter of [false, true]) {
      it(`should go on at another gateway when the holder is killed ${isAfter ? 'after' : 'before'} a ${kind}`, async () => {
        const fleet = await startFleet()
        const startMs = fleet.nowMs
        const victim = fleet.getHolder()!
        fleet.handleStep = (node, step) => {
          if (node !== victim || step.kind !== kind) return true
          fleet.handleStep = () => true
          victim.isDown = true
          return isAfter
        }
        await fleet.advance(60_000)
        expect(fleet.getHolder()).not.to.equal(victim)
        expect(fleet.getHolder()!.duty.heldNumber).to.equal(2)
        expectRight(fleet, startMs)
      })
    }
  }

  it('should be sent by nobody who was frozen while another gateway took over', async () => {
    const fleet = await startFleet()
    const frozen = fleet.getHolder()!
    fleet.handleStep = (node, step) => {
      if (node !== frozen || step.kind !== 'write') return true
      // its write is stored, and the answer waits while it stands still
      fleet.handleStep = () => true
      frozen.isDown = true
      return true
    }
    await fleet.advanceUntil(() => frozen.isDown)
    await fleet.advanceUntil(() => fleet.getHolder() !== undefined)
    frozen.isDown = false
    const thawedMs = fleet.nowMs
    await fleet.advance(40_000)
    expect(fleet.received.filter(({ atMs, holder }) => atMs >= thawedMs && holder === frozen.name)).to.have.length(0)
    expectRight(fleet, thawedMs)
  })

  it('should send the same counts again when the answer was lost, and when a write had no answer', async () => {
    const fleet = await startFleet()
    const startMs = fleet.nowMs
    fleet.lostAnswers = 2
    await fleet.advance(10_000)
    fleet.service.faults.lostAnswers = 1
    await fleet.advance(10_000)
    fleet.service.faults.lostWrites = 1
    await fleet.advance(30_000)
    expectRight(fleet, startMs)
    expect(fleet.received.filter(({ window }, index) => fleet.received.findIndex(other => other.window === window) !== index)).to.have.length(2)
    expect(fleet.nodes.filter(({ duty }) => duty.heldNumber === 1)).to.have.length(1)
  })

  it('should be caught up once, in order, when the store or the platform was away', async () => {
    for (const part of ['store', 'platform'] as const) {
      const fleet = await startFleet()
      const startMs = fleet.nowMs
      if (part === 'store') fleet.service.setFaults({ outage: true })
      else fleet.isPlatformDown = true
      await fleet.advance(18_000)
      fleet.service.setFaults({ outage: false })
      fleet.isPlatformDown = false
      await fleet.advance(30_000)
      expect(fleet.listViolations()).to.deep.equal([])
      const windows = fleet.received.filter(({ atMs }) => atMs > startMs).map(({ window }) => window)
      expect(windows, part).to.deep.equal(windows.map((_, index) => windows[0]! + index))
    }
  })

  it('should break no rule when a gateway is cut off from the others, and keep the holder', async () => {
    const fleet = await startFleet()
    const startMs = fleet.nowMs
    const holder = fleet.getHolder()!
    fleet.nodes.find(node => node !== holder)!.isLinked = false
    await fleet.advance(60_000)
    expect(fleet.listViolations()).to.deep.equal([])
    expect(fleet.nodes.filter(({ duty }) => duty.heldNumber !== null)).to.deep.equal([holder])
    expect(new Set(fleet.received.filter(({ atMs }) => atMs > startMs).map(({ holder: name }) => name)).size).to.equal(1)
  })

  it('should use no number and no window again after the store was restored from a backup', async () => {
    const fleet = await startFleet()
    const backup = structuredClone(fleet.store.objects.get(USAGE_DUTY_KEY))
    fleet.getHolder()!.isDown = true
    await fleet.advance(30_000)
    const second = fleet.getHolder()!
    expect(second.duty.heldNumber).to.equal(2)
    fleet.replaceObject(backup)
    second.isDown = true
    const restoredMs = fleet.nowMs
    await fleet.advance(60_000)
    expect(fleet.getHolder()!.duty.heldNumber).to.be.above(2 ** 32)
    expectRight(fleet, restoredMs + 20_000)
  })

  it('should be trusted to a new number when the store was restored under the holder', async () => {
    const fleet = await startFleet()
    const restoredMs = fleet.nowMs
    fleet.replaceObject(structuredClone(fleet.store.objects.get(USAGE_DUTY_KEY)))
    await fleet.advance(60_000)
    expect(fleet.getHolder()!.duty.heldNumber).to.be.above(2 ** 32)
    expectRight(fleet, restoredMs + 25_000)
  })

  it('should leave an object alone that it cannot read, and begin above its number when the object is gone', async () => {
    const fleet = await startFleet()
    const { length } = fleet.received
    fleet.store.put(USAGE_DUTY_KEY, { holder: 'gateway-1', number: 'seven' })
    await fleet.advance(30_000)
    expect(fleet.received).to.have.length(length)
    expect(fleet.store.objects.get(USAGE_DUTY_KEY)?.value).to.deep.equal({ holder: 'gateway-1', number: 'seven' })
    fleet.store.objects.delete(USAGE_DUTY_KEY)
    await fleet.advance(30_000)
    expect(fleet.received.length).to.be.above(length)
    expect(fleet.listViolations()).to.deep.equal([])
  })

  it('should leave out no window because a gateway starts between its end and its report', async () => {
    const fleet = await startFleet()
    const startMs = fleet.nowMs
    await fleet.advance(TIMING.windowMs - fleet.nowMs % TIMING.windowMs + 500)
    fleet.replaceNode(fleet.nodes.findIndex(node => node !== fleet.getHolder()))
    await fleet.advance(30_000)
    expectRight(fleet, startMs)
  })

  it('should go on under a new number when all gateways start again, without windows that nobody counted', async () => {
    const fleet = await startFleet()
    fleet.nodes.forEach(node => { node.isDown = true })
    await fleet.advance(21_000)
    fleet.nodes.forEach((_, index) => fleet.replaceNode(index))
    const startMs = fleet.nowMs
    await fleet.advance(60_000)
    expectRight(fleet, startMs)
    expect(fleet.getHolder()!.duty.heldNumber).to.equal(2)
    const before = new Set(fleet.received.filter(({ atMs }) => atMs < startMs).map(({ window }) => window))
    const late = fleet.received.filter(({ atMs, window }) => atMs > startMs && (window + 1) * TIMING.windowMs < startMs)
    // only the window that was stored before may be sent once more
    expect(late.filter(({ window }) => !before.has(window))).to.have.length(0)
  })

  it('should write again before it sends when the wall clock jumps, and break no rule', async () => {
    const fleet = await startFleet()
    const startMs = fleet.nowMs
    const holder = fleet.getHolder()!
    const steps: Array<DutyStep['kind']> = []
    fleet.handleStep = (node, step) => {
      if (node === holder) steps.push(step.kind)
      if (node === holder && step.kind === 'write' && holder.wallErrorMs === 0) setImmediate(() => { holder.wallErrorMs = 2000 })
      return true
    }
    await fleet.advance(40_000)
    expectRight(fleet, startMs)
  })

  it('should break no rule under kills, freezes, lost answers, jumps of clocks and restored stores at random times', async () => {
    for (let seed = 1; seed <= 100; seed++) {
      const fleet = new UsageFleet()
      let state = seed
      const generate = () => (state = state * 48_271 % 2_147_483_647) / 2_147_483_647
      let backup = structuredClone(fleet.store.objects.get(USAGE_DUTY_KEY))
      for (let event = 0; event < 40; event++) {
        await fleet.advance(20 * Math.ceil(generate() * 300))
        const index = Math.floor(generate() * 3)
        const node = fleet.nodes[index]!
        const choice = generate()
        if (node.isDown && choice < 0.5) node.isDown = false
        else if (choice < 0.3) node.isDown = true
        else if (choice < 0.5) fleet.replaceNode(index)
        else if (choice < 0.6) fleet.lostAnswers = 1
        else if (choice < 0.7) fleet.service.faults.lostAnswers = 1
        else if (choice < 0.8) fleet.service.faults.lostWrites = 1
        else if (choice < 0.85) fleet.answerMs = 20 * Math.ceil(generate() * 60)
        else if (choice < 0.9) node.wallErrorMs = 2000 - node.wallErrorMs
        else if (choice < 0.94) backup = structuredClone(fleet.store.objects.get(USAGE_DUTY_KEY))
        else if (choice < 0.97) fleet.replaceObject(backup)
        else node.isLinked = !node.isLinked
      }
      expect(fleet.listViolations(), `seed ${seed}`).to.deep.equal([])
    }
  })
})
