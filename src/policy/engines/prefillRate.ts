import { computeWithin, DEFAULT_PREFILL_TOKENS_PER_MS, ServiceRate } from './serviceRate'

/** Recent first events of an endpoint: how long they were expected to take, and how long they took. */
export interface PrefillEvidence {
  expectedMs: number
  measuredMs: number
  /** Prompt tokens that were prefilled recently. */
  tokens: number
}

/** Milliseconds after which a sample counts half. */
const HALF_LIFE_MS = 2000
/** Weight of the rate of the service, in expected milliseconds. */
const PRIOR_MS = 300
const MIN_FACTOR = 1 / 8
const MAX_FACTOR = 2
/** Differences from the service's rate that may be chance. */
const MIN_CERTAIN_SLOWDOWN = 0.6
const MIN_CERTAIN_SPEEDUP = 1.67
/** Range of the measured over the expected milliseconds of one sample, so that a single one decides little. */
const MIN_SAMPLE_RATIO = 0.25
const MAX_SAMPLE_RATIO = 8
export const NO_EVIDENCE: PrefillEvidence = { expectedMs: 0, measuredMs: 0, tokens: 0 }

/**
 * Prefill speed of one endpoint: the rate of its service, corrected by its own recent first events.
 *
 * @example
 * const rate = new PrefillRate(serviceRate)
 * rate.recordDelay({ expectedMs: 140, measuredMs: 420 }, nowMs)
 * rate.setFactor(rate.computeRatio(peerEvidence, nowMs) / medianRatioOfSiblings, nowMs)
 */
export class PrefillRate {
  readonly #service: ServiceRate
  #evidence = NO_EVIDENCE
  #evidenceAtMs = 0
  #factor = 1
  #factorAtMs: number | null = null

  constructor (service = new ServiceRate()) {
    this.#service = service
  }

  get service (): ServiceRate {
    return this.#service
  }

  /** Prompt tokens per millisecond. */
  get tokensPerMs (): number {
    return this.#service.tokensPerMs * this.#factor
  }

  /**
   * Tokens per millisecond for which prompts may wait at the endpoint. Not below the default for a slow service: the backlog
   * has to last until the next load reports, whatever the speed. A slowed endpoint gets less than its siblings.
   */
  get backlogTokensPerMs (): number {
    return Math.max(DEFAULT_PREFILL_TOKENS_PER_MS, this.#service.tokensPerMs) * this.#factor
  }

  /** Speed of the endpoint relative to its service. */
  get factor (): number {
    return this.#factor
  }

  /** Records prompt tokens that the endpoint has prefilled. */
  recordTokens (tokens: number, nowMs: number): void {
    const known = this.getEvidence(nowMs)
    this.#evidence = { ...known, tokens: known.tokens + tokens }
    this.#evidenceAtMs = nowMs
  }

  /** Records how long a prompt was expected to take to its first event, and how long it took. */
  recordDelay ({ expectedMs, measuredMs }: Omit<PrefillEvidence, 'tokens'>, nowMs: number): void {
    const known = this.getEvidence(nowMs)
    this.#evidence = {
      ...known,
      expectedMs: known.expectedMs + expectedMs,
      measuredMs: known.measuredMs + computeWithin(measuredMs, MIN_SAMPLE_RATIO * expectedMs, MAX_SAMPLE_RATIO * expectedMs)
    }
    this.#evidenceAtMs = nowMs
  }

  /** Returns what this gateway measured recently. */
  getEvidence (nowMs: number): PrefillEvidence {
    const weight = 0.5 ** (Math.max(0, nowMs - this.#evidenceAtMs) / HALF_LIFE_MS)
    return { expectedMs: this.#evidence.expectedMs * weight, measuredMs: this.#evidence.measuredMs * weight, tokens: this.#evidence.tokens * weight }
  }

  /** Measures the tokens per millisecond that all gateways together had prefilled recently. */
  measureThroughput (peers: PrefillEvidence, nowMs: number): number {
    return (this.getEvidence(nowMs).tokens + peers.tokens) * Math.LN2 / HALF_LIFE_MS
  }

  /** Computes the expected over the measured milliseconds of this gateway and its peers; below 1 for a slow endpoint. */
  computeRatio (peers: PrefillEvidence, nowMs: number): number {
    const own = this.getEvidence(nowMs)
    return (PRIOR_MS + own.expectedMs + peers.expectedMs) / (PRIOR_MS + own.measuredMs + peers.measuredMs)
  }

  /** Sets the speed of the endpoint relative to its service. */
  setFactor (ratio: number, nowMs: number): void {
    this.#factor = ratio >= MIN_CERTAIN_SLOWDOWN && ratio <= MIN_CERTAIN_SPEEDUP ? 1 : computeWithin(ratio, MIN_FACTOR, MAX_FACTOR)
    this.#factorAtMs = nowMs
  }

  /** Describes the belief and its age for the state dump. */
  describe (nowMs: number): Record<string, number | null> {
    const { fittedAtMs } = this.#service
    return {
      tokensPerMs: this.tokensPerMs,
      factor: this.#factor,
      serviceAgeMs: fittedAtMs === null ? null : Math.round(nowMs - fittedAtMs),
      factorAgeMs: this.#factorAtMs === null ? null : Math.round(nowMs - this.#factorAtMs),
      ...this.getEvidence(nowMs)
    }
  }
}
