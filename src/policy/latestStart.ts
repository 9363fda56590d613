import { PREFILL_TOKENS_PER_MS } from './engineRates'

/** What decides until when a request can start and still be on time. */
export interface StartTiming {
  arrivedAtMs: number
  targetMs: number
  /** Prompt tokens that the endpoint reads for it; 0 for a plain service. */
  tokens: number
  /** Milliseconds that an answer of the plain service usually takes; 0 when none is known. */
  typicalAnswerMs: number
}

/** Time from the end of the reading of a prompt to its first event: some steps of a busy engine. */
const FIRST_EVENT_DELAY_MS = 60

/**
 * Computes the latest time at which a request can start and have its first event or its answer on time.
 * Under overload a queue must count one that is past it as late: it would take the place of another
 * that can still be on time, and be late itself.
 *
 * @example
 * computeLatestStart({ arrivedAtMs: 0, targetMs: 800, tokens: 4000, usualAnswerMs: 0 }) // 700
 */
export function computeLatestStart ({ arrivedAtMs, targetMs, tokens, typicalAnswerMs }: StartTiming): number {
  const serviceTimeMs = tokens === 0 ? typicalAnswerMs : tokens / PREFILL_TOKENS_PER_MS + FIRST_EVENT_DELAY_MS
  return arrivedAtMs + targetMs - serviceTimeMs
}
