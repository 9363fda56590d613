import { expect } from 'chai'

import { formatPartFingerprint, listSharedPartKeys } from '../../src/policy/promptPartKeys'
import { CONTACT_MS, isWithinRule, listLateArrivals } from '../fixtures/promptPartRule'
import { playPrompts, sendPrompt, startCrashingFleet } from './crashingFleet'
import { waitUntil } from './relayFixture'

import type { CrashingFleet, CrashPoint, PlayedPrompt, PlayedRequest } from './crashingFleet'
import type { RelayFixture } from './relayFixture'

const EVERY_PROMPT = 'e000'
const BAD_PART = 'bad0'
const BAD_FINGERPRINT = formatPartFingerprint(listSharedPartKeys('archive', [{ id: BAD_PART, tokens: 1 }, { id: '', tokens: 1 }]))

// one shared part crashes endpoints in requests that are otherwise all different
describe('a prompt part that crashes each endpoint that begins to answer it', () => {
  let fleet: CrashingFleet | undefined

  afterEach(async () => {
    await fleet?.close()
    fleet = undefined
  })

  for (const crashPoint of ['beforeHead', 'inHead', 'inBody', 'inUnframedBody'] satisfies CrashPoint[]) {
    it(`should reach no more than three endpoints once five have crashed, at four gateways (${crashPoint})`, async () => {
      fleet = await startCrashingFleet({ gateways: 4, endpoints: 6, crashPoint, isFatal: parts => parts.includes(BAD_PART) })
      const requests = await playPrompts(fleet.gateways, chooseSharedPrompt, { ratePerSecond: 60, milliseconds: 11_000, seed: 1 })
      const late = listLateArrivals(BAD_PART, fleet.arrivals, fleet.crashes)
      expect(isWithinRule(late), `${late.length} arrivals after five crashes, ${fleet.crashes.length} crashes`).to.equal(true)
      expect(computeServedShare(requests, fleet.crashes[0]!.atMs + 2 * CONTACT_MS)).to.be.at.least(0.5)
    })
  }

  for (const seed of [11, 12, 13]) {
    it(`should be told from parts that many waiting requests share, while all endpoints crash within a second (seed ${seed})`, async () => {
      fleet = await startCrashingFleet({ gateways: 4, endpoints: 8, crashPoint: 'inBody', isFatal: parts => parts.includes(BAD_PART), prefillMs: 100, restartMs: 2600 })
      const choosePrompt = (random: () => number): PlayedPrompt => {
        const parts = [`f${Math.floor(random() * 4)}`, `d${Math.floor(random() * 40).toString(16)}`]
        const isFatal = random() < 0.08
        return { parts: isFatal ? [parts[0]!, BAD_PART] : parts, isFatal }
      }
      const requests = await playPrompts(fleet.gateways, choosePrompt, { ratePerSecond: 100, milliseconds: 11_000, seed })
      const late = listLateArrivals(BAD_PART, fleet.arrivals, fleet.crashes)
      expect(isWithinRule(late), `${late.length} arrivals after five crashes, ${fleet.crashes.length} crashes`).to.equal(true)
      expect(computeServedShare(requests, fleet.crashes[0]!.atMs + 2 * CONTACT_MS)).to.be.at.least(0.5)
      for (const gateway of fleet.gateways) expect(listHeld(gateway)).to.deep.equal([BAD_FINGERPRINT])
    })
  }

  it('should be held beside a sound part of every prompt, under which endpoints end one after another for other reasons', async () => {
    fleet = await startCrashingFleet({ gateways: 4, endpoints: 6, isFatal: parts => parts.includes(BAD_PART) })
    const { crashOne } = fleet
    const timers = [600, 900, 1200, 2400, 2700, 3000, 4500, 4900, 5300].map((atMs, index) => setTimeout(() => crashOne(index % 6), atMs))
    const choosePopular = (random: () => number): PlayedPrompt => {
      const { parts, isFatal } = chooseSharedPrompt(random)
      return { parts: [EVERY_PROMPT, ...parts], isFatal }
    }
    await playPrompts(fleet.gateways, choosePopular, { ratePerSecond: 60, milliseconds: 8000, seed: 2 })
    for (const timer of timers) clearTimeout(timer)
    for (const gateway of fleet.gateways) expect(listHeld(gateway)).to.deep.equal([BAD_FINGERPRINT])
    expect(isWithinRule(listLateArrivals(BAD_PART, fleet.arrivals, fleet.crashes))).to.equal(true)
  })

  it('should not be seen where endpoints only end one after another for other reasons', async () => {
    fleet = await startCrashingFleet({ gateways: 4, endpoints: 6, isFatal: () => false })
    const { crashOne } = fleet
    const timers = Array.from({ length: 20 }, (_, index) => setTimeout(() => crashOne(index % 6), 500 + 330 * index))
    await playPrompts(fleet.gateways, random => ({ parts: [EVERY_PROMPT, ...chooseSharedPrompt(random).parts], isFatal: false }), { ratePerSecond: 60, milliseconds: 8000, seed: 3 })
    for (const timer of timers) clearTimeout(timer)
    for (const gateway of fleet.gateways) expect(listHeld(gateway)).to.deep.equal([])
  })

  it('should be refused at once where requests with it are queued, with the time to come back', async () => {
    fleet = await startCrashingFleet({ gateways: 2, endpoints: 6, isFatal: parts => parts.includes(BAD_PART) })
    const requests = await playPrompts(fleet.gateways, chooseSharedPrompt, { ratePerSecond: 60, milliseconds: 5000, seed: 4 })
    const heldAtMs = Math.max(...fleet.gateways.map(gateway => Number(findHoldTime(gateway))))
    const later = requests.filter(request => request.isFatal && request.sentAtMs > heldAtMs + 200)
    expect(later.length).to.be.above(10)
    for (const { answer, answeredMs } of later) {
      expect(answer.text).to.match(/^HTTP\/1\.1 503 [\s\S]*\r\nRetry-After: 5\d\d/)
      expect(answeredMs).to.be.below(300)
    }
  })

  it('should be held at a gateway that starts afterwards', async () => {
    fleet = await startCrashingFleet({ gateways: 2, endpoints: 6, isFatal: parts => parts.includes(BAD_PART) })
    await playPrompts(fleet.gateways, chooseSharedPrompt, { ratePerSecond: 60, milliseconds: 4000, seed: 5 })
    const before = fleet.crashes.length
    const gateway = await fleet.addGateway()
    await waitUntil('the hold to be known', () => listHeld(gateway).length === 1)
    const { answer } = await sendPrompt(gateway, { parts: ['f1', BAD_PART, 'd1'], isFatal: true }, 'late-1')
    expect(answer.text).to.match(/^HTTP\/1\.1 503 /)
    expect(fleet.crashes.length).to.equal(before)
  })

  it('should be held until an operator lifts that, at all gateways', async () => {
    let isMended = false
    fleet = await startCrashingFleet({ gateways: 2, endpoints: 6, isFatal: parts => parts.includes(BAD_PART) && !isMended })
    const [one, other] = fleet.gateways
    await playPrompts(fleet.gateways, chooseSharedPrompt, { ratePerSecond: 60, milliseconds: 4000, seed: 6 })
    expect(listHeld(other!)).to.have.length(1)
    isMended = true
    expect(await requestLift(one!, listHeld(one!)[0]!)).to.equal(200)
    await waitUntil('the hold to end', () => listHeld(other!).length === 0)
    const { answer } = await sendPrompt(other!, { parts: ['f1', BAD_PART, 'd1'], isFatal: true }, 'after-1')
    expect(answer.text).to.match(/^HTTP\/1\.1 200 /)
    expect(await requestLift(one!, 'part-unknown')).to.equal(404)
  })
})

/** Lists the fingerprints that a gateway holds, by its log. */
function listHeld (gateway: RelayFixture): string[] {
  const held = new Set<string>()
  for (const line of gateway.lines) {
    if (line.event === 'promptPartHoldBegun') held.add(line.fingerprint)
    if (line.event === 'promptPartHoldEnded') held.delete(line.fingerprint)
  }
  return [...held]
}

/** Returns the time at which a gateway began to hold, in milliseconds of `performance.now()`. */
function findHoldTime (gateway: RelayFixture): number {
  const line = gateway.lines.find(({ event }) => event === 'promptPartHoldBegun') as unknown as { time: string }
  return Date.parse(line.time) - performance.timeOrigin
}

async function requestLift (gateway: RelayFixture, fingerprint: string): Promise<number> {
  const { status } = await fetch(`http://127.0.0.1:${gateway.adminPort}/holds/lift?fingerprint=${encodeURIComponent(fingerprint)}`, { method: 'POST' })
  return status
}

/** Chooses a prompt whose first part is one of three, followed by the bad part in every sixth and by one of many documents. */
function chooseSharedPrompt (random: () => number): PlayedPrompt {
  const isFatal = random() < 1 / 6
  const first = `f${Math.floor(random() * 3)}`
  const document = `d${Math.floor(random() * 40).toString(16)}`
  return { parts: isFatal ? [first, BAD_PART, document] : [first, document], isFatal }
}

/** Computes the share of the sound requests sent from a time on that were served in whole. */
function computeServedShare (requests: readonly PlayedRequest[], fromMs: number): number {
  const sound = requests.filter(request => !request.isFatal && request.sentAtMs >= fromMs)
  return sound.filter(({ answer }) => answer.text.startsWith('HTTP/1.1 200') && answer.text.includes('id: 12\n')).length / sound.length
}
