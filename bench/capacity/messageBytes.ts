import { attemptNotificationSchema, submitResultSchema } from '../../src/protocol/attemptMessages'
import { formatNumber, printTable } from '../shared/measuredTable'

import type { AttemptNotification, SidecarStamp, SubmitAttempt, SubmitResult } from '../../src/protocol/attemptMessages'

/** Bytes of each message between a gateway and a sidecar, without HTTP framing and headers. */
export interface MessageBytes {
  /** `submitAttempt` without the caller's body. */
  submit: number
  accepted: number
  started: number
  chunk: number
  heartbeat: number
  /** Final response of a completed attempt. */
  final: number
  /** Control data in `accepted` and in the final response: epoch, generation and load. */
  stamp: number
}

const ATTEMPT_ID = 'req-01234567-89ab-cdef-0123-456789abcdef.1'

/** Measures the serialized messages, with values of typical length. */
export function measureMessageBytes (): MessageBytes {
  const stamp = createStamp()
  const bytes = {
    submit: countBytes({ jsonrpc: '2.0', id: 1, method: 'submitAttempt', params: createSubmit() }),
    accepted: countNotification({ method: 'accepted', params: { attemptId: ATTEMPT_ID, stamp } }),
    started: countNotification({ method: 'started', params: { attemptId: ATTEMPT_ID } }),
    chunk: countNotification({ method: 'chunk', params: { attemptId: ATTEMPT_ID, index: 123, text: 'bergamot ' } }),
    heartbeat: countNotification({ method: 'heartbeat', params: { attemptId: ATTEMPT_ID, stamp } }),
    final: countBytes({ jsonrpc: '2.0', id: 1, result: createResult(stamp) }),
    stamp: countBytes({ stamp })
  }
  printTable('Messages between gateway and sidecar, in bytes', Object.keys(bytes), [Object.values(bytes).map(formatNumber)])
  return bytes
}

function createStamp (): SidecarStamp {
  return {
    sidecarId: 'sidecar-0123',
    sidecarEpoch: 'epoch-01234567-89ab-cdef-0123-456789abcdef',
    configGeneration: 123_456,
    load: {
      running: 200,
      slots: 256,
      queuedByTier: [0, 2, 5, 11, 23, 40],
      waitMsByTier: [0, 120, 250, 480, 960, 1920],
      tokenIntervalMs: 52.123456789,
      draining: false
    }
  }
}

function createSubmit (): SubmitAttempt {
  return {
    requestId: ATTEMPT_ID.slice(0, -2),
    attemptId: ATTEMPT_ID,
    attemptNumber: 1,
    gatewayId: 'gateway-0123',
    gatewayEpoch: 'epoch-01234567-89ab-cdef-0123-456789abcdef',
    gatewayAddress: '10.20.30.40:7100',
    configGeneration: 123_456,
    workspace: 'workspace-01234',
    className: 'class-of-tier-2',
    tier: 2,
    remainingMs: 29_123.456,
    firstTokenRemainingMs: 701.234,
    startWithinMs: 701.234,
    idempotent: true,
    fingerprint: 'f'.repeat(64),
    crashCount: 0,
    target: { kind: 'chat', model: 'model-12', body: {} }
  }
}

function createResult (stamp: SidecarStamp): SubmitResult {
  const outcome = { kind: 'completed', chunkCount: 403, digest: 'd'.repeat(64), status: 200, contentType: 'text/event-stream' }
  return submitResultSchema.parse({ outcome, stamp })
}

function countNotification (notification: AttemptNotification): number {
  return countBytes({ jsonrpc: '2.0', ...attemptNotificationSchema.parse(notification) })
}

function countBytes (message: object): number {
  return Buffer.byteLength(JSON.stringify(message)) + 1
}
