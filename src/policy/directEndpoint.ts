import { PrefixCacheEstimate } from './prefixCacheEstimate'
import { PrefillRate } from './engines/prefillRate'
import { ServiceRate } from './engines/serviceRate'
import { PrefillLimit } from './prefillLimit'
import { SlidingWindowCounter } from './slidingWindowCounter'

/** One entry of the endpoint list, as the endpoint wrote it. */
export interface EndpointEntry {
  id: string
  service: string
  /** `host:port` that the endpoint serves on. */
  address: string
  domain: string
  /** Version of the endpoint's software; null when the entry names none. */
  version: string | null
  slots: number
  state: 'ready' | 'draining'
  /** Start time in Unix milliseconds. A later start under the same id is a new process without the old one's state. */
  bornAtMs: number
}

/** A gateway's view of an endpoint that it reaches directly. */
export interface DirectEndpoint {
  entry: EndpointEntry
  /** Requests that this process has in flight to the endpoint. */
  inFlight: number
  /** Uncached prompt tokens of those requests whose first event has not arrived. */
  pendingTokens: number
  /** Requests that this process sent to the endpoint in the last `SENDS_WINDOW_MS`. */
  recentSends: SlidingWindowCounter
  /** Speed at which it prefills prompts. */
  prefillRate: PrefillRate
  /** Limit on the prompt tokens that wait for prefill there. */
  prefillLimit: PrefillLimit
  /** Consecutive broken connections that led to an ejection; 0 after an answer. */
  failures: number
  /** Smoothed fraction of recent attempts that failed. */
  failureRate: number
  /** Time until which every other endpoint is preferred. */
  ejectedUntilMs: number
  /** Time until which the endpoint asked this process to back off. */
  quietUntilMs: number
  /** Time until which each connection is used for one request only, because bytes arrived that belong to no request. */
  mistrustedUntilMs: number
  /** Time at which its address last refused a connection, so that its process has ended; null when it never did. */
  refusedAtMs: number | null
  /** Time at which a request that should fetch the beginning of its prompt from this endpoint last ended without an event; null when none did. */
  fetchFailedAtMs: number | null
  /** Time at which a connection to it last broke, with which its process may have ended; null when none did. */
  brokenAtMs: number | null
  /** Time of the start of the latest call that read its entry by itself and found it unchanged; -Infinity before. */
  confirmedAtMs: number
  /** Time of the last byte received from the endpoint. */
  heardAtMs: number
  /** Smoothed milliseconds of recent answers or first events; 0 before the first. */
  answerMs: number
  /** Prompt parts that this process recently sent to the endpoint. */
  prefixCache: PrefixCacheEstimate
}

/** Result of an attempt, as far as it affects the health state of the endpoint. */
export type AttemptResult =
  | { kind: 'answered', elapsedMs: number }
  | { kind: 'refused' }
  /** The endpoint answered with a failure of its own. */
  | { kind: 'failed' }
  /** The connection could not be opened, broke or delivered no bytes. */
  | { kind: 'broken' }
  /** Bytes arrived that belong to no request. */
  | { kind: 'garbled' }

/** Milliseconds over which the sends to an endpoint are counted. */
export const SENDS_WINDOW_MS = 4000
const SMOOTHING_FACTOR = 0.15
/** Milliseconds of the first ejection, enough for one connection timeout. Each consecutive ejection doubles it. */
const INITIAL_EJECTION_MS = 500
const MAX_EJECTION_MS = 8000
const SINGLE_USE_CONNECTIONS_MS = 10_000

/** Builds the initial view of an endpoint from its list entry. Endpoints of a service share what is known about its rate. */
export function buildDirectEndpoint (entry: EndpointEntry, serviceRate = new ServiceRate()): DirectEndpoint {
  return {
    entry,
    inFlight: 0,
    pendingTokens: 0,
    recentSends: new SlidingWindowCounter(SENDS_WINDOW_MS),
    prefillRate: new PrefillRate(serviceRate),
    prefillLimit: new PrefillLimit(),
    failures: 0,
    failureRate: 0,
    ejectedUntilMs: 0,
    quietUntilMs: 0,
    mistrustedUntilMs: 0,
    refusedAtMs: null,
    fetchFailedAtMs: null,
    brokenAtMs: null,
    confirmedAtMs: -Infinity,
    heardAtMs: 0,
    answerMs: 0,
    prefixCache: new PrefixCacheEstimate()
  }
}

/**
 * Records the result of an attempt. Only a broken connection ejects an endpoint. Failures that the
 * endpoint answers itself raise its cost through the failure rate, so that one bad request does not
 * eject a healthy endpoint.
 */
export function recordAttemptResult (endpoint: DirectEndpoint, result: AttemptResult, nowMs: number): void {
  switch (result.kind) {
    case 'answered':
      updateFailureRate(endpoint, 0)
      endpoint.failures = 0
      endpoint.ejectedUntilMs = 0
      endpoint.answerMs = endpoint.answerMs === 0 ? result.elapsedMs : endpoint.answerMs + SMOOTHING_FACTOR * (result.elapsedMs - endpoint.answerMs)
      return
    case 'refused':
    case 'failed':
      updateFailureRate(endpoint, 1)
      return
    case 'garbled':
      updateFailureRate(endpoint, 1)
      endpoint.mistrustedUntilMs = nowMs + SINGLE_USE_CONNECTIONS_MS
      return
    case 'broken':
      updateFailureRate(endpoint, 1)
      ejectEndpoint(endpoint, nowMs)
  }
}

/** Returns whether the endpoint is ejected: every other endpoint is preferred to it. */
export function isEjected (endpoint: DirectEndpoint, nowMs: number): boolean {
  return nowMs < endpoint.ejectedUntilMs
}

function updateFailureRate (endpoint: DirectEndpoint, failure: 0 | 1): void {
  endpoint.failureRate += SMOOTHING_FACTOR * (failure - endpoint.failureRate)
}

function ejectEndpoint (endpoint: DirectEndpoint, nowMs: number): void {
  if (isEjected(endpoint, nowMs)) return
  endpoint.failures += 1
  endpoint.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2 ** (endpoint.failures - 1))
}
