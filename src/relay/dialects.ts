import type { Result } from 'true-myth'
import type { NamedLimit } from '../policy/limitNotices'
import type { Refusal } from '../protocol/errorBody'
import type { HeaderList, RelayRequest, RequestTraits } from './relayRequest'

/** Method, target and headers of a caller's request, as received. */
export interface RequestHead {
  method: string
  target: string
  headers: HeaderList
}

/** Parses callers' requests and builds the refusals sent to them. */
export interface CallerDialect {
  /** Parses the head of a request; the refusal says what is wrong with it. */
  readTraits (head: RequestHead): Result<RequestTraits, Refusal>
  /** Builds the reply to a request that no endpoint answered. */
  buildRefusal (refusal: Refusal, requestId: string | null): { status: number, headers: HeaderList, body: Buffer }
}

/** Values that the relay adds to one attempt of a request. */
export interface AttemptParameters {
  endpointId: string
  remainingMs: number
  /** Id of the last event that the caller has received; null to start from the beginning. */
  resumeAfterEventId: number | null
  /** `host:port` of the endpoint from which this one should fetch the beginning of the prompt; null when it should not. */
  prefixSourceAddress: string | null
}

/** Status and headers of an endpoint's answer, as parsed by the dialect. */
export interface AnswerHead {
  status: number
  /** Id of the request that the answer belongs to; null when the endpoint sends none. */
  requestId: string | null
  /** Whether the answer carries the endpoint's signature. */
  isSigned: boolean
  /** Whether the endpoint states that it did not run the request. */
  isNotRun: boolean
  /** Whether a different endpoint than the expected one listens at the address. */
  isWrongEndpoint: boolean
  retryAfterMs: number | null
  /** Whether the endpoint announces that it is about to stop. */
  isLeaving: boolean
  /** Milliseconds for which the endpoint, refusing the request, accepts no more requests from this process; null when it names none. */
  backoffMs: number | null
  limit: NamedLimit
  isEventStream: boolean
  /** Headers to forward to the caller. */
  headers: HeaderList
}

/** Builds requests to endpoints and parses their answers. */
export interface EndpointDialect {
  buildHeaders (request: RelayRequest, parameters: AttemptParameters): HeaderList
  readAnswer (status: number, headers: HeaderList): AnswerHead
}
