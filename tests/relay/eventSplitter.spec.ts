import { expect } from 'chai'
import fc from 'fast-check'

import { EventSplitter, selectEventsBefore } from '../../src/relay/eventSplitter'

const LINES = ['id: 1', 'id: 22', 'data: a', 'data', ': comment', 'retry: 1', '', '', 'x']

describe('EventSplitter', () => {
  it('should return the same events, byte for byte, however the bytes are cut', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom(...LINES), fc.constantFrom('\n', '\r\n', '\r')), { maxLength: 40 }), fc.array(fc.nat(8), { minLength: 1, maxLength: 20 }), (lines, sizes) => {
      const bytes = Buffer.from(lines.flat().join(''))
      const whole = new EventSplitter()
      const expected = whole.push(bytes)
      const splitter = new EventSplitter()
      const parts: Buffer[] = []
      const ids: number[] = []
      for (let start = 0, index = 0; start < bytes.length; index++) {
        const end = Math.min(bytes.length, start + 1 + sizes[index % sizes.length]!)
        const events = splitter.push(bytes.subarray(start, end))
        if (events !== null) {
          parts.push(events.bytes)
          ids.push(...events.ids)
        }
        start = end
      }
      expect(Buffer.concat(parts).toString()).to.equal(expected?.bytes.toString() ?? '')
      expect(ids).to.deep.equal(expected?.ids ?? [])
      expect(splitter.takeRemainder().toString()).to.equal(whole.takeRemainder().toString())
      expect(splitter.remainder).to.equal('none')
    }), { seed: 39, numRuns: 500 })
  })

  it('should read an event without end in time that grows with its length only', () => {
    const splitter = new EventSplitter()
    for (let index = 0; index < 200_000; index++) splitter.push(Buffer.from('x'))
    expect(splitter.takeRemainder()).to.have.length(200_000)
  }).timeout(5000)

  it('should select the events before one of the ids', () => {
    const events = new EventSplitter().push(Buffer.from(': c\n\nid: 4\ndata: a\n\nid: 5\r\ndata: b\r\n\r\nid: 5\ndata: b\n\n'))!
    expect(selectEventsBefore(events, 2)).to.deep.include({ ids: [4, 5], hasData: true })
    expect(selectEventsBefore(events, 2)!.bytes.toString()).to.equal(': c\n\nid: 4\ndata: a\n\nid: 5\r\ndata: b\r\n\r\n')
    expect(selectEventsBefore(events, 0)).to.deep.include({ ids: [], hasData: false })
    expect(selectEventsBefore(new EventSplitter().push(Buffer.from('id: 4\ndata: a\n\n'))!, 0)).to.equal(null)
  })
})
