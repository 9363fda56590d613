import { expect } from 'chai'

import { CrashEvidence, EVIDENCE_SETTLE_MS } from '../../src/policy/crashEvidence'

describe('CrashEvidence', () => {
  it('should hold the part that enough crashes in enough moments have in common', () => {
    const evidence = new CrashEvidence()
    recordCrashes(evidence, [0, 100, 200], index => [['bad', `other-${index}`]])
    expect(listHeld(evidence, 300)).to.deep.equal([])
    recordCrashes(evidence, [300], () => [['bad', 'other-3']])
    expect(listHeld(evidence, 400)).to.deep.equal([['bad']])
  })

  it('should wait until what other gateways saw of a crash has had time to arrive', () => {
    const evidence = new CrashEvidence()
    recordCrashes(evidence, [0, 100, 200, 300], () => [['popular']])
    expect(evidence.findHolds([], 300 + EVIDENCE_SETTLE_MS - 1)).to.deep.equal([])
    expect(evidence.hasUnsettled(300 + EVIDENCE_SETTLE_MS - 1)).to.equal(true)
    evidence.recordCrash({ crashId: 'e-300/1', atMs: 300, requests: [['bad']] }, 500)
    evidence.recordAnswered({ part: 'popular', atMs: 400 }, 600)
    expect([evidence.findHolds([], 2000), evidence.hasUnsettled(2000)]).to.deep.equal([[], false])
  })

  it('should count endpoints that end together as one moment', () => {
    const evidence = new CrashEvidence()
    recordCrashes(evidence, [0, 10, 20, 30, 45, 200, 210], index => [['popular', `other-${index}`]])
    expect(listHeld(evidence, 300)).to.deep.equal([])
  })

  it('should clear a part by an answer that began after the crashes or just before, but not by an older one', () => {
    for (const { answeredAtMs, held } of [{ answeredAtMs: 1400, held: [] }, { answeredAtMs: 900, held: [] }, { answeredAtMs: 100, held: [['popular']] }]) {
      const evidence = new CrashEvidence()
      recordCrashes(evidence, [1000, 1100, 1200, 1300], index => [['popular', `other-${index}`]])
      evidence.recordAnswered({ part: 'popular', atMs: answeredAtMs }, 1500)
      expect(listHeld(evidence, 1500)).to.deep.equal(held)
    }
  })

  it('should apply an answer that was known before the crash', () => {
    const evidence = new CrashEvidence()
    evidence.recordAnswered({ part: 'popular', atMs: 1400 }, 1450)
    recordCrashes(evidence, [1000, 1100, 1200, 1300], index => [['popular', `other-${index}`]])
    expect(listHeld(evidence, 1500)).to.deep.equal([])
  })

  it('should hold parts together that came together each time, until one of them is cleared', () => {
    const evidence = new CrashEvidence()
    recordCrashes(evidence, [0, 100, 200, 300], index => [['bad', 'company'], [`other-${index}`]])
    expect(listHeld(evidence, 400)).to.deep.equal([['bad', 'company']])
    evidence.recordAnswered({ part: 'company', atMs: 500 }, 600)
    expect(listHeld(evidence, 600)).to.deep.equal([['bad']])
  })

  it('should hold a part alone once it crashes an endpoint without the one that it was held with', () => {
    const evidence = new CrashEvidence()
    recordCrashes(evidence, [0, 100, 200, 300], () => [['bad', 'company']])
    recordCrashes(evidence, [400], () => [['bad', 'another']])
    expect(evidence.findHolds([{ parts: ['bad', 'company'], sinceMs: 350, crashIds: [] }], 1000).map(hold => hold.parts)).to.deep.equal([['bad']])
  })

  it('should wait while parts of other requests explain as many crashes, and hold that of the fewest requests in the end', () => {
    const evidence = new CrashEvidence()
    const listRequests = (index: number) => [['bad'], ['popular', `a-${index}`], ['popular', `b-${index}`]]
    recordCrashes(evidence, [0, 100, 200, 300, 400, 500, 600], listRequests)
    expect(listHeld(evidence, 700)).to.deep.equal([])
    recordCrashes(evidence, [700], listRequests)
    expect(listHeld(evidence, 800)[0]).to.deep.equal(['bad'])
  })

  it('should hold the part that explains more crashes, and not a sound one beside it', () => {
    const evidence = new CrashEvidence()
    recordCrashes(evidence, [0, 100, 200, 300, 400], index => index < 4 ? [['bad'], ['company']] : [['bad']])
    expect(listHeld(evidence, 500)).to.deep.equal([['bad']])
  })

  it('should hold two parts that crash endpoints at the same time', () => {
    const evidence = new CrashEvidence()
    recordCrashes(evidence, [0, 200, 400, 600, 800], index => [['one', `a-${index}`]])
    recordCrashes(evidence, [100, 300, 500, 700], index => [['two', `b-${index}`]])
    expect(listHeld(evidence, 900)).to.deep.equal([['one'], ['two']])
  })

  it('should hold another part when crashes go on after the first hold came in force', () => {
    const evidence = new CrashEvidence()
    const held = [{ parts: ['wrong'], sinceMs: 400, crashIds: ['e-0/1', 'e-100/1', 'e-200/1', 'e-300/1'] }]
    recordCrashes(evidence, [0, 100, 200, 300], () => [['wrong'], ['bad']])
    expect(evidence.findHolds(held, 1000)).to.deep.equal([])
    recordCrashes(evidence, [3000, 3300], () => [['bad']])
    const further = evidence.findHolds(held, 4000)
    expect(further.map(hold => hold.parts)).to.deep.equal([['bad']])
    expect(evidence.findSuperseded([...held, ...further.map(hold => ({ ...hold, sinceMs: 4000 }))])).to.deep.equal(held)
  })

  it('should merge what several gateways report of one crash, and pass on only what is new', () => {
    const evidence = new CrashEvidence()
    expect(evidence.recordCrash({ crashId: 'e/1', atMs: 100, requests: [['a']] }, 100)).to.equal(true)
    expect(evidence.recordCrash({ crashId: 'e/1', atMs: 90, requests: [['a']] }, 150)).to.equal(false)
    expect(evidence.recordCrash({ crashId: 'e/1', atMs: 90, requests: [['b', 'c']] }, 200)).to.equal(true)
    expect(evidence.listNews(300)).to.deep.equal({ crashes: [{ crashId: 'e/1', atMs: 90, requests: [['a'], ['b', 'c']] }], answered: [] })
    expect(evidence.recordAnswered({ part: 'b', atMs: 250 }, 300)).to.equal(true)
    expect(evidence.listNews(300)).to.deep.equal({ crashes: [{ crashId: 'e/1', atMs: 90, requests: [['a'], ['c']] }], answered: [{ part: 'b', atMs: 250 }] })
    expect(evidence.listNews(9000)).to.deep.equal({ crashes: [], answered: [] })
  })

  it('should call a request risky once a part of it has two crashes that it is not cleared of', () => {
    const evidence = new CrashEvidence()
    recordCrashes(evidence, [0], () => [['bad', 'popular']])
    expect(evidence.isRisky(['bad'])).to.equal(false)
    recordCrashes(evidence, [100], () => [['bad', 'popular']])
    evidence.recordAnswered({ part: 'popular', atMs: 150 }, 200)
    expect([evidence.isRisky(['popular', 'bad']), evidence.isRisky(['popular']), evidence.isRisky([])]).to.deep.equal([true, false, false])
  })

  it('should stay small under a flood of crashes with parts that callers made up', () => {
    const evidence = new CrashEvidence()
    for (let index = 0; index < 1000; index++) {
      const requests = Array.from({ length: 100 }, (_, request) => Array.from({ length: 64 }, (_, part) => `${index}-${request}-${part}`))
      evidence.recordCrash({ crashId: `e/${index}`, atMs: index, requests }, index)
    }
    expect(evidence.listSuspects(1_000_000).length).to.equal(128 * 32 * 32)
    const { crashes } = evidence.listNews(1000)
    expect(crashes).to.have.length(24)
    expect(Math.max(...crashes.map(crash => crash.requests.length))).to.equal(12)
    expect(Math.max(...crashes.flatMap(crash => crash.requests.map(parts => parts.length)))).to.equal(16)
    expect(listHeld(evidence, 2000)).to.deep.equal([])
  })
})

function recordCrashes (evidence: CrashEvidence, timesMs: number[], listRequests: (index: number) => string[][]): void {
  timesMs.forEach((atMs, index) => evidence.recordCrash({ crashId: `e-${atMs}/1`, atMs, requests: listRequests(index) }, atMs))
}

/** Lists the parts that are held once what is known at a time has settled. */
function listHeld (evidence: CrashEvidence, nowMs: number): string[][] {
  return evidence.findHolds([], nowMs + EVIDENCE_SETTLE_MS).map(hold => hold.parts)
}
