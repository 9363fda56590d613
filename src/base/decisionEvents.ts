/** Log lines about decisions on one request. `requestId` is the caller's id of that attempt. */
export type RequestEvent =
  | {
    event: 'endpointChosen'
    requestId: string
    route: string
    rank: number
    attempt: number
    endpoint: string
    /** Version of the endpoint's software. */
    version: string | null
    /** Attempt that began the stream that the request takes up, and the last event that its caller has. */
    resumes: string | null
    resumesAfter: number | null
    reason: string
    /** Estimated cost of the endpoint, in milliseconds. */
    costMs: number
    candidates: number
    /** Load of this gateway at the endpoint. */
    inFlight: number
    /** Requests per second that the endpoint accepts from all gateways together, as known here; null for no limit. */
    limitPerSecond: number | null
    /** Requests that this gateway sent there in the last 4 s, without this one. */
    recentSends: number
    pendingTokens: number
    /** Load of peer gateways at the endpoint, as last reported. */
    othersInFlight: number
    /** Uncached prompt tokens of this request, and prompt tokens of peer gateways that are not yet prefilled. */
    unreadTokens: number
    othersTokens: number
    /** Endpoint from which this one should fetch the beginning of the prompt, null when it should not, and the prompt tokens that this is expected to bring. */
    prefixSource: string | null
    fetchTokens: number
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
    /** Endpoint that the request was waiting for; null when none was left. */
    endpoint: string | null
    costMs: number | null
    unreadTokens: number | null
    pendingTokens: number | null
    othersTokens: number | null
    limitTokens: number | null
    inFlight: number | null
    /** Milliseconds since the last byte received from the endpoint. */
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
  /** An endpoint rejected a request with Retry-After; this gateway backs off. */
  | {
    event: 'endpointQuiet'
    requestId: string
    endpoint: string
    askedMs: number
    /** Milliseconds of backoff from now on; the endpoint gets no requests meanwhile. */
    forMs: number
    inFlight: number
  }
  /** An endpoint continued a stream; `versionBefore` is that of the endpoint that wrote its events so far, null when unknown. */
  | { event: 'streamContinued', requestId: string, service: string, endpoint: string, version: string | null, versionBefore: string | null, resumes: string | null, afterEventId: number }
  /** Which version began a stream that a request takes up, and how that is known; `version` is null when it is not. */
  | { event: 'streamOriginDecided', requestId: string, service: string, resumes: string | null, version: string | null, source: string, candidates: ReadonlyArray<string | null>, sequence: number | null, recordAgeMs: number | null, waitedMs: number }
  /** Whether an answer without framing is whole, after its connection was closed in order; `elapsedMs` is the time that the check of its endpoint took. */
  | { event: 'answerEndDecided', requestId: string, endpoint: string, presence: string, isLeaving: boolean, isStream: boolean, verdict: string, elapsedMs: number }
  | { event: 'repeatDecided', requestId: string, service: string, outcome: string }
  /** The inputs of the decision are further fields of the line. */
  | { event: 'requestRefused', requestId: string | undefined, code: string, execution: string, retryAfterMs: number | undefined, [input: string]: unknown }
  /** A request was refused, or an unread reply cut, because the memory or the connections for callers are short; `count` since the last line. */
  | { event: 'callerGaveWay', shortage: string, owner: string, stage: string, bytes: number, idleMs: number, count: number }
  /**
   * A caller does not have its reply as a whole. `stage`: how far the request had come; `endedBy`: the caller, this gateway,
   * or the end of a planned stop, which began `stopAgeMs` ago; null when there is none.
   */
  | { event: 'replyNotWhole', requestId: string | undefined, stage: string, endpoint: string | null, endedBy: string, ageMs: number, stopAgeMs: number | null, sentBytes: number, unwrittenBytes: number }
  | { event: 'requestEnded', requestId: string, route: string, end: string, elapsedMs: number, sentBytes: number }

/** Log lines about changes in a process's view of endpoints, the store, the configuration and its dependencies. */
export type ViewChangeEvent =
  | { event: 'endpointChanged', change: string, endpoint: string, service: string, address: string, domain: string, version: string | null }
  /** The record of the versions at which a service's streams begin changed: buckets of each version, and those with earlier versions as well. */
  | { event: 'versionsAssigned', service: string, sequence: number, era: number, longestMs: number, buckets: Record<string, number>, uncertainBuckets: number }
  /** This gateway wrote the record, or tried to. */
  | { event: 'versionsWritten', service: string, reason: string, outcome: string, sequence: number, era: number, longestMs: number, buckets: Record<string, number>, uncertainBuckets: number }
  /** This gateway stored, for those of its failure domain, the streams whose version the record does not say for certain. */
  | { event: 'streamOriginsWritten', streams: number, outcome: string }
  /** The stored record cannot be read, or is from before a restore of the object service; it is written again. */
  | { event: 'versionRecordDistrusted', service: string, reason: string, sequence: number | null, era: number }
  /** The object service was restored from an older backup; `era` counts the restores. */
  | { event: 'storeRestored', era: number | null }
  /** This gateway looked who holds a duty, since it has not heard that the report of `dueWindow` arrived. */
  | { event: 'dutyChecked', duty: string, dueWindow: number, outcome: string, version: number | null }
  /** This gateway claimed a duty, or failed to store what it is about to send: `intents` windows up to `window`. */
  | { event: 'dutyWritten', duty: string, isClaim: boolean, outcome: string, number: number, era: number, window: number, intents: number }
  /** Another gateway holds the duty now. */
  | { event: 'dutyLost', duty: string, reason: string }
  /** The usage of a window was sent to the platform, with the number of the holder. */
  | { event: 'usageSent', window: number, number: number, outcome: object, workspaces: number, requests: number, elapsedMs: number }
  /** Windows that are never reported. */
  | { event: 'usageSkipped', windows: number[] }
  | { event: 'endpointEjected', endpoint: string, [input: string]: unknown }
  /** `requestId` names the request whose answer reported it; undefined when a peer gateway reported it. */
  | { event: 'endpointLeaving', requestId: string | undefined, endpoint: string, bornAtMs: number, source: string, saidAgoMs: number }
  /** The believed prefill rate of an endpoint changed notably: its inputs, and their age. */
  | { event: 'prefillRateChanged', endpoint: string, service: string, previousTokensPerMs: number, inFlight: number, [input: string]: unknown }
  /** An endpoint named another limit on the requests per second, or none any more (null). */
  | { event: 'endpointLimit', requestId: string | undefined, endpoint: string, bornAtMs: number, version: number, requestsPerSecond: number | null, before: number | null, source: string }
  /** The keeper of an endpoint's limit decided on a request for permits; `recentSends` counts the requests of all `gateways`, as far as reported. */
  | { event: 'permitsDecided', gateway: string, endpoint: string, requestsPerSecond: number, wanted: number, recentSends: number, gateways: number, keptFor: number | 'askers', outcome: string, granted: number, retryAfterMs: number | null }
  /** The keeper of an endpoint's limit, or this gateway itself, answered its request for permits. */
  | { event: 'permitsAnswered', keeper: string, endpoint: string, wanted: number, elapsedMs: number, outcome: string, granted: number, retryAfterMs: number | null }
  /** The keeper did not answer or is leaving; the next one is asked. */
  | { event: 'limitKeeperLost', endpoint: string, keeper: string, reason: string }
  /** An endpoint named a limit that is not a number; `kept` stays in force. */
  | { event: 'endpointLimitUnreadable', requestId: string, endpoint: string, text: string, kept: number | null }
  | { event: 'endpointEntryIgnored', endpoint: string, revision: number }
  /**
   * A connection broke before the answer to a request was complete; `parts` are the keys of the prompt
   * parts that it shares with others, `events` the complete events that had arrived, over `streamedMs`.
   */
  | { event: 'answerBroken', requestId: string, endpoint: string, crashId: string, fingerprint: string, parts: string[], status: number | null, events: number, streamedMs: number }
  /** An endpoint ended; `attempts` counts the answers of this gateway that broke with it. */
  | { event: 'endpointExited', endpoint: string, crashId: string, sign: string, attempts: number, brokenAgoMs: number | null }
  /** A crash may have been caused by prompt parts of these requests; `source` says whether this gateway saw it itself. */
  | { event: 'partsSuspected', crashId: string, requests: string[][], ageMs: number, source: string }
  /** An endpoint answered a prompt with the part, so that it is not the cause of the crashes before. */
  | { event: 'partCleared', part: string, ageMs: number, source: string }
  /** Requests whose prompts have all these parts are refused from now on, because of these crashes. */
  | { event: 'promptPartHeld', parts: string[], crashes: number, crashIds: string[], lastCrashAgoMs: number, forMs: number }
  /** A hold came in force here or ended, whichever gateway decided it. */
  | { event: 'promptPartHoldBegun' | 'promptPartHoldEnded', fingerprint: string, crashes: number }
  | { event: 'crashBlamed', fingerprint: string, endpoint: string, crashId: string, crashes: number, limit: number }
  | { event: 'crashLearned', fingerprint: string, crashes: number, before: number, limit: number }
  | { event: 'configInForce', version: number, previous: number | null, revision: number, routes: number }
  | { event: 'configRefused', revision: number, reason: string }
  | { event: 'configConfirmed' | 'configUnconfirmed', version: number | null, verdict: object }
  | { event: 'readinessChanged', isReady: boolean, reason: string | null, freshness: object }
  | { event: 'dependencyRegained', dependency: string }
  | { event: 'dependencyLost', dependency: string, error: object }
  /** `reader` is the gateway whose view of the store is used from now on; null for the store itself. */
  | { event: 'viewSourceChanged', reader: string | null, before: string | null }
  | { event: 'viewReaderFailed', reader: string, reason: string }

/** State of a process when a signal arrives. */
export type ProcessState = 'starting' | 'serving' | 'stopping'

/** What a signal changes: a planned stop begins, now or once the start has ended, or the settings file is checked. */
export type SignalEffect = 'stop' | 'stopAfterStart' | 'settingsCheck' | 'none'

/** Log lines about signals. */
export type SignalEvent =
  | { event: 'signalReceived', signal: string, state: ProcessState, effect: SignalEffect }
  /** Numbers of signals without a line of their own, because many arrived within a second. */
  | { event: 'signalsLeftOut', counts: Record<string, number> }

/** Log lines about the lifecycle of a process. */
export type LifecycleEvent =
  | SignalEvent
  | { event: 'started', version: string, [setting: string]: unknown }
  | { event: 'stopping', signal: string }
  /** `unwritten`: replies that had ended here but were not yet written; `openConnections`: those whose callers had not closed them. */
  | { event: 'drained', cutRequests: number, unwritten: number, openConnections: number, elapsedMs: number }
  | { event: 'stopped', exitCode: number }
  /**
   * The event loop was held up for `delayMs`, in which the process used this much processor time. `deferred`: time
   * limits of others that passed meanwhile and get the rest of their time.
   */
  | { event: 'processHeldUp', delayMs: number, processorMs: number, deferred: number }
  | { event: 'settingsReloaded', cause: string, changed: boolean, needRestart?: string[] }
  | { event: 'settingsRefused', cause: string, findings: string }
  | { event: 'unexpectedError', message: string }
  /** Numbers of dropped lines by priority, and of lines that were lost because the output was not read. */
  | { event: 'linesLeftOut', notable: number, routine: number, unread: number, keptOneIn: number }

/** One line of the decision log: a decision, a view change or a lifecycle event, with its inputs. */
export type DecisionLine = RequestEvent | ViewChangeEvent | LifecycleEvent

/** Returns the id of the request that a line is about; undefined if it is about no request. */
export function getRequestId (line: DecisionLine): string | undefined {
  return 'requestId' in line ? line.requestId as string | undefined : undefined
}
