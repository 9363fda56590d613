import { execFileSync, spawnSync } from 'node:child_process'

import { expect } from 'chai'

import { EXIT_CODES } from '../../src/cli/exitCodes'

describe("the gateway's program", () => {
  before(() => execFileSync(process.execPath, ['scripts/buildPlatform.mjs']))

  it('should not be ended by a signal to reload that comes while it is loaded', () => {
    const { status, signal } = spawnSync(process.execPath, ['--require', './tests/fixtures/hangUpWhileLoading.cjs', 'target/gateway.cjs'], { env: { PATH: process.env.PATH } })
    // it gets as far as its settings, of which it has none here
    expect({ status, signal }).to.deep.equal({ status: EXIT_CODES.findings, signal: null })
  })
})
