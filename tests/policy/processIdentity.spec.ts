import { expect } from 'chai'

import { isListedProcess } from '../../src/policy/processIdentity'

import type { ProcessKnowledge } from '../../src/policy/processIdentity'

const LAPSE_MS = 4800

function buildKnowledge (overrides: Partial<ProcessKnowledge> = {}): ProcessKnowledge {
  return { listReadAtMs: 1000, entryLapseMs: LAPSE_MS, idleEndedAtMs: null, hasConnectionSince: () => false, ...overrides }
}

describe('isListedProcess', () => {
  it('should hold where nothing shows that the process has ended', () => {
    expect(isListedProcess({ refusedAtMs: null, brokenAtMs: null, confirmedAtMs: -Infinity }, buildKnowledge())).to.equal(true)
  })

  it('should not hold where a connection ended since the list was read, unless an older one is open', () => {
    for (const [brokenAtMs, idleEndedAtMs] of [[1500, null], [null, 1500]]) {
      expect(isListedProcess({ refusedAtMs: null, brokenAtMs: brokenAtMs!, confirmedAtMs: -Infinity }, buildKnowledge({ idleEndedAtMs }))).to.equal(false)
      expect(isListedProcess({ refusedAtMs: null, brokenAtMs: brokenAtMs!, confirmedAtMs: -Infinity }, buildKnowledge({ idleEndedAtMs, listReadAtMs: 1501 }))).to.equal(true)
      expect(isListedProcess({ refusedAtMs: null, brokenAtMs: brokenAtMs!, confirmedAtMs: -Infinity }, buildKnowledge({ idleEndedAtMs, hasConnectionSince: sinceMs => sinceMs === 1000 }))).to.equal(true)
      expect(isListedProcess({ refusedAtMs: null, brokenAtMs: brokenAtMs!, confirmedAtMs: 1501 }, buildKnowledge({ idleEndedAtMs }))).to.equal(true)
    }
  })

  it('should not hold after a refused connection until its entry would have lapsed, whatever is open', () => {
    const endpoint = { refusedAtMs: 1500, brokenAtMs: null, confirmedAtMs: -Infinity }
    expect(isListedProcess(endpoint, buildKnowledge({ listReadAtMs: 1500 + LAPSE_MS, hasConnectionSince: () => true }))).to.equal(false)
    expect(isListedProcess(endpoint, buildKnowledge({ listReadAtMs: 1501 + LAPSE_MS }))).to.equal(true)
  })
})
