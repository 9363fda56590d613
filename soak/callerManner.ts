/** How a caller sends a request and reads its answer. */
export interface CallerManner {
  /** Whether it connects to the gateway itself instead of its proxy, which reads ahead of its caller. */
  isDirect: boolean
  bodyForm: 'length' | 'chunks'
  /** Milliseconds by which the second half of the body is late. */
  bodyDelayMs: number
  /** Milliseconds for which the caller stops reading once the answer has begun. */
  readPauseMs: number
  /** Milliseconds after the request at which the start of another one follows on the connection; null for never. */
  furtherBytesAfterMs: number | null
}

/** The manner of callers that do nothing out of the ordinary. */
export const PLAIN_MANNER: CallerManner = { isDirect: false, bodyForm: 'length', bodyDelayMs: 0, readPauseMs: 0, furtherBytesAfterMs: null }

const MAX_BODY_DELAY_MS = 1500
const MAX_READ_PAUSE_MS = 3000
const MAX_FURTHER_BYTES_DELAY_MS = 400

/** Chooses the manner of one request. */
export function chooseManner (random: () => number): CallerManner {
  return {
    isDirect: true,
    bodyForm: random() < 0.5 ? 'chunks' : 'length',
    bodyDelayMs: random() < 0.5 ? random() * MAX_BODY_DELAY_MS : 0,
    readPauseMs: random() < 0.75 ? random() * MAX_READ_PAUSE_MS : 0,
    furtherBytesAfterMs: random() < 0.2 ? random() * MAX_FURTHER_BYTES_DELAY_MS : null
  }
}

/** Describes the parts of a manner that are out of the ordinary. */
export function describeManner ({ bodyForm, bodyDelayMs, readPauseMs, furtherBytesAfterMs }: CallerManner): string {
  return [
    bodyForm === 'chunks' ? 'body in chunks' : 'body with a length',
    ...bodyDelayMs > 0 ? [`its end ${Math.round(bodyDelayMs)} ms late`] : [],
    ...readPauseMs > 0 ? [`read with a pause of ${Math.round(readPauseMs)} ms`] : [],
    ...furtherBytesAfterMs === null ? [] : [`further bytes ${Math.round(furtherBytesAfterMs)} ms after it`]
  ].join(', ')
}
