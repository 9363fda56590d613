import { expect } from 'chai'

import { decideAnswerEnd } from '../../src/policy/answerEnd'
import { readAnswerEnd } from '../../src/relay/answerFraming'

import type { ClosedAnswer } from '../../src/policy/answerEnd'

function buildClosedAnswer (overrides: Partial<ClosedAnswer> = {}): ClosedAnswer {
  return { presence: 'alive', isLeaving: false, isStream: false, kind: 'idempotent', isResumable: false, ...overrides }
}

describe('decideAnswerEnd', () => {
  it('should take an answer for whole whose endpoint outlives it', () => {
    for (const isStream of [true, false]) expect(decideAnswerEnd(buildClosedAnswer({ isStream }))).to.equal('whole')
  })

  it('should take an answer for cut whose endpoint is gone or unknown', () => {
    for (const presence of ['refused', 'silent'] as const) {
      for (const kind of ['idempotent', 'nonIdempotent', 'stream'] as const) expect(decideAnswerEnd(buildClosedAnswer({ presence, kind, isStream: kind === 'stream' }))).to.equal('cut')
    }
  })

  it('should keep the plain answer of a leaving endpoint only where the request may not run again', () => {
    expect(decideAnswerEnd(buildClosedAnswer({ presence: 'refused', isLeaving: true, kind: 'nonIdempotent' }))).to.equal('whole')
    expect(decideAnswerEnd(buildClosedAnswer({ presence: 'refused', isLeaving: true, kind: 'idempotent' }))).to.equal('cut')
    expect(decideAnswerEnd(buildClosedAnswer({ presence: 'refused', isLeaving: true, kind: 'stream', isStream: true }))).to.equal('cut')
    expect(decideAnswerEnd(buildClosedAnswer({ presence: 'silent', isLeaving: true, kind: 'nonIdempotent' }))).to.equal('cut')
  })
})

describe('readAnswerEnd', () => {
  const cases: Array<[string, { method?: string, status?: number, headers: string[] }, string]> = [
    ['a length', { headers: ['Content-Length', '4'] }, 'framed'],
    ['chunks', { headers: ['Transfer-Encoding', 'Chunked'] }, 'framed'],
    ['chunks as the last coding', { headers: ['Transfer-Encoding', 'gzip, chunked'] }, 'framed'],
    ['a last coding other than chunks', { headers: ['Transfer-Encoding', 'chunked, gzip'] }, 'closed'],
    ['a coding without chunks', { headers: ['Transfer-Encoding', 'identity'] }, 'closed'],
    ['neither', { headers: ['Connection', 'close'] }, 'closed'],
    ['the answer to HEAD', { method: 'HEAD', headers: [] }, 'framed'],
    ['status 204', { status: 204, headers: [] }, 'framed'],
    ['status 304', { status: 304, headers: [] }, 'framed']
  ]
  for (const [name, { method = 'GET', status = 200, headers }, end] of cases) {
    it(`should tell how the body ends: ${name}`, () => expect(readAnswerEnd({ method, status, headers })).to.equal(end))
  }
})
