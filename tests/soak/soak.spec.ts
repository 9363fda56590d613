import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'

import { expect } from 'chai'

import { runSoak } from '../../soak/runSoak'
import { buildSoakPlan } from '../../soak/soakPlan'

import type { SoakOptions } from '../../soak/runSoak'

const MS_PER_SECOND = 1000

describe('a fault soak', () => {
  let folder: string

  before(() => execFileSync(process.execPath, ['scripts/buildPlatform.mjs']))

  beforeEach(() => { folder = mkdtempSync(path.join(tmpdir(), 'tanagerwick-soak-')) })

  afterEach(() => rmSync(folder, { recursive: true }))

  it('should build the same plan for the same seed', () => {
    const options = { seed: 5, durationMs: 60_000, gateways: 4, endpoints: 6 }
    expect(buildSoakPlan(options)).to.deep.equal(buildSoakPlan(options)).and.not.deep.equal(buildSoakPlan({ ...options, seed: 6 }))
  })

  it('should find no violation in a short run', async function () {
    this.timeout(90 * MS_PER_SECOND)
    await expectNoFinding({ seed: 11, durationMs: 24 * MS_PER_SECOND })
  })

  // a signal besides SIGTERM, or a pause of the process, must not cut what a stop would finish
  it('should lose no request around planned stops that signals, pauses and busy processes disturb', async function () {
    this.timeout(120 * MS_PER_SECOND)
    await expectNoFinding({ seed: 188, durationMs: 30 * MS_PER_SECOND, hasStopsAlone: true })
  })

  async function expectNoFinding (options: Pick<SoakOptions, 'seed' | 'durationMs' | 'hasStopsAlone'>): Promise<void> {
    const lines: string[] = []
    const summary = await runSoak({ gateways: 3, endpoints: 4, callers: 10, folder, report: line => lines.push(line), ...options })
    expect(summary.findings, lines.join('\n')).to.deep.equal([])
    expect(summary.ends['answered 200']).to.be.above(summary.requests / 3)
  }
})
