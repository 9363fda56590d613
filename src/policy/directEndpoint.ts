import { PrefixMemory } from './prefixMemory'
import { ReadLimit } from './readLimit'

/** One entry of the list of endpoints, as the endpoint wrote it. */
export interface EndpointEntry {
  id: string
  service: string
  /** `host:port` at which it serves. */
  address: string
  domain: string
  slots: number
  state: 'ready' | 'draining'
  /** Unix milliseconds of its start; a new one under the same id has nothing of the old one. */
  bornAtMs: number
}

/** What a gateway believes of an endpoint that it reaches directly. */
export interface DirectEndpoint {
  entry: EndpointEntry
  /** Requests of this process that are at the endpoint. */
  inFlight: number
  /** Prompt tokens of those requests that have not given their first event. */
  pendingTokens: number
  /** How many prompt tokens may wait to be read there. */
  readLimit: ReadLimit
  /** Failures in a row; 0 after an answer. */
  failures: number
  /** Fraction of the latest sends that failed, smoothed. */
  failureRate: number
  /** Time until which it comes after all others. */
  ejectedUntilMs: number
  /** Time until which it asked this process to send nothing. */
  quietUntilMs: number
  /** Time until which its connections are used once only, since bytes came that belong to no request. */
  mistrustedUntilMs: number
  /** Time of the last byte that came from it. */
  heardAtMs: number
  /** Milliseconds an answer or a first event took lately, smoothed; 0 before the first. */
  answerMs: number
  /** Prompt parts that this process sent there lately. */
  prefixes: PrefixMemory
}

/** How a send to an endpoint ended, as far as the endpoint is to be judged by it. */
export type SendVerdict =
  | { kind: 'answered', elapsedMs: number }
  | { kind: 'refused' }
  /** It answered, but with a failure of its own. */
  | { kind: 'failed' }
  /** The connection could not be made, broke or stayed silent. */
  | { kind: 'broken' }
  /** Bytes came that belong to no request. */
  | { kind: 'garbled' }

const SMOOTHING = 0.15
/** The first ejection lets one connection timeout pass; each in a row doubles it. */
const FIRST_EJECTION_MS = 500
const MAX_EJECTION_MS = 8000
const MISTRUST_MS = 10_000

/** Builds the belief of an endpoint of which only its entry is known. */
export function buildDirectEndpoint (entry: EndpointEntry): DirectEndpoint {
  return {
    entry,
    inFlight: 0,
    pendingTokens: 0,
    readLimit: new ReadLimit(),
    failures: 0,
    failureRate: 0,
    ejectedUntilMs: 0,
    quietUntilMs: 0,
    mistrustedUntilMs: 0,
    heardAtMs: 0,
    answerMs: 0,
    prefixes: new PrefixMemory()
  }
}

/**
 * Records how a send ended. Only a broken connection ejects an endpoint; failures that it answers
 * itself lower its rank by their rate, so that one bad request does not eject a good endpoint.
 */
export function recordSend (endpoint: DirectEndpoint, verdict: SendVerdict, nowMs: number): void {
  switch (verdict.kind) {
    case 'answered':
      recordOutcome(endpoint, 0)
      endpoint.failures = 0
      endpoint.ejectedUntilMs = 0
      endpoint.answerMs = endpoint.answerMs === 0 ? verdict.elapsedMs : endpoint.answerMs + SMOOTHING * (verdict.elapsedMs - endpoint.answerMs)
      return
    case 'refused':
    case 'failed':
      recordOutcome(endpoint, 1)
      return
    case 'garbled':
      recordOutcome(endpoint, 1)
      endpoint.mistrustedUntilMs = nowMs + MISTRUST_MS
      return
    case 'broken':
      recordOutcome(endpoint, 1)
      recordBreak(endpoint, nowMs)
  }
}

/** Tells whether the endpoint comes after all others for now. */
export function isEjected (endpoint: DirectEndpoint, nowMs: number): boolean {
  return nowMs < endpoint.ejectedUntilMs
}

function recordOutcome (endpoint: DirectEndpoint, failure: 0 | 1): void {
  endpoint.failureRate += SMOOTHING * (failure - endpoint.failureRate)
}

function recordBreak (endpoint: DirectEndpoint, nowMs: number): void {
  if (isEjected(endpoint, nowMs)) return
  endpoint.failures += 1
  endpoint.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** (endpoint.failures - 1))
}
