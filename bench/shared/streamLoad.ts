import { Agent, request } from 'node:http'

import { build } from 'hdr-histogram-js'

import type { Histogram } from 'hdr-histogram-js'
import type { IncomingMessage } from 'node:http'

const US_PER_MS = 1000
const MAX_RECORDED_US = 60_000_000
/** Pause of a caller after a failed request, in place of the Retry-After of the answer. */
const FAILURE_PAUSE_MS = 500
const EVENT_END = '\n\n'
const CONTENT = /"content":"(?!")/

export interface StreamLoadOptions {
  /** Addresses, used in round-robin order. */
  addresses: string[]
  headers: Record<string, string>
  /** Number of concurrent streams. A new stream replaces each one that ends. */
  streams: number
  /** Milliseconds over which the initial streams are started. */
  rampMs: number
  /** Body of the n-th request. */
  buildBody: (sequence: number) => string
}

/** Measurements of the callers of one load in a time window. */
export interface StreamWindow {
  seconds: number
  requests: number
  tokens: number
  failures: number
  firstToken: Histogram
  betweenTokens: Histogram
}

/** Callers that keep a fixed number of streams open and measure token times and failures. */
export class StreamLoad {
  readonly #options: StreamLoadOptions
  readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity })
  readonly #calls = new Set<{ destroy: () => void }>()
  #sequence = 0
  #isStopped = false
  #window = createWindow()
  #windowStartMs = performance.now()
  #lastFailure = ''

  constructor (options: StreamLoadOptions) {
    this.#options = options
  }

  /** Opens the initial streams, spread evenly over the ramp. */
  start (): void {
    const { streams, rampMs } = this.#options
    for (let index = 0; index < streams; index++) setTimeout(() => this.#send(), rampMs * index / streams)
  }

  /** Starts a new measurement window. */
  reset (): void {
    this.#window = createWindow()
    this.#windowStartMs = performance.now()
  }

  /** Returns the measurements since the window started. */
  readWindow (): StreamWindow {
    return { ...this.#window, seconds: (performance.now() - this.#windowStartMs) / 1000 }
  }

  getLastFailure (): string {
    return this.#lastFailure
  }

  stop (): void {
    this.#isStopped = true
    for (const call of this.#calls) call.destroy()
    this.#agent.destroy()
  }

  #send (): void {
    if (this.#isStopped) return
    const sequence = this.#sequence++
    const body = this.#options.buildBody(sequence)
    const address = this.#options.addresses[sequence % this.#options.addresses.length]!
    const sentAtMs = performance.now()
    const call = request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      agent: this.#agent,
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...this.#options.headers }
    })
    this.#calls.add(call)
    this.#window.requests++
    call.on('response', response => this.#readStream(response, sentAtMs))
    call.on('error', error => this.#fail(error.message))
    const failuresBefore = this.#window.failures
    call.on('close', () => {
      this.#calls.delete(call)
      const pauseMs = this.#window.failures > failuresBefore ? FAILURE_PAUSE_MS : 0
      setTimeout(() => this.#send(), pauseMs)
    })
    call.end(body)
  }

  #readStream (response: IncomingMessage, sentAtMs: number): void {
    let rest = ''
    let lastMs: number | null = null
    let isComplete = false
    response.setEncoding('utf8')
    response.on('data', (part: string) => {
      const nowMs = performance.now()
      const events = (rest + part).split(EVENT_END)
      rest = events.pop()!
      for (const event of events) {
        if (event === 'data: [DONE]') isComplete = true
        if (!CONTENT.test(event)) continue
        this.#recordToken(nowMs, sentAtMs, lastMs)
        lastMs = nowMs
      }
    })
    response.on('error', () => {})
    response.on('close', () => { if (!isComplete) this.#fail(`${response.statusCode} ${rest}`) })
  }

  #recordToken (nowMs: number, sentAtMs: number, lastMs: number | null): void {
    this.#window.tokens++
    if (lastMs === null) recordMs(this.#window.firstToken, nowMs - sentAtMs)
    else recordMs(this.#window.betweenTokens, nowMs - lastMs)
  }

  #fail (reason: string): void {
    if (this.#isStopped) return
    this.#window.failures++
    this.#lastFailure = reason.slice(0, 300)
  }
}

/** Returns a percentile in milliseconds. */
export function readPercentileMs (histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / US_PER_MS
}

function recordMs (histogram: Histogram, milliseconds: number): void {
  histogram.recordValue(Math.min(MAX_RECORDED_US, Math.round(milliseconds * US_PER_MS)))
}

function createWindow (): StreamWindow {
  return { seconds: 0, requests: 0, tokens: 0, failures: 0, firstToken: createHistogram(), betweenTokens: createHistogram() }
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 32, lowestDiscernibleValue: 1, highestTrackableValue: MAX_RECORDED_US, numberOfSignificantValueDigits: 3, useWebAssembly: false })
}
