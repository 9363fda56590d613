import { NO_EVIDENCE } from './prefillRate'

import type { DirectChoice } from '../directChooser'
import type { DirectEndpoint } from '../directEndpoint'
import type { EndpointLoad } from '../peerLoadTable'
import type { PromptPart } from '../prefixCacheEstimate'
import type { PrefillEvidence } from './prefillRate'

/** A change of an endpoint's rate that operators should see. */
export interface RateChange {
  endpoint: DirectEndpoint
  previousTokensPerMs: number
  evidence: PrefillEvidence
  nowMs: number
}

export interface RateMeterOptions {
  /** Returns whether the configuration says that a service's endpoints are engines. */
  isEngine: (service: string) => boolean
  listEndpoints: (service: string) => readonly DirectEndpoint[]
  getPeerLoad: (endpointId: string) => EndpointLoad
  handleChange: (change: RateChange) => void
}

/** A prompt on its way to its first event. */
interface SentPrompt {
  uniqueTokens: number
  sharedTokens: number
  aheadTokens: number
}

interface LoggedRate {
  tokensPerMs: number
  atMs: number
}

const REFRESH_INTERVAL_MS = 200
/** Tokens ahead of a prompt, as a fraction of its own, up to which the sample shows the rate of the service. */
const MAX_AHEAD_SHARE = 0.5
/** The same fraction up to which the sample counts as evidence about the endpoint. */
const MAX_EVIDENCE_AHEAD_SHARE = 1
/** Factor by which a delay may exceed its expectation before the shared parts may be the reason. */
const DELAY_TOLERANCE = 1.25
/** Factor from which on a change is reported, and minimum milliseconds between two reports about one endpoint. */
const NOTABLE_CHANGE_FACTOR = 1.4
const REPORT_INTERVAL_MS = 2000

/**
 * Measures how fast endpoints prefill prompts, from the first events of the prompts that are sent anyway.
 *
 * @example
 * meter.recordSend(choice, promptParts)
 * meter.recordFirstEvent(choice, 140, nowMs)
 * meter.updateFactors('engines', nowMs)
 * choice.endpoint.prefillRate.tokensPerMs // 61
 */
export class RateMeter {
  readonly #options: RateMeterOptions
  readonly #sent = new WeakMap<DirectChoice, SentPrompt>()
  /** Prompt tokens that an endpoint had to prefill for certain; whether it had the shared parts cached is a guess. */
  readonly #certainTokens = new WeakMap<DirectChoice, number>()
  readonly #refreshedAtMs = new Map<string, number>()
  readonly #logged = new WeakMap<DirectEndpoint, LoggedRate>()

  constructor (options: RateMeterOptions) {
    this.#options = options
  }

  /** Records a prompt that is sent, before its tokens count as pending at the endpoint. */
  recordSend (choice: DirectChoice, promptParts: readonly PromptPart[]): void {
    const { endpoint, unreadTokens } = choice
    const uniqueTokens = promptParts.at(-1)?.tokens ?? 0
    this.#certainTokens.set(choice, uniqueTokens)
    // a shared part that has to be prefilled may have been cached by another gateway's prompt meanwhile
    if (uniqueTokens === 0 || unreadTokens !== uniqueTokens || !this.#options.isEngine(endpoint.entry.service)) return
    const sharedTokens = promptParts.reduce((sum, { tokens }) => sum + tokens, -uniqueTokens)
    this.#sent.set(choice, { uniqueTokens, sharedTokens, aheadTokens: this.#countPendingTokens(endpoint) })
  }

  /** Records the milliseconds from the send of a prompt to its first event. */
  recordFirstEvent (choice: DirectChoice, delayMs: number, nowMs: number): void {
    const { entry, prefillRate } = choice.endpoint
    const certainTokens = this.#certainTokens.get(choice) ?? 0
    if (certainTokens > 0 && this.#options.isEngine(entry.service)) prefillRate.recordTokens(certainTokens, nowMs)
    const sent = this.#sent.get(choice)
    if (sent === undefined) return
    this.#sent.delete(choice)
    const { uniqueTokens, sharedTokens, aheadTokens } = sent
    const tokens = uniqueTokens + aheadTokens
    const expectedMs = prefillRate.service.estimateDelayMs(tokens)
    const othersTokens = this.#countPendingTokens(choice.endpoint) - uniqueTokens
    if (Math.max(aheadTokens, othersTokens) <= MAX_AHEAD_SHARE * uniqueTokens) prefillRate.service.record({ tokens, delayMs, atMs: nowMs })
    if (expectedMs === null || Math.max(aheadTokens, othersTokens) > MAX_EVIDENCE_AHEAD_SHARE * uniqueTokens) return
    const longestMs = prefillRate.service.estimateDelayMs(tokens + sharedTokens)!
    if (delayMs <= DELAY_TOLERANCE * expectedMs) prefillRate.recordDelay({ expectedMs, measuredMs: delayMs }, nowMs)
    else if (delayMs > DELAY_TOLERANCE * longestMs) prefillRate.recordDelay({ expectedMs, measuredMs: delayMs }, nowMs)
  }

  /** Compares the endpoints of a service with each other, unless this was done just now. */
  updateFactors (service: string, nowMs: number): void {
    if (nowMs - (this.#refreshedAtMs.get(service) ?? -Infinity) < REFRESH_INTERVAL_MS || !this.#options.isEngine(service)) return
    this.#refreshedAtMs.set(service, nowMs)
    const endpoints = this.#options.listEndpoints(service)
    this.#updateServiceRate(endpoints, nowMs)
    const ratios = endpoints.map(endpoint => endpoint.prefillRate.computeRatio(this.#getPeerEvidence(endpoint), nowMs))
    // what delays all endpoints alike is no property of a single one
    const medianRatio = computeMedian(ratios)
    endpoints.forEach((endpoint, index) => {
      endpoint.prefillRate.setFactor(ratios[index]! / medianRatio, nowMs)
      this.#reportChange(endpoint, nowMs)
    })
  }

  #updateServiceRate (endpoints: readonly DirectEndpoint[], nowMs: number): void {
    const rate = endpoints[0]?.prefillRate.service
    if (rate === undefined) return
    rate.expire(nowMs)
    rate.recordMinimum(computeMedian(endpoints.map(endpoint => endpoint.prefillRate.measureThroughput(this.#getPeerEvidence(endpoint), nowMs))), nowMs)
  }

  #countPendingTokens ({ entry, pendingTokens }: DirectEndpoint): number {
    return pendingTokens + this.#options.getPeerLoad(entry.id).pendingTokens
  }

  #getPeerEvidence (endpoint: DirectEndpoint): PrefillEvidence {
    return this.#options.getPeerLoad(endpoint.entry.id).prefill ?? NO_EVIDENCE
  }

  #reportChange (endpoint: DirectEndpoint, nowMs: number): void {
    const { tokensPerMs } = endpoint.prefillRate
    const logged = this.#logged.get(endpoint)
    if (logged === undefined) {
      this.#logged.set(endpoint, { tokensPerMs, atMs: -Infinity })
      return
    }
    const changeFactor = Math.max(tokensPerMs / logged.tokensPerMs, logged.tokensPerMs / tokensPerMs)
    if (changeFactor < NOTABLE_CHANGE_FACTOR || nowMs - logged.atMs < REPORT_INTERVAL_MS) return
    this.#logged.set(endpoint, { tokensPerMs, atMs: nowMs })
    this.#options.handleChange({ endpoint, previousTokensPerMs: logged.tokensPerMs, evidence: this.#getPeerEvidence(endpoint), nowMs })
  }
}

function computeMedian (values: readonly number[]): number {
  return [...values].sort((one, other) => one - other)[Math.floor(values.length / 2)] ?? 1
}
