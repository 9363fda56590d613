import FakeTimers from '@sinonjs/fake-timers'
import { expect } from 'chai'

import { DecisionLog } from '../../src/base/decisionLog'
import { StallReporter } from '../../src/relay/stallReporter'

import type { DecisionLine } from '../../src/base/decisionEvents'

describe('StallReporter', () => {
  it('should report a delay of the event loop, with the processor time that the process used meanwhile', () => {
    const lines: DecisionLine[] = []
    const destination = { write: (line: string) => lines.push(JSON.parse(line)) > 0, flush: (handleDone: () => void) => handleDone() }
    const timers = FakeTimers.install({ toFake: ['setInterval', 'clearInterval'] })
    let nowMs = 0
    let processorMs = 0
    const reporter = new StallReporter({ clock: { getMonotonicMs: () => nowMs, getWallMs: () => nowMs }, getProcessorMs: () => processorMs, log: new DecisionLog({ instance: 'gateway-1', bytesPerSecond: 1_000_000, destination }) })
    const advance = (elapsedMs: number, usedMs: number) => {
      nowMs += elapsedMs
      processorMs += usedMs
      timers.tick(100)
    }
    advance(101, 50)
    advance(299, 50)
    expect(lines).to.have.length(0)
    advance(2100, 1900)
    advance(100, 10)
    reporter.close()
    timers.uninstall()
    expect(lines).to.have.length(1)
    expect(lines[0]).to.include({ event: 'processHeldUp', delayMs: 2000, processorMs: 1900 })
    expect(reporter.longestMs).to.equal(2000)
  })
})
