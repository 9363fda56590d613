import type { Result } from 'true-myth'
import type { Refusal } from '../protocol/errorBody'
import type { HeaderList, RelayRequest, RequestTraits } from './relayRequest'

/** The head of a caller's request as it came. */
export interface RequestHead {
  method: string
  target: string
  headers: HeaderList
}

/** How callers write requests and read refusals. */
export interface CallerDialect {
  /** Reads what a request says; the refusal says what is wrong with it. */
  readTraits (head: RequestHead): Result<RequestTraits, Refusal>
  /** Builds the answer to a request that no endpoint answered. */
  buildRefusal (refusal: Refusal, requestId: string | null): { status: number, headers: HeaderList, body: Buffer }
}

/** What the relay adds to one send of a request. */
export interface AttemptParameters {
  endpointId: string
  remainingMs: number
  /** Last event that the caller has; null from the beginning. */
  resumeAfterEventId: number | null
}

/** The head of an endpoint's answer, checked against what was asked. */
export interface AnswerHead {
  status: number
  /** Id of the request that the answer belongs to; null when it does not say. */
  requestId: string | null
  /** Whether it bears the endpoint's signature. */
  isSigned: boolean
  /** Whether the endpoint says that it did not run the request. */
  isNotRun: boolean
  /** Whether another endpoint than the expected one has the address. */
  isWrongEndpoint: boolean
  retryAfterMs: number | null
  /** Whether the endpoint says that it is about to stop. */
  isLeaving: boolean
  /** Milliseconds for which the endpoint, turning the request away, wants nothing more from this process. */
  backoffMs: number | null
  isEventStream: boolean
  /** Headers to pass on to the caller. */
  headers: HeaderList
}

/** How endpoints are asked and how they answer. */
export interface EndpointDialect {
  buildHeaders (request: RelayRequest, parameters: AttemptParameters): HeaderList
  readAnswer (status: number, headers: HeaderList): AnswerHead
}
