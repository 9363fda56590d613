import { chooseManner } from './callerManner'

import type { SoakRequest } from './soakRequests'

export interface PatientRequestOptions {
  requestId: string
  key: string
  workspace: string
  /** Whether it may be a stream that lasts longer than a planned stop. */
  canBeLong: boolean
}

/** Time limits, none above its route's timeout. */
const ONCE_DEADLINE_MS = 2500
const STREAM_DEADLINE_MS = 3800
const LARGE_DEADLINE_MS = 6000
const LONG_DEADLINE_MS = 14_000
const LONG_EVENT_GAP_MS = 100
const MIN_LONG_EVENTS = 50
const LONG_EVENTS_RANGE = 70
/** Fraction of the long streams in which the endpoint pauses before one of the events, like an engine that is full; longer than a stream may stall. */
const PAUSED_FRACTION = 0.6
const MAX_ENDPOINT_PAUSE_MS = 4500
/** Answers that a caller does not read are mostly more than the system holds for it. */
const MIN_LARGE_BYTES = 2_000_000
const LARGE_BYTES_RANGE = 6_000_000

/**
 * Builds a request of a patient caller, which stays with one gateway until its process is gone, sends bodies late and
 * in chunks, reads large answers slowly and follows long streams.
 */
export function buildPatientRequest ({ requestId, key, workspace, canBeLong }: PatientRequestOptions, random: () => number): SoakRequest {
  const common = {
    requestId, key, workspace, keyVersion: null, routeVersion: null, events: 0, method: 'POST' as const, body: `prompt of ${requestId}`, resumed: null, disconnectAfterMs: null, manner: chooseManner(random)
  }
  const draw = random()
  const size = random()
  if (draw < 0.2) return { ...common, kind: 'once', target: '/once/x', deadlineMs: ONCE_DEADLINE_MS }
  if (draw < 0.6) return { ...common, kind: 'read', target: `/large/x?bytes=${MIN_LARGE_BYTES + Math.floor(size * LARGE_BYTES_RANGE)}`, deadlineMs: LARGE_DEADLINE_MS }
  if (draw < 0.75 && canBeLong) {
    const events = MIN_LONG_EVENTS + Math.floor(size * LONG_EVENTS_RANGE)
    const pause = random() < PAUSED_FRACTION ? `&pauseAt=${1 + Math.floor(random() * MIN_LONG_EVENTS)}&pauseMs=${Math.floor(random() * MAX_ENDPOINT_PAUSE_MS)}` : ''
    return { ...common, kind: 'stream', target: `/long/x?events=${events}&gapMs=${LONG_EVENT_GAP_MS}${pause}`, events, deadlineMs: LONG_DEADLINE_MS }
  }
  const events = 2 + Math.floor(size * 60)
  return { ...common, kind: 'stream', target: `/stream/x?events=${events}`, events, deadlineMs: STREAM_DEADLINE_MS }
}
