import { spawnSync } from 'node:child_process'

import { expect } from 'chai'

import { EXIT_CODES } from '../../src/cli/exitCodes'
import { answerWhole, buildCallerRequest, sendRaw, waitUntil } from '../relay/relayFixture'
import { GatewayProgram } from './gatewayProgram'

import type { RawAnswer } from '../relay/relayFixture'

const STOP_SIGNALS: NodeJS.Signals[] = ['SIGTERM', 'SIGINT']
const UNUSED_SIGNALS: NodeJS.Signals[] = ['SIGQUIT', 'SIGUSR1', 'SIGUSR2', 'SIGALRM', 'SIGVTALRM', 'SIGSTKFLT', 'SIGIO', 'SIGPWR', 'SIGXCPU']
const RUNTIME_IGNORED_SIGNALS: NodeJS.Signals[] = ['SIGPIPE', 'SIGXFSZ']
const ORDERLY_EXIT = [EXIT_CODES.ok, null]
const FLOOD_ROUNDS = 3000
const MAX_SIGNAL_LINES_PER_SECOND = 10
/** Longer than the time between two checks of the settings file without a signal. */
const POLL_WAIT_MS = 2500

describe('signals to the program of a gateway', () => {
  let program: GatewayProgram

  before(() => { spawnSync(process.execPath, ['scripts/buildPlatform.mjs']) })

  beforeEach(() => { program = new GatewayProgram() })

  afterEach(async () => await program.close())

  /** Starts the program and holds a request at its endpoint. */
  async function startWithRequest (): Promise<{ answer: Promise<RawAnswer> }> {
    await program.start()
    await program.waitUntilReady()
    const answer = sendRaw(program.port, buildCallerRequest({ timeoutMs: 10_000, headers: ['Connection: close'] }))
    await waitUntil('the request at the endpoint', () => program.held.length === 1)
    return { answer }
  }

  /** Sends each signal once the one before has its line. */
  async function sendInTurn (signals: NodeJS.Signals[]): Promise<void> {
    let count = program.list('signalReceived').length
    for (const signal of signals) {
      program.sendSignal(signal)
      if (!RUNTIME_IGNORED_SIGNALS.includes(signal)) count += 1
      await program.waitForLines('signalReceived', count)
    }
  }

  async function expectWholeAnswer (answer: Promise<RawAnswer>): Promise<void> {
    answerWhole(program.held[0]!, 'whole')
    expect((await answer).text).to.match(/^HTTP\/1\.1 200 [\s\S]*whole$/)
  }

  function listEffects (): unknown[] {
    return program.list('signalReceived').map(({ signal, state, effect }) => [signal, state, effect])
  }

  for (const signal of STOP_SIGNALS) {
    // SIGINT once ended the process at once, and cut its requests
    it(`should end the process in order after its requests upon ${signal}`, async () => {
      const { answer } = await startWithRequest()
      program.sendSignal(signal)
      await program.waitForLines('stopping', 1)
      await expectWholeAnswer(answer)
      expect(await program.waitForExit()).to.deep.equal(ORDERLY_EXIT)
      expect(program.list('stopping')).to.deep.equal([{ event: 'stopping', signal }])
      expect(listEffects()).to.deep.equal([[signal, 'serving', 'stop']])
    })

    // a process that was still loading once ended at once, with the signal as its exit status
    it(`should end the process in order, without serving, upon ${signal} while it is loading`, async () => {
      await program.start(signal)
      expect(await program.waitForExit()).to.deep.equal(ORDERLY_EXIT)
      expect(program.lines.map(({ event }) => event)).to.deep.equal(['signalReceived', 'stopping', 'stopped'])
      expect(listEffects()).to.deep.equal([[signal, 'starting', 'stopAfterStart']])
    })
  }

  // a second signal once ended the process at once, and cut its requests
  it('should let the process end its requests and exit in order, whatever signals follow', async () => {
    const { answer } = await startWithRequest()
    const further = [...STOP_SIGNALS, ...UNUSED_SIGNALS.slice(0, 3), 'SIGHUP', ...RUNTIME_IGNORED_SIGNALS] as NodeJS.Signals[]
    program.sendSignal('SIGTERM')
    await program.waitForLines('stopping', 1)
    await sendInTurn(further)
    await expectWholeAnswer(answer)
    expect(await program.waitForExit()).to.deep.equal(ORDERLY_EXIT)
    expect(program.list('stopping')).to.have.length(1)
    const logged = further.filter(signal => !RUNTIME_IGNORED_SIGNALS.includes(signal))
    expect(listEffects().slice(1)).to.deep.equal(logged.map(signal => [signal, 'stopping', 'none']))
  })

  // signals without a use once ended the process
  it('should serve on upon signals that the process has no use for', async () => {
    const { answer } = await startWithRequest()
    await sendInTurn([...UNUSED_SIGNALS, ...RUNTIME_IGNORED_SIGNALS])
    await expectWholeAnswer(answer)
    expect(program.isRunning).to.equal(true)
    expect(listEffects()).to.deep.equal(UNUSED_SIGNALS.map(signal => [signal, 'serving', 'none']))
  })

  // a flood of signals must neither keep the process from stopping nor displace the other lines of its log
  it('should stop in order, with a bounded log, in a flood of signals', async () => {
    const startedAtMs = performance.now()
    const { answer } = await startWithRequest()
    for (let round = 0; round < FLOOD_ROUNDS; round++) {
      for (const signal of ['SIGHUP', 'SIGUSR2', 'SIGINT'] as const) program.sendSignal(signal)
      await new Promise(resolve => setImmediate(resolve))
    }
    await program.waitForLines('stopping', 1)
    await expectWholeAnswer(answer)
    expect(await program.waitForExit()).to.deep.equal(ORDERLY_EXIT)
    const windows = 1 + Math.ceil((performance.now() - startedAtMs) / 1000)
    expect(program.list('signalReceived').length).to.be.at.most(windows * MAX_SIGNAL_LINES_PER_SECOND)
    expect(program.list('stopping')).to.have.length(1)
    expect(program.list('linesLeftOut')).to.deep.equal([])
  })

  // each of these once ended a process that was still loading
  for (const signal of ['SIGHUP', ...UNUSED_SIGNALS, ...RUNTIME_IGNORED_SIGNALS] as NodeJS.Signals[]) {
    it(`should start upon ${signal} while it is loading`, async () => {
      await program.start(signal)
      await program.waitUntilReady()
      await program.waitForLines('started', 1)
      const isIgnored = RUNTIME_IGNORED_SIGNALS.includes(signal)
      expect(listEffects()).to.deep.equal(isIgnored ? [] : [[signal, 'starting', signal === 'SIGHUP' ? 'settingsCheck' : 'none']])
    })
  }

  // changed settings once came in force in the middle of a stop
  it('should apply no settings in a stop, with or without SIGHUP', async () => {
    const { answer } = await startWithRequest()
    program.sendSignal('SIGTERM')
    await program.waitForLines('stopping', 1)
    program.writeSettings({ stopSeconds: 1, revocationMs: 1000 })
    program.sendSignal('SIGHUP')
    await new Promise(resolve => setTimeout(resolve, POLL_WAIT_MS))
    await expectWholeAnswer(answer)
    expect(await program.waitForExit()).to.deep.equal(ORDERLY_EXIT)
    expect(program.list('settingsReloaded')).to.deep.equal([])
    expect(listEffects().at(-1)).to.deep.equal(['SIGHUP', 'stopping', 'none'])
  })

  // signals that are delivered together, in either order, must not cost each other's effect
  it('should stop in order when SIGHUP and SIGTERM are delivered in one turn', async () => {
    const { answer } = await startWithRequest()
    program.sendSignal('SIGSTOP')
    program.writeSettings({ stopSeconds: 5 })
    program.sendSignal('SIGHUP')
    program.sendSignal('SIGTERM')
    program.sendSignal('SIGCONT')
    await program.waitForLines('signalReceived', 2)
    await expectWholeAnswer(answer)
    expect(await program.waitForExit()).to.deep.equal(ORDERLY_EXIT)
    // the system chooses the order of pending signals
    const isReloadFirst = program.list('signalReceived')[0]!['signal'] === 'SIGHUP'
    expect(listEffects()).to.deep.equal(isReloadFirst
      ? [['SIGHUP', 'serving', 'settingsCheck'], ['SIGTERM', 'serving', 'stop']]
      : [['SIGTERM', 'serving', 'stop'], ['SIGHUP', 'stopping', 'none']])
    expect(program.list('settingsReloaded')).to.have.length(isReloadFirst ? 1 : 0)
    expect(program.list('stopping')).to.have.length(1)
  })
})
