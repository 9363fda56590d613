import { spawn } from 'node:child_process'
import { once } from 'node:events'

import { expect } from 'chai'

import { ManualClock } from '../src/base/clock'
import { DecisionLog } from '../src/base/decisionLog'

import type { DecisionLine } from '../src/base/decisionEvents'

/** Runs the writer as the bundle does, as a CommonJS module. */
const LOG_WRITER = ['--require', 'tsx/cjs', '-e', "require('./tests/fixtures/logWriter.ts')"]

interface ParsedLine {
  event: string
  requestId?: string
  [field: string]: unknown
}

function buildLog (bytesPerSecond: number, isRead = true) {
  const clock = new ManualClock(1000)
  const lines: ParsedLine[] = []
  let bytes = 0
  const destination = {
    write: (line: string) => {
      if (!isRead) return false
      bytes += line.length
      lines.push(JSON.parse(line))
      return true
    },
    flush: (handleDone: () => void) => handleDone()
  }
  const log = new DecisionLog({ instance: 'gateway-1', bytesPerSecond, clock, destination })
  return { clock, log, lines, countBytes: () => bytes }
}

function buildRequestEnded (requestId: string): DecisionLine {
  return { event: 'requestEnded', requestId, route: 'r-1', end: 'whole', elapsedMs: 80, sentBytes: 800 }
}

function buildRequestRefused (requestId: string): DecisionLine {
  return { event: 'requestRefused', requestId, code: 'overloaded', execution: 'not_run', retryAfterMs: 300 }
}

describe('DecisionLog', () => {
  it('should stay within its byte rate, keep failures before routine lines, and report dropped lines', () => {
    const { clock, log, lines, countBytes } = buildLog(2000)
    for (let tick = 0; tick < 20_000; tick++) {
      clock.advance(1)
      log.write('routine', buildRequestEnded(`r-${tick}`))
      if (tick % 400 === 0) log.write('notable', buildRequestRefused(`r-${tick}`))
    }
    expect(countBytes()).to.be.below(2000 * (20 + 4) + 500)
    const refusedCount = lines.filter(line => line.event === 'requestRefused').length
    const endedCount = lines.filter(line => line.event === 'requestEnded').length
    expect(refusedCount).to.be.above(40)
    expect(endedCount).to.be.below(20_000 / 8)
    expect(lines.some(line => line.event === 'linesLeftOut' && (line.routine as number) > 0)).to.equal(true)
  })

  it('should keep the lines of the same requests at every process', () => {
    const keptIds = [1, 2].map(() => {
      const { clock, log, lines } = buildLog(1500)
      for (let tick = 0; tick < 10_000; tick++) {
        clock.advance(1)
        log.write('routine', buildRequestEnded(`r-${tick}`))
      }
      return lines.flatMap(line => line.requestId ?? [])
    })
    expect(keptIds[0]).to.deep.equal(keptIds[1])
  })

  it('should block neither the process nor its exit while the output is not read', async () => {
    const child = spawn(process.execPath, LOG_WRITER, { stdio: ['ignore', 'pipe', 'inherit'] })
    child.stdout.pause()
    const [, signal] = await once(child, 'exit')
    child.stdout.destroy()
    expect(signal).to.equal('SIGKILL')
  })

  it('should write its last lines before the process ends', async () => {
    const child = spawn(process.execPath, LOG_WRITER, { stdio: ['ignore', 'pipe', 'inherit'] })
    let text = ''
    child.stdout.on('data', part => { text += part })
    const [code] = await once(child, 'close')
    expect(code).to.equal(0)
    expect(text.trimEnd().split('\n').at(-1)).to.include('"event":"stopped"')
  })

  it('should count lines that the output drops, and continue', () => {
    const { log, lines } = buildLog(1_000_000, false)
    for (let count = 0; count < 100; count++) log.write('notable', buildRequestRefused('r-1'))
    expect(lines).to.have.length(0)
    expect(log.counts.unread).to.equal(100)
  })
})
