import { isRetryable } from './retryDecision'

import type { RequestKind } from '../config/routingConfig'

/** Whether an endpoint's process is there, as a new connection to its address shows. */
export type EndpointPresence =
  /** It accepts connections and keeps them open. */
  | 'alive'
  /** Nothing listens at the address. */
  | 'refused'
  /** Nothing came back in time. */
  | 'silent'

/** What is known about an answer without framing whose connection was closed in order. */
export interface ClosedAnswer {
  presence: EndpointPresence
  /** Whether the endpoint is known to be leaving. */
  isLeaving: boolean
  isStream: boolean
  kind: RequestKind
  isResumable: boolean
}

/**
 * Milliseconds for which a process that ends may have closed one of its connections and not yet the others:
 * until a runnable process gets its turn, and at most until its quota of processor time is renewed. A stream
 * waits for the longer time, because its caller has all events by then and misses only the end mark.
 */
const SETTLE_MS = { plain: 25, stream: 100 }

/** Returns for how many milliseconds an endpoint must outlive an answer without framing. */
export function getSettleMs (isStream: boolean): number {
  return isStream ? SETTLE_MS.stream : SETTLE_MS.plain
}

/**
 * Decides whether an answer without framing is whole, although only the close of its connection marks its
 * end. The connections of a process that crashes are closed in the same way, so an answer is whole if its
 * endpoint has outlived it. A process that ends in order may stop listening before its last answers; the
 * plain answer of an endpoint that is leaving is therefore whole where the request may not run again.
 *
 * @example
 * decideAnswerEnd({ presence: 'refused', isLeaving: false, isStream: true, kind: 'stream', isResumable: true }) // 'cut'
 */
export function decideAnswerEnd (answer: ClosedAnswer): 'whole' | 'cut' {
  switch (answer.presence) {
    case 'alive': return 'whole'
    case 'refused': return answer.isLeaving && !answer.isStream && !isRetryable(answer) ? 'whole' : 'cut'
    case 'silent': return 'cut'
  }
}
