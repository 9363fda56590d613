import FakeTimers from '@sinonjs/fake-timers'
import { expect } from 'chai'

import { systemClock } from '../../src/base/clock'
import { EXIT_CODES } from '../../src/cli/exitCodes'
import { ProcessLifecycle } from '../../src/cli/processLifecycle'

import type { HandledSignal } from '../../src/policy/signalEffect'

/** Longest time for which a stop waits for the start. */
const START_WAIT_MS = 1000
const FLOOD_SIGNALS = 5000
const FLOOD_MS = 3000
/** Ten lines of signals and one line of counts a second. */
const MAX_FLOOD_LINES = 11 * FLOOD_MS / 1000 + 11

describe('lifecycle of a process', () => {
  let time: ReturnType<typeof FakeTimers.install>
  /** What the process did, in order. */
  let steps: string[]
  let lines: Array<Record<string, unknown>>
  let sendSignal: (signal: HandledSignal) => void
  let finishStart: () => void
  let failDrain: (error: Error) => void
  let finishDrain: () => void

  beforeEach(() => {
    time = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
    steps = []
    lines = []
  })

  afterEach(() => time.uninstall())

  /** Runs a process whose start and drain end when the test says so; `early` signals arrive while it is loading. */
  async function runProcess (early: HandledSignal[] = []): Promise<void> {
    const lifecycle = new ProcessLifecycle({
      clock: systemClock,
      signals: {
        attach: handleSignal => {
          sendSignal = handleSignal
          for (const signal of early) handleSignal(signal)
        }
      },
      settings: { check: () => steps.push('check'), close: () => steps.push('close') },
      start: async () => {
        steps.push('start')
        await new Promise<void>(resolve => { finishStart = resolve })
      },
      drain: async () => {
        steps.push('drain')
        await new Promise<void>((resolve, reject) => {
          finishDrain = resolve
          failDrain = reject
        })
      },
      end: async exitCode => { steps.push(`end ${exitCode}`) },
      writeLine: line => lines.push({ ...line }),
      handleStop: signal => steps.push(signal),
      handleError: error => steps.push((error as Error).message)
    })
    lifecycle.run().catch(error => steps.push(error.message))
    await waitForTurn()
  }

  /** Waits until everything that does not wait for time has run. */
  async function waitForTurn (): Promise<void> {
    for (let turns = 0; turns < 3; turns++) await new Promise(resolve => setImmediate(resolve))
  }

  async function startProcess (): Promise<void> {
    await runProcess()
    finishStart()
    await waitForTurn()
    steps = []
  }

  function listEffects (): unknown[] {
    return lines.map(({ signal, state, effect }) => [signal, state, effect])
  }

  // a stop during the start once left the process running, or cut what it had begun
  it('should stop after a start that is under way', async () => {
    await runProcess()
    sendSignal('SIGINT')
    await waitForTurn()
    expect(steps).to.deep.equal(['start', 'SIGINT', 'close'])
    finishStart()
    await waitForTurn()
    finishDrain()
    await waitForTurn()
    expect(steps.slice(3)).to.deep.equal(['drain', `end ${EXIT_CODES.ok}`])
    expect(listEffects()).to.deep.equal([['SIGINT', 'starting', 'stopAfterStart']])
  })

  // a start that never ends must not keep a stop from ending
  it('should stop a start that does not end', async () => {
    await runProcess()
    sendSignal('SIGTERM')
    await time.tickAsync(START_WAIT_MS)
    await waitForTurn()
    finishDrain()
    await waitForTurn()
    expect(steps).to.deep.equal(['start', 'SIGTERM', 'close', 'drain', `end ${EXIT_CODES.ok}`])
  })

  // a process that is to stop must not begin to listen
  it('should not start after a stop signal that arrived while it was loading', async () => {
    await runProcess(['SIGTERM'])
    expect(steps).to.deep.equal(['SIGTERM', 'close', `end ${EXIT_CODES.ok}`])
  })

  // signals in one turn of the event loop must not cost each other's effect
  it('should check the settings before a stop, and not after it, when the signals come in one turn', async () => {
    await startProcess()
    sendSignal('SIGHUP')
    sendSignal('SIGTERM')
    sendSignal('SIGHUP')
    await time.tickAsync(START_WAIT_MS)
    expect(steps).to.deep.equal(['check', 'SIGTERM', 'close', 'drain'])
    expect(listEffects()).to.deep.equal([['SIGHUP', 'serving', 'settingsCheck'], ['SIGTERM', 'serving', 'stop'], ['SIGHUP', 'stopping', 'none']])
  })

  // a change that was announced right before a stop must not get lost in the wait for the next check
  it('should make a check that is due before it stops', async () => {
    await startProcess()
    sendSignal('SIGHUP')
    sendSignal('SIGHUP')
    sendSignal('SIGINT')
    await time.tickAsync(START_WAIT_MS)
    expect(steps).to.deep.equal(['check', 'check', 'SIGINT', 'close', 'drain'])
  })

  // a drain that failed once ended the process without a line
  it('should end after a drain that fails, and report its error', async () => {
    await startProcess()
    sendSignal('SIGTERM')
    await waitForTurn()
    failDrain(new Error('cannot drain'))
    await waitForTurn()
    expect(steps.slice(2)).to.deep.equal(['drain', 'cannot drain', `end ${EXIT_CODES.unavailable}`])
  })

  // a flood of signals must not displace the other lines of the log
  it('should bound the lines and the checks of a flood of signals, count the rest, and stop all the same', async () => {
    await startProcess()
    for (let sent = 0; sent < FLOOD_SIGNALS; sent++) {
      sendSignal(sent % 2 === 0 ? 'SIGUSR2' : 'SIGHUP')
      if (sent % 100 === 0) await time.tickAsync(100 * FLOOD_MS / FLOOD_SIGNALS)
    }
    sendSignal('SIGTERM')
    await waitForTurn()
    finishDrain()
    await waitForTurn()
    const received = lines.filter(({ event }) => event === 'signalReceived')
    const leftOut = lines.flatMap(({ event, counts }) => event === 'signalsLeftOut' ? Object.values(counts as Record<string, number>) : [])
    expect(lines.length).to.be.at.most(MAX_FLOOD_LINES)
    expect(received.length + leftOut.reduce((sum, count) => sum + count, 0)).to.equal(FLOOD_SIGNALS + 1)
    expect(received.at(-1)).to.include({ signal: 'SIGTERM', effect: 'stop' })
    expect(steps.filter(step => step === 'check').length).to.be.within(1, FLOOD_MS / 100 + 2)
    expect(steps.slice(-4)).to.deep.equal(['SIGTERM', 'close', 'drain', `end ${EXIT_CODES.ok}`])
  })
})
