import { createId } from '../../src/base/identifiers'
import { HttpError, HttpServer, readJson, sendJson } from './httpServer'

import type { ListenOptions } from './httpServer'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { z } from 'zod'

const DEFAULT_RESTART_MS = 1500

export interface EndpointHostOptions extends ListenOptions {
  /** Endpoint name in the records. */
  name: string
  /** Milliseconds between a crash and listening again. */
  restartMs?: number
}

/** Behavior of one kind of endpoint. */
export interface EndpointBehavior<Faults extends object> {
  faultsSchema: z.ZodType<Faults>
  handle (path: string, request: IncomingMessage, response: ServerResponse): Promise<void>
  /** Returns all records of the endpoint; they survive crashes. */
  getRecord (): unknown
  setFaults (change: Faults): void
  /** Discards the state that a crash loses. */
  handleCrash (): void
}

/** Faults that every endpoint stand-in supports. Each occurs once, immediately when it is set. */
export interface HostFaults {
  crash?: boolean
  freeze?: boolean
}

/** Simulates the process of one endpoint: its HTTP server, its boots and the faults that all endpoints share. */
export class EndpointHost<Faults extends HostFaults> {
  readonly name: string
  readonly #server: HttpServer
  readonly #behavior: EndpointBehavior<Faults>
  readonly #restartMs: number
  #bootId = createId('boot')
  #restartTimer: NodeJS.Timeout | undefined
  #isDown = true

  constructor (behavior: EndpointBehavior<Faults>, options: EndpointHostOptions) {
    this.name = options.name
    this.#behavior = behavior
    this.#restartMs = options.restartMs ?? DEFAULT_RESTART_MS
    this.#server = new HttpServer((request, response) => this.#handle(request, response), options)
  }

  get address (): string {
    return this.#server.address
  }

  get url (): string {
    return this.#server.url
  }

  get bootId (): string {
    return this.#bootId
  }

  isStalled (request: IncomingMessage): boolean {
    return this.#server.isStalled(request)
  }

  async open (): Promise<void> {
    await this.#server.open()
    this.#isDown = false
  }

  async close (): Promise<void> {
    clearTimeout(this.#restartTimer)
    this.#behavior.handleCrash()
    if (!this.#isDown) await this.#server.close()
    this.#isDown = true
  }

  /** Closes all connections and discards all state; the endpoint listens again with a new boot id after the restart delay. */
  async killAndRestart (): Promise<void> {
    if (this.#isDown) return
    this.#isDown = true
    this.#behavior.handleCrash()
    await this.#server.close()
    this.#bootId = createId('boot')
    this.#restartTimer = setTimeout(() => { this.open().catch(() => {}) }, this.#restartMs)
  }

  async setFaults (change: Faults, excluded?: Socket): Promise<void> {
    this.#behavior.setFaults(change)
    if (change.freeze) this.#server.setConnectionsStalled(excluded)
    if (change.crash) await this.killAndRestart()
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? '/'
    switch (path) {
      case '/health': return sendJson(response, 200, { bootId: this.#bootId })
      case '/control/record': return sendJson(response, 200, this.#behavior.getRecord())
      case '/control/faults': return await this.#handleFaults(request, response)
      default: return await this.#behavior.handle(path, request, response)
    }
  }

  async #handleFaults (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const change = this.#behavior.faultsSchema.safeParse(await readJson(request))
    if (!change.success) throw new HttpError(400, change.error.message)
    sendJson(response, 200, {})
    await new Promise(resolve => response.on('close', resolve))
    await this.setFaults(change.data, request.socket)
  }
}
