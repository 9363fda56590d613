import { execFileSync, spawnSync } from 'node:child_process'

import { expect } from 'chai'

import { EXIT_CODES } from '../../src/cli/exitCodes'

describe("the gateway's program", () => {
  before(() => execFileSync(process.execPath, ['scripts/buildPlatform.mjs']))

  it('should survive a reload signal that arrives while it is loading', () => {
    const { status, signal } = spawnSync(process.execPath, ['--require', './tests/fixtures/hangUpWhileLoading.cjs', 'target/gateway.cjs'], { env: { PATH: process.env.PATH } })
    // it runs until it reads its settings, which are missing here
    expect({ status, signal }).to.deep.equal({ status: EXIT_CODES.findings, signal: null })
  })
})
