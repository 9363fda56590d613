import { execFile } from 'node:child_process'
import { cpSync, mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'

import { expect } from 'chai'

import { startPlatform } from '../../standins/platform/platformServer'
import { FleetProcess } from '../fleet/fleetProcess'

import type { PlatformServer } from '../../standins/platform/platformServer'

const SECRET = 'secret-for-config-commands'
const UNREACHABLE_ADDRESS = '127.0.0.1:1'

describe('config commands', () => {
  let platform: PlatformServer
  let folder: string

  beforeEach(async () => {
    platform = await startPlatform()
    folder = mkdtempSync(path.join(tmpdir(), 'tanagerwick-'))
    cpSync('examples/spunform', folder, { recursive: true })
  })

  afterEach(async () => { await platform.close() })

  it('should check a folder and report findings by the exit code', async () => {
    const good = await runConfig(['check', folder])
    expect(good).to.deep.equal({ code: 0, output: `${folder}: no findings; 6 classes, 10 workspaces, 1 services, 10 endpoints.\n` })
    writeFileSync(path.join(folder, '99-bad.yaml'), 'classes:\n  quote: { teir: 1 }\n')
    const bad = await runConfig(['check', folder])
    expect(bad.code).to.equal(1)
    expect(bad.output).to.match(/99-bad.yaml:2:12: classes.quote.teir: is not a known key/).and.to.match(/1 findings; nothing was changed/)
  })

  it('should apply and compare, and reject an apply that is based on an older generation', async () => {
    expect((await runConfig(['diff', folder, ...listPlatformFlags()])).output).to.match(/generation 0 is accepted; applying would make \d+ changes\n\+ classes.booking/)
    expect((await runConfig(['apply', folder, ...listPlatformFlags()])).output).to.match(/generation 1 is accepted; \d+ parts of \d+ written/)
    expect(await runConfig(['diff', folder, ...listPlatformFlags()])).to.deep.equal({ code: 0, output: 'generation 1 is accepted; applying would make 0 changes\n' })
    writeFileSync(path.join(folder, '90-change.yaml'), 'classes: { quote: { deadlineMs: 25000 } }\n')
    expect((await runConfig(['diff', folder, ...listPlatformFlags()]))).to.deep.equal({
      code: 1,
      output: 'generation 1 is accepted; applying would make 1 changes\n~ classes.quote.deadlineMs: 30000 -> 25000\n'
    })
    const late = await runConfig(['apply', folder, '--base-generation', '0', ...listPlatformFlags()])
    expect(late.code).to.equal(4)
    expect(late.output).to.match(/generation 1 by .* is in force, not 0/)
  })

  it('should not let an operator silently undo the changes of another', async () => {
    await runConfig(['apply', folder, '--by', 'anna', ...listPlatformFlags()])
    writeFileSync(path.join(folder, '90-change.yaml'), 'classes: { quote: { deadlineMs: 25000 } }\n')
    const rejectedApply = await runConfig(['apply', folder, '--by', 'bert', ...listPlatformFlags()])
    expect(rejectedApply.code).to.equal(4)
    expect(rejectedApply.output).to.match(/generation 1 is by anna, .*\n~ classes.quote.deadlineMs: 30000 -> 25000\n.*--base-generation 1/)
    expect((await runConfig(['apply', folder, '--by', 'bert', '--base-generation', '1', ...listPlatformFlags()])).output).to.match(/generation 2 is accepted/)
    expect((await runConfig(['apply', folder, '--by', 'anna', ...listPlatformFlags()])).output).to.match(/generation 2 is accepted already/)
  })

  it('should offer an accepted configuration to processes and show where it is in force', async () => {
    const gateway = new FleetProcess(['gateway', '--id', 'gateway-1', '--listen', '127.0.0.1:0', '--domain', 'a', '--platform', platform.url], SECRET)
    try {
      await gateway.waitForReady()
      const applied = await runConfig(['apply', folder, '--by', 'anna', '--gateways', `${gateway.address},${UNREACHABLE_ADDRESS}`, ...listPlatformFlags()])
      expect(applied.code).to.equal(0)
      expect(applied.output).to.match(new RegExp(`${gateway.address}: generation 1 in force`)).and.match(/127.0.0.1:1: offer failed: /)
      const status = await runConfig(['status', '--addresses', gateway.address, ...listPlatformFlags()])
      expect(status.output).to.match(/generation 1 is accepted, applied by anna at /).and.match(new RegExp(`${gateway.address}: generation 1\n`))
      expect(status.code).to.equal(0)
      const partly = await runConfig(['status', '--addresses', UNREACHABLE_ADDRESS, ...listPlatformFlags()])
      expect(partly.code).to.equal(3)
    } finally {
      await gateway.stop()
    }
  })

  it('should report that nothing was accepted when the object service is unreachable', async () => {
    const applied = await runConfig(['apply', folder, '--platform', `http://${UNREACHABLE_ADDRESS}`, '--timeout', '2'])
    expect(applied.code).to.equal(3)
    expect(applied.output).to.match(/Nothing was accepted: the manifest could not be read/)
    const wrong = await runConfig(['apply', folder, '--platform', 'nowhere'])
    expect(wrong.code).to.equal(2)
  })

  function listPlatformFlags (): string[] {
    return ['--platform', platform.url]
  }
})

async function runConfig (args: string[]): Promise<{ code: number, output: string }> {
  const env = { ...process.env, TANAGERWICK_FLEET_SECRET: SECRET }
  return await new Promise(resolve => {
    execFile(process.execPath, ['dist/tanagerwick.cjs', 'config', ...args], { env }, (error, stdout, stderr) => {
      resolve({ code: error === null ? 0 : Number(error.code), output: stdout + stderr })
    })
  })
}
