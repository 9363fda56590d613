/** Lines that tell what was decided on one request; `requestId` is the caller's id of that attempt. */
export type RequestEvent =
  | {
    event: 'endpointChosen'
    requestId: string
    route: string
    rank: number
    attempt: number
    endpoint: string
    reason: string
    /** Milliseconds that the endpoint was expected to cost. */
    costMs: number
    candidates: number
    /** What this gateway has there. */
    inFlight: number
    pendingTokens: number
    /** What other gateways have there, as lately told. */
    othersInFlight: number
    /** Prompt tokens that the endpoint has to read for this request, and unread ones of other gateways. */
    unreadTokens: number
    othersTokens: number
    failureRate: number
    /** Milliseconds since the request arrived. */
    heldMs: number
    remainingMs: number
  }
  | {
    event: 'waitEnded'
    requestId: string
    route: string
    rank: number
    waitedMs: number
    waiting: number
    /** The endpoint it waited for; null when none was left. */
    endpoint: string | null
    costMs: number | null
    unreadTokens: number | null
    pendingTokens: number | null
    othersTokens: number | null
    limitTokens: number | null
    inFlight: number | null
    /** Milliseconds since the last byte of the endpoint. */
    silentMs: number | null
  }
  | {
    event: 'sendEnded'
    requestId: string
    service: string
    endpointId: string
    attempt: number
    outcome: string
    status: number | null
    detail: string
    elapsedMs: number
    firstMs: number | null
    events: number
  }
  /** An endpoint turned a request away and named a time for which it wants nothing more. */
  | {
    event: 'endpointQuiet'
    requestId: string
    endpoint: string
    askedMs: number
    /** Milliseconds for which it is left alone from now on. */
    forMs: number
    inFlight: number
  }
  | { event: 'repeatDecided', requestId: string, service: string, outcome: string }
  /** `inputs` of the decision stand beside the fields named here. */
  | { event: 'requestRefused', requestId: string | undefined, code: string, execution: string, retryAfterMs: number | undefined, [input: string]: unknown }
  | { event: 'requestEnded', requestId: string, route: string, end: string, elapsedMs: number, sentBytes: number }

/** Lines that tell what a process came to believe. */
export type ViewChangeEvent =
  | { event: 'endpointChanged', change: string, endpoint: string, service: string, address: string, domain: string }
  /** The store came back from an older copy; `era` counts how often. */
  | { event: 'storeRestored', era: number | null }
  | { event: 'endpointEjected', endpoint: string, [input: string]: unknown }
  /** `requestId` is that of the answer that said so; absent when another gateway told it. */
  | { event: 'endpointLeaving', requestId: string | undefined, endpoint: string, bornAtMs: number, source: string, saidAgoMs: number }
  | { event: 'endpointEntryIgnored', endpoint: string, revision: number }
  | { event: 'crashBlamed', fingerprint: string, endpoint: string, crashId: string, crashes: number, limit: number }
  | { event: 'crashLearned', fingerprint: string, crashes: number, before: number, limit: number }
  | { event: 'configInForce', version: number, previous: number | null, revision: number, routes: number }
  | { event: 'configRefused', revision: number, reason: string }
  | { event: 'configConfirmed' | 'configUnconfirmed', version: number | null, verdict: object }
  | { event: 'readinessChanged', isReady: boolean, reason: string | null, freshness: object }
  | { event: 'dependencyRegained', dependency: string }
  | { event: 'dependencyLost', dependency: string, error: object }
  /** The gateway whose view of the store is followed from now on; null for the store itself. */
  | { event: 'viewSourceChanged', reader: string | null, before: string | null }
  | { event: 'viewReaderFailed', reader: string, reason: string }

/** Lines of a process's own life. */
export type LifecycleEvent =
  | { event: 'started', version: string, [setting: string]: unknown }
  | { event: 'stopping', signal: string }
  | { event: 'drained', cutRequests: number, elapsedMs: number }
  | { event: 'stopped', exitCode: number }
  | { event: 'settingsReloaded', cause: string, changed: boolean, needRestart?: string[] }
  | { event: 'settingsRefused', cause: string, findings: string }
  | { event: 'unexpectedError', message: string }
  /** Lines that were not written, by rank, and those that nobody read. */
  | { event: 'linesLeftOut', notable: number, routine: number, unread: number, keptOneIn: number }

/** One line of the decision log: what was decided or believed, with the inputs that decided it. */
export type DecisionLine = RequestEvent | ViewChangeEvent | LifecycleEvent

/** Gets the request that a line is about; undefined for what a process believes. */
export function getRequestId (line: DecisionLine): string | undefined {
  return 'requestId' in line ? line.requestId as string | undefined : undefined
}
