import { request } from 'node:http'
import { connect } from 'node:net'

import { hashText } from '../../src/base/identifiers'
import { CallerServer } from '../../src/gateway/callerServer'

import type { FleetConfig, ServiceClass, Workspace } from '../../src/config/fleetConfig'
import type { CallerAnswer } from '../../src/gateway/callerAnswer'
import type { CallerRequest } from '../../src/gateway/callerRequest'
import type { CallerServerOptions } from '../../src/gateway/callerServer'

export const KEY_A = 'key-of-workspace-a'
export const KEY_B = 'key-of-workspace-b'

export function createServiceClass (name: string, tier: number): ServiceClass {
  return { name, tier, firstTokenTargetMs: 700, betweenTokensTargetMs: 53, deadlineMs: 30_000, share: 0.1, retryRatio: 0.1 }
}

export function createWorkspace (name: string, key: string, classes: string[]): Workspace {
  return { name, keyDigests: [hashText(key)], classes, defaultClass: classes[0]!, requestsPerSecond: 100, maxConcurrent: 100 }
}

export function createConfig (): FleetConfig {
  return {
    generation: 1,
    classes: new Map([['urgent', createServiceClass('urgent', 1)], ['batch', createServiceClass('batch', 5)]]),
    workspaces: new Map([
      ['a', createWorkspace('a', KEY_A, ['urgent', 'batch'])],
      ['b', createWorkspace('b', KEY_B, ['batch'])]
    ]),
    services: new Map([['desk', {
      name: 'desk',
      routes: [{ method: 'GET', path: '/jobs', idempotent: true }, { method: 'POST', path: '/bookings', idempotent: false }]
    }]]),
    endpoints: new Map(),
    models: new Set(['small', 'large']),
    settings: { poisonCrashLimit: 2, claimRetentionMs: 60_000 }
  }
}

export type RelayHandler = (request: CallerRequest, answer: CallerAnswer) => Promise<void> | void

/** Answers with the workspace and the class of the request. */
export function relayEcho (callerRequest: CallerRequest, answer: CallerAnswer): void {
  answer.begin()
  answer.writeText(`${callerRequest.workspace.name}/`)
  answer.writeText(callerRequest.serviceClass.name)
  answer.complete({ status: 200, contentType: 'text/plain' })
}

export interface ServerFixture {
  server: CallerServer
  port: number
  relayed: CallerRequest[]
  errors: unknown[]
}

export async function startServer (handler: RelayHandler = relayEcho, options: Partial<CallerServerOptions> = {}): Promise<ServerFixture> {
  const relayed: CallerRequest[] = []
  const errors: unknown[] = []
  const config = createConfig()
  const server = new CallerServer({
    getConfig: () => config,
    relay: {
      relay: async (callerRequest, answer) => {
        relayed.push(callerRequest)
        await handler(callerRequest, answer)
      }
    },
    admit: () => ({ kind: 'admitted', release: () => {} }),
    handlers: {},
    reportError: error => errors.push(error),
    ...options
  })
  const { port } = await server.listen({ host: '127.0.0.1', port: 0 })
  return { server, port, relayed, errors }
}

export interface HttpAnswer {
  status: number
  headers: Record<string, unknown>
  text: string
  /** Whether the connection was closed before the end of the answer. */
  isCut: boolean
}

export interface CallOptions {
  path?: string
  method?: string
  key?: string
  headers?: Record<string, string>
  body?: string | Buffer
}

export async function sendCall (port: number, options: CallOptions = {}): Promise<HttpAnswer> {
  const { path = '/v1/chat/completions', method = 'POST', key = KEY_A, body } = options
  const headers: Record<string, string> = { authorization: `Bearer ${key}`, ...options.headers }
  if (body !== undefined && headers['transfer-encoding'] === undefined) headers['content-length'] = String(Buffer.byteLength(body))
  return await new Promise((resolve, reject) => {
    const call = request({ host: '127.0.0.1', port, path, method, agent: false, headers })
    call.on('error', reject)
    call.on('response', response => {
      let text = ''
      response.setEncoding('utf8')
      response.on('data', part => { text += part })
      response.on('error', () => {})
      response.on('close', () => resolve({ status: response.statusCode!, headers: response.headers, text, isCut: !response.complete }))
    })
    call.end(body)
  })
}

/** Writes raw bytes to a new connection and returns everything received until it is closed. */
export async function sendRaw (port: number, bytes: string): Promise<string> {
  return await new Promise(resolve => {
    const socket = connect(port, '127.0.0.1', () => socket.write(bytes))
    let text = ''
    socket.on('data', part => { text += String(part) })
    socket.on('error', () => {})
    socket.on('close', () => resolve(text))
  })
}

export function createChatBody (fields: Record<string, unknown> = {}): string {
  return JSON.stringify({ model: 'small', messages: [{ role: 'user', content: 'hello' }], ...fields })
}
