import { expect } from 'chai'

import { CrashEvidence } from '../../src/policy/crashEvidence'
import { createSeededRandom } from '../../standins/shared/seededRandom'
import { CONTACT_MS } from '../fixtures/promptPartRule'

/** Milliseconds between two exchanges of a gateway, and between two steps of the model. */
const EXCHANGE_INTERVAL_MS = 200
const STEP_MS = 10
const DOMAINS = 3
const LAST_COUNTED_CRASH = 5

interface FleetOptions {
  gateways: number
  /** Fraction of the exchanges that are lost. */
  lostShare: number
  seed: number
}

/**
 * Plays crashes under one part, each seen by the gateway of its request and by some others whose sound requests
 * broke with it, on a virtual clock. Returns the milliseconds from the fifth crash until all gateways hold the part.
 */
function measureHoldTime ({ gateways: count, lostShare, seed }: FleetOptions): number {
  const random = createSeededRandom(seed)
  const gateways = Array.from({ length: count }, () => ({ evidence: new CrashEvidence(), nextExchangeAtMs: EXCHANGE_INTERVAL_MS * random() }))
  const readers = gateways.slice(0, DOMAINS)
  const select = () => gateways[Math.floor(random() * count)]!
  let crashes = 0
  let countedAtMs = Infinity
  for (let nowMs = 0; nowMs < 20_000; nowMs += STEP_MS) {
    if (nowMs % 160 === 0 && crashes < LAST_COUNTED_CRASH) {
      crashes += 1
      if (crashes === LAST_COUNTED_CRASH) countedAtMs = nowMs
      const crash = { crashId: `e-${crashes}/1`, atMs: nowMs }
      select().evidence.recordCrash({ ...crash, requests: [['bad', `d-${crashes}`]] }, nowMs)
      for (let index = 0; index < 3; index++) select().evidence.recordCrash({ ...crash, requests: [[`f-${index}`, `d-${index}-${crashes}`]] }, nowMs)
    }
    // sound requests with the popular parts are answered all the time
    if (nowMs % 50 === 0) select().evidence.recordAnswered({ part: `f-${Math.floor(random() * 3)}`, atMs: nowMs - 100 }, nowMs)
    gateways.forEach((gateway, index) => {
      if (nowMs < gateway.nextExchangeAtMs) return
      gateway.nextExchangeAtMs = nowMs + EXCHANGE_INTERVAL_MS * (0.8 + 0.4 * random())
      const peers = index < DOMAINS ? readers.filter(reader => reader !== gateway) : [readers[index % DOMAINS]!]
      for (const peer of peers) {
        if (random() < lostShare) continue
        mergeNews(peer.evidence, gateway.evidence.listNews(nowMs), nowMs)
        mergeNews(gateway.evidence, peer.evidence.listNews(nowMs), nowMs)
      }
    })
    if (gateways.every(({ evidence }) => evidence.findHolds([], nowMs).some(hold => hold.parts.includes('bad')))) return nowMs - countedAtMs
  }
  return Infinity
}

function mergeNews (evidence: CrashEvidence, { crashes, answered }: ReturnType<CrashEvidence['listNews']>, nowMs: number): void {
  for (const crash of crashes) evidence.recordCrash(crash, nowMs)
  for (const report of answered) evidence.recordAnswered(report, nowMs)
}

describe('evidence of crashes that each gateway sees only a part of', () => {
  for (const gateways of [1, 4, 30, 68]) {
    for (const lostShare of [0, 1 / 3]) {
      it(`should come together in time at ${gateways} gateways with ${Math.round(100 * lostShare)}% of the exchanges lost`, () => {
        for (let seed = 1; seed <= 5; seed++) expect(measureHoldTime({ gateways, lostShare, seed }), `seed ${seed}`).to.be.below(CONTACT_MS)
      })
    }
  }
})
