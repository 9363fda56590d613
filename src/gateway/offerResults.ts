import type { NotRunReason } from '../protocol/attemptMessages'
import type { ErrorCode, Refusal } from '../protocol/errorBody'

type OfferRefusalReason = NotRunReason | 'unreachable'

const ERROR_CODE_BY_REASON: Record<OfferRefusalReason, ErrorCode> = {
  queueFull: 'overloaded',
  displaced: 'overloaded',
  cannotMeetDeadline: 'overloaded',
  draining: 'endpoint_unavailable',
  poison: 'request_crashes_endpoints',
  claimStoreUnavailable: 'claim_store_unavailable',
  endpointUnavailable: 'endpoint_unavailable',
  modelNotPlaced: 'model_not_placed',
  cancelled: 'endpoint_unavailable',
  fenced: 'endpoint_unavailable',
  alreadyInProgress: 'already_in_progress',
  keyReused: 'idempotency_key_reused',
  configurationMissing: 'configuration_missing',
  unreachable: 'endpoint_unavailable'
}

const MESSAGE_BY_ERROR_CODE: Partial<Record<ErrorCode, string>> = {
  overloaded: 'No endpoint can start this request in time.',
  request_crashes_endpoints: 'Endpoints crashed while they ran this request; it is not run again.',
  claim_store_unavailable: 'The idempotency key could not be claimed.',
  idempotency_key_reused: 'The idempotency key stands for another request.',
  already_in_progress: 'A request with this idempotency key is in progress.',
  model_not_placed: 'No endpoint serves this at present.'
}

const NON_RETRYABLE_CODES: ErrorCode[] = ['request_crashes_endpoints', 'idempotency_key_reused']

const DEFAULT_MESSAGE = 'No endpoint could take this request.'

/** Collects why the offers of one request did not run, and derives the caller's refusal from the reasons. */
export class OfferResults {
  readonly #reasons: OfferRefusalReason[] = []
  #minRetryAfterMs = Infinity
  #count = 0

  /** Number of offers recorded as not run. */
  get count (): number {
    return this.#count
  }

  recordNotRun (reason: OfferRefusalReason, retryAfterMs: number): void {
    this.#count += 1
    this.#reasons.push(reason)
    if (retryAfterMs > 0) this.#minRetryAfterMs = Math.min(this.#minRetryAfterMs, retryAfterMs)
  }

  /** Creates the caller's refusal, with the reason and the time after which to retry. */
  createRefusal (mayHaveRun: boolean, minRetryAfterMs: number): Refusal {
    const code = this.#chooseErrorCode()
    const retryAfterMs = Number.isFinite(this.#minRetryAfterMs) ? Math.max(minRetryAfterMs, this.#minRetryAfterMs) : minRetryAfterMs
    const execution = mayHaveRun || code === 'already_in_progress' ? 'may_have_run' : 'not_run'
    const refusal: Refusal = { code, message: MESSAGE_BY_ERROR_CODE[code] ?? DEFAULT_MESSAGE, execution }
    return NON_RETRYABLE_CODES.includes(code) ? refusal : { ...refusal, retryAfterMs }
  }

  /** Chooses the error code. A reason that holds at all endpoints takes precedence over one of a single endpoint. */
  #chooseErrorCode (): ErrorCode {
    const codes = this.#reasons.map(reason => ERROR_CODE_BY_REASON[reason])
    const precedence: ErrorCode[] = ['request_crashes_endpoints', 'idempotency_key_reused', 'already_in_progress', 'claim_store_unavailable', 'overloaded', 'model_not_placed', 'configuration_missing']
    return precedence.find(code => codes.includes(code)) ?? 'endpoint_unavailable'
  }
}
