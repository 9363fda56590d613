import http from 'node:http'

import * as z from 'zod'

const HEALTH_PATH = '/health'
const MAX_HEALTH_BYTES = 10_000
const MAX_CRASH_CHECKS = 3

const healthSchema = z.object({ bootId: z.string().max(200) })

export interface EndpointMonitorOptions {
  address: string
  intervalMs: number
  timeoutMs: number
  /** Called when the endpoint is found to have crashed or restarted; not when it is merely slow to answer. */
  onCrash: () => void
  /** Called when the endpoint answers again, or for the first time. */
  onUp: () => void
}

/**
 * Polls the health of one endpoint over separate connections, to distinguish a crash of the endpoint
 * from the loss of one connection.
 */
export class EndpointMonitor {
  readonly #options: EndpointMonitorOptions
  #bootId: string | null = null
  #health: HealthCheckResult['kind'] | null = null
  #timer: NodeJS.Timeout | null = null
  #pendingCheck: Promise<void> | null = null

  constructor (options: EndpointMonitorOptions) {
    this.#options = options
  }

  isUp (): boolean {
    return this.#health === 'up'
  }

  get bootId (): string | null {
    return this.#bootId
  }

  async start (): Promise<void> {
    await this.checkNow()
    this.#timer = setInterval(() => { this.checkNow().catch(() => {}) }, this.#options.intervalMs)
  }

  stop (): void {
    if (this.#timer) clearInterval(this.#timer)
  }

  /** Checks the endpoint now. Concurrent calls share one check. */
  async checkNow (): Promise<void> {
    this.#pendingCheck ??= this.#runCheck().finally(() => { this.#pendingCheck = null })
    await this.#pendingCheck
  }

  /**
   * Returns whether the endpoint has crashed since it answered with `bootId`. Checks it again, and
   * repeats the check while it does not answer, because it may be restarting.
   *
   * @example
   * const bootId = monitor.bootId
   * // ... a connection breaks ...
   * if (await monitor.hasCrashedSince(bootId)) countCrash()
   */
  async hasCrashedSince (bootId: string | null): Promise<boolean> {
    if (this.#pendingCheck) await this.#pendingCheck
    for (let checks = 0; checks < MAX_CRASH_CHECKS; checks++) {
      await this.checkNow()
      if (this.#health !== 'silent') break
    }
    return this.#health === 'down' || this.#bootId !== bootId
  }

  async #runCheck (): Promise<void> {
    const answer = await readHealth(this.#options)
    const previous = this.#health
    const isRestarted = answer.kind === 'up' && this.#bootId !== null && answer.bootId !== this.#bootId
    this.#health = answer.kind
    if (answer.kind === 'up') this.#bootId = answer.bootId
    if (isRestarted ? previous !== 'down' : previous !== 'down' && previous !== null && answer.kind === 'down') this.#options.onCrash()
    if (answer.kind === 'up' && (previous !== 'up' || isRestarted)) this.#options.onUp()
  }
}

/** Result of a health check. `down`: the connection was refused or broke. `silent`: no valid answer in time. */
type HealthCheckResult = { kind: 'up', bootId: string } | { kind: 'down' } | { kind: 'silent' }

async function readHealth (options: EndpointMonitorOptions): Promise<HealthCheckResult> {
  return await new Promise(resolve => {
    const [host, port] = options.address.split(':')
    const request = http.get({ host, port: Number(port), path: HEALTH_PATH, agent: false }, response => {
      let text = ''
      response.on('data', (bytes: Buffer) => {
        if (text.length < MAX_HEALTH_BYTES) text += bytes.toString('utf8')
      })
      response.on('end', () => resolve(response.statusCode === 200 ? parseHealth(text) : { kind: 'silent' }))
      response.on('error', () => resolve({ kind: 'down' }))
    })
    const timer = setTimeout(() => {
      resolve({ kind: 'silent' })
      request.destroy()
    }, options.timeoutMs)
    request.on('error', () => resolve({ kind: 'down' }))
    request.on('close', () => clearTimeout(timer))
  })
}

function parseHealth (text: string): HealthCheckResult {
  try {
    const health = healthSchema.safeParse(JSON.parse(text))
    return health.success ? { kind: 'up', bootId: health.data.bootId } : { kind: 'silent' }
  } catch {
    return { kind: 'silent' }
  }
}
