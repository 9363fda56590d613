import { spawn, spawnSync } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import os from 'node:os'
import path from 'node:path'

import { expect } from 'chai'

import { findFreePorts } from '../../standins/shared/freePorts'
import { fetchStatus, waitUntil } from '../relay/relayFixture'

const SIGNAL_GAP_MS = 100

describe('signals that stop the gateway', () => {
  let folder: string

  before(() => { spawnSync(process.execPath, ['scripts/buildPlatform.mjs']) })

  beforeEach(() => { folder = mkdtempSync(path.join(os.tmpdir(), 'signals-')) })

  afterEach(() => rmSync(folder, { recursive: true }))

  // a second signal once ended the process at once, and cut its requests
  it('should let the process end its requests and exit in order, however often they come', async () => {
    const [callers, ready, admin, store] = await findFreePorts(4)
    const file = path.join(folder, 'settings.yaml')
    const settings = {
      id: 'gateway-1',
      domain: 'a',
      listen: { callers: `127.0.0.1:${callers}`, ready: `127.0.0.1:${ready}`, admin: `127.0.0.1:${admin}` },
      storeUrl: `http://127.0.0.1:${store}`,
      heartbeatMs: 1200,
      revocationMs: 5000,
      stopSeconds: 4,
      retryRatio: 0.2,
      retryWindowSeconds: 10,
      maxDescriptors: 4096
    }
    writeFileSync(file, JSON.stringify(settings))
    const child = spawn(process.execPath, ['target/gateway.cjs'], { env: { PATH: process.env.PATH, TANAGERWICK_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'inherit'] })
    child.stdout.resume()
    const exited = once(child, 'exit')
    await waitUntil('the gateway to listen', async () => await fetchStatus(ready!, '/') !== 0)
    for (let signals = 0; signals < 3; signals++) {
      child.kill('SIGTERM')
      await new Promise(resolve => setTimeout(resolve, SIGNAL_GAP_MS))
    }
    expect(await exited).to.deep.equal([0, null])
  })
})
