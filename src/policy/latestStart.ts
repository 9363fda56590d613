/** Timing that determines the latest feasible start of a request. */
export interface StartTiming {
  arrivedAtMs: number
  targetMs: number
  /** Prompt tokens that the endpoint prefills for the request; 0 for a plain service. */
  tokens: number
  /** Prompt tokens that an endpoint of the service prefills per millisecond. */
  tokensPerMs: number
  /** Milliseconds that the plain service typically takes to answer; 0 when unknown. */
  typicalAnswerMs: number
}

/** Milliseconds from the end of a prompt's prefill to its first event: some steps of a busy engine. */
const FIRST_EVENT_DELAY_MS = 60

/**
 * Computes the latest feasible start of a request: the last time at which it can start and deliver its
 * first event or answer on time. Under overload a queue must treat a request past this time as late.
 * Otherwise it would displace a request that can still be on time, and be late itself.
 *
 * @example
 * computeLatestStart({ arrivedAtMs: 0, targetMs: 800, tokens: 4000, tokensPerMs: 100, typicalAnswerMs: 0 }) // 700
 */
export function computeLatestStart ({ arrivedAtMs, targetMs, tokens, tokensPerMs, typicalAnswerMs }: StartTiming): number {
  const serviceTimeMs = tokens === 0 ? typicalAnswerMs : tokens / tokensPerMs + FIRST_EVENT_DELAY_MS
  return arrivedAtMs + targetMs - serviceTimeMs
}
