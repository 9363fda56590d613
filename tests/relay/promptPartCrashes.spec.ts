import { expect } from 'chai'

import { CONTACT_MS, isWithinRule, listLateArrivals } from '../fixtures/promptPartRule'
import { playPrompts, startCrashingFleet } from './crashingFleet'

import type { CrashingFleet, CrashPoint, PlayedPrompt, PlayedRequest } from './crashingFleet'

const BAD_PART = 'bad0'

// one shared part crashes endpoints in requests that are otherwise all different
describe('a prompt part that crashes each endpoint that begins to answer it', () => {
  let fleet: CrashingFleet | undefined

  afterEach(async () => {
    await fleet?.close()
    fleet = undefined
  })

  for (const crashPoint of ['beforeHead', 'inHead', 'inBody'] satisfies CrashPoint[]) {
    it(`should reach no more than three endpoints once five have crashed, at four gateways (${crashPoint})`, async () => {
      fleet = await startCrashingFleet({ gateways: 4, endpoints: 6, crashPoint, isFatal: parts => parts.includes(BAD_PART) })
      const requests = await playPrompts(fleet.gateways, chooseSharedPrompt, { ratePerSecond: 60, milliseconds: 11_000, seed: 1 })
      const late = listLateArrivals(BAD_PART, fleet.arrivals, fleet.crashes)
      expect(isWithinRule(late), `${late.length} arrivals after five crashes, ${fleet.crashes.length} crashes`).to.equal(true)
      expect(computeServedShare(requests, fleet.crashes[0]!.atMs + 2 * CONTACT_MS)).to.be.at.least(0.5)
    })
  }
})

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
