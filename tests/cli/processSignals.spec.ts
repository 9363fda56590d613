import { spawnSync } from 'node:child_process'

import { expect } from 'chai'

import { EXIT_CODES } from '../../src/cli/exitCodes'
import { FleetProcess } from '../fleet/fleetProcess'

const SECRET = 'secret-of-a-test-fleet'
const UNUSED_SIGNALS: NodeJS.Signals[] = ['SIGHUP', 'SIGQUIT', 'SIGUSR1', 'SIGUSR2', 'SIGALRM', 'SIGVTALRM', 'SIGSTKFLT', 'SIGIO', 'SIGPWR', 'SIGXCPU']
const LOG_LINE_MS = 10_000
/** An address at which nobody listens. */
const NOBODY = '127.0.0.1:1'
const COMMON_FLAGS = ['--id', 'p-1', '--listen', '127.0.0.1:0', '--domain', 'a', '--platform', `http://${NOBODY}`]
const COMMANDS = { gateway: ['gateway', ...COMMON_FLAGS], sidecar: ['sidecar', ...COMMON_FLAGS, '--endpoint-name', 'e-1', '--endpoint-address', NOBODY] }

describe("signals to the fleet's programs", () => {
  before(() => { spawnSync(process.execPath, ['scripts/build.mjs']) })

  for (const [name, args] of Object.entries(COMMANDS)) {
    for (const stopSignal of ['SIGTERM', 'SIGINT'] as const) {
      // signals without a use once ended the process, and further ones a stop
      it(`should stop a ${name} in order upon ${stopSignal}, and change nothing upon others`, async () => {
        const running = new FleetProcess(args, SECRET)
        try {
          await running.waitForReady()
          for (const signal of UNUSED_SIGNALS) {
            running.kill(signal)
            await running.waitForLogLine(line => line['event'] === 'signalReceived' && line['signal'] === signal, LOG_LINE_MS)
          }
          running.kill(stopSignal)
          expect(await running.waitForExit()).to.equal(EXIT_CODES.ok)
          const received = running.lines.filter(line => line['event'] === 'signalReceived').map(({ signal, state, effect }) => [signal, state, effect])
          expect(received).to.deep.equal([...UNUSED_SIGNALS.map(signal => [signal, 'serving', 'none']), [stopSignal, 'serving', 'stop']])
          expect(running.lines.filter(line => line['event'] === 'draining')).to.have.length(1)
        } finally {
          await running.stop()
        }
      })

      // a process that was still loading once ended at once, with the signal as its exit status
      it(`should end a ${name} in order upon ${stopSignal} while it is loading`, () => {
        const { status, signal, output } = runWhileLoading(stopSignal, args)
        expect({ status, signal }).to.deep.equal({ status: EXIT_CODES.ok, signal: null })
        expect(output).to.include('"stopAfterStart"')
        expect(output).to.not.include('"ready"')
      })
    }
  }

  // Ctrl-C must end a command at a desk, also while it is loading
  it('should end a command at a desk by their default actions', () => {
    const { status, signal } = runWhileLoading('SIGINT', ['state', NOBODY])
    expect({ status, signal }).to.deep.equal({ status: null, signal: 'SIGINT' })
  })
})

/** Runs a program to which the signal is sent when it requires its first module. */
function runWhileLoading (signal: NodeJS.Signals, args: string[]): { status: number | null, signal: NodeJS.Signals | null, output: string } {
  const env = { PATH: process.env.PATH, TANAGERWICK_FLEET_SECRET: SECRET, TEST_SIGNAL: signal }
  const ended = spawnSync(process.execPath, ['--require', './tests/fixtures/signalWhileLoading.cjs', 'dist/tanagerwick.cjs', ...args], { env, encoding: 'utf8' })
  return { status: ended.status, signal: ended.signal, output: ended.stdout }
}
