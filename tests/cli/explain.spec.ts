import { expect } from 'chai'

import { formatTimeline, parseLogLines, selectTimeline } from '../../src/cli/requestTimeline'

function buildLine (second: number, instance: string, fields: Record<string, unknown>): string {
  return JSON.stringify({ time: `2026-12-04T10:00:0${second}.000Z`, instance, ...fields })
}

const LOG = [
  buildLine(1, 'g-1', { event: 'endpointChosen', requestId: 'r-1', endpoint: 'e-1', costMs: 12 }),
  buildLine(3, 'g-1', { event: 'requestRefused', requestId: 'r-1', code: 'answer_lost' }),
  buildLine(2, 'g-1', { event: 'endpointChanged', endpoint: 'e-1', change: 'gone' }),
  buildLine(2, 'g-1', { event: 'endpointChanged', endpoint: 'e-9', change: 'gone' }),
  buildLine(2, 'g-2', { event: 'endpointChanged', endpoint: 'e-1', change: 'gone' }),
  `  2.5 g-1 ${buildLine(2, 'g-1', { event: 'sendEnded', requestId: 'r-1', endpointId: 'e-1', outcome: 'mayHaveRun' })}`,
  'no line of the log'
].join('\n')

describe('tanagerwick explain', () => {
  it("should show a request's decisions in chronological order, with its process's view changes for its endpoint", () => {
    const timeline = selectTimeline(parseLogLines(LOG), 'r-1')
    expect(timeline.decisions.map(line => line.event)).to.deep.equal(['endpointChosen', 'sendEnded', 'requestRefused'])
    expect(timeline.viewChanges.map(line => [line.instance, line.endpoint])).to.deep.equal([['g-1', 'e-1']])
    expect(timeline.mayBeIncomplete).to.equal(false)
    expect(formatTimeline(timeline)).to.include('endpointChosen endpoint=e-1 costMs=12')
  })

  it('should report when lines may be missing', () => {
    const leftOut = `${LOG}\n${buildLine(2, 'g-1', { event: 'linesLeftOut', routine: 40 })}`
    expect(formatTimeline(selectTimeline(parseLogLines(leftOut), 'r-1'))).to.match(/may be missing/)
    expect(formatTimeline(selectTimeline(parseLogLines(leftOut), 'r-2'))).to.match(/^No log line has this request id\. Some lines were dropped/)
  })
})
