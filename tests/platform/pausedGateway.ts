import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

import { READY_PATH } from '../../platform/names'
import { findFreePorts } from '../../standins/shared/freePorts'
import { ObjectsServer } from '../../standins/objects/objectsServer'
import { buildPlatformConfig, fetchStatus, startEndpoint, waitUntil } from '../relay/relayFixture'
import { buildProgramSettings } from './gatewayProgram'

import type { ChildProcess } from 'node:child_process'
import type { DecisionLine } from '../../src/base/decisionEvents'
import type { EndpointFixture, ReceivedRequest } from '../relay/relayFixture'

/** The gateway's real program, which a test can pause, with a store and endpoints in this process. */
export interface PausedGateway {
  child: ChildProcess
  port: number
  endpoints: EndpointFixture[]
  /** Milliseconds of this process at which the program ended; null while it runs. */
  readonly endedAtMs: number | null
  listLines (): DecisionLine[]
  /** Stops the program for a time, as a machine that is paused does. */
  pause (milliseconds: number): Promise<void>
  close (): Promise<void>
}

export const STOP_SECONDS = 8

export async function startPausedGateway (options: { routes: Array<Record<string, unknown>>, answers: Array<(request: ReceivedRequest) => void>, stopSeconds?: number }): Promise<PausedGateway> {
  const folder = mkdtempSync(path.join(os.tmpdir(), 'gateway-'))
  const store = new ObjectsServer()
  await store.open()
  store.put('config', 'main', buildPlatformConfig({ routes: options.routes }))
  const endpoints = await Promise.all(options.answers.map(async (answer, index) => await startEndpoint(`e-${index}`, answer)))
  for (const { id, address } of endpoints) store.put('servers', id, { service: 'archive', address, zone: 'a', version: 'v1', slots: 50, state: 'ready', seq: 1, born: 1 })
  const [callers, ready, admin] = await findFreePorts(3)
  const file = path.join(folder, 'settings.yaml')
  writeFileSync(file, JSON.stringify(buildProgramSettings({ callers: callers!, ready: ready!, admin: admin! }, store.url, options.stopSeconds ?? STOP_SECONDS)))
  const child = spawn(process.execPath, ['target/gateway.cjs'], { env: { PATH: process.env.PATH, TANAGERWICK_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'ignore'] })
  let log = ''
  let endedAtMs: number | null = null
  child.stdout.on('data', bytes => { log += bytes })
  const exited = once(child, 'exit').then(() => { endedAtMs = performance.now() })
  await waitUntil('the gateway to be ready', async () => await fetchStatus(ready!, READY_PATH) === 200)
  return {
    child,
    port: callers!,
    endpoints,
    get endedAtMs () { return endedAtMs },
    listLines: () => log.split('\n').slice(0, -1).map(line => JSON.parse(line)),
    pause: async milliseconds => {
      child.kill('SIGSTOP')
      await sleep(milliseconds)
      child.kill('SIGCONT')
    },
    close: async () => {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await exited
      for (const endpoint of endpoints) endpoint.close()
      await store.close()
      rmSync(folder, { recursive: true })
    }
  }
}
