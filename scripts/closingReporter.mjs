import { existsSync, readFileSync } from 'node:fs'

import Mocha from 'mocha'

const KNOWN_RED = new URL('../KNOWN-RED.txt', import.meta.url)
const { EVENT_TEST_FAIL, EVENT_TEST_PASS } = Mocha.Runner.constants

/**
 * Mocha's spec reporter with a closing line `N passed, N failed`. Failures whose full titles are listed
 * in KNOWN-RED.txt are printed and counted, but only the others fail the run.
 */
export default class ClosingReporter extends Mocha.reporters.Spec {
  #failed = []
  #passed = []

  constructor (runner, options) {
    super(runner, options)
    runner.on(EVENT_TEST_PASS, test => this.#passed.push(test.fullTitle()))
    runner.on(EVENT_TEST_FAIL, test => this.#failed.push(test.fullTitle()))
  }

  /** Called by mocha at the end. The number passed to `finish` becomes the exit code. */
  done (_failures, finish) {
    const known = readKnownRed()
    const unexpected = this.#failed.filter(title => !known.has(title))
    for (const [title, entry] of known) process.stdout.write(`KNOWN RED ${this.#describeState(title)}: ${entry}\n`)
    if (this.stats.pending > 0) process.stdout.write(`${this.stats.pending} skipped\n`)
    process.stdout.write(`${this.#passed.length} passed, ${this.#failed.length} failed\n`)
    const hasRun = this.#passed.length + this.#failed.length > 0
    finish(hasRun ? unexpected.length : 1)
  }

  #describeState (title) {
    if (this.#failed.includes(title)) return 'failed'
    return this.#passed.includes(title) ? 'PASSED, take it off the list' : 'not run'
  }
}

/** Reads entries of the form `TITLE | command and seed | what was seen | issue`. */
function readKnownRed () {
  if (!existsSync(KNOWN_RED)) return new Map()
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n').filter(line => line.trim() !== '' && !line.startsWith('#'))
  return new Map(lines.map(line => [line.split(' | ')[0].trim(), line]))
}
