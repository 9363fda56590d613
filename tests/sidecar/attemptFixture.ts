import { MAX_TIER } from '../../src/protocol/tiers'
import { Attempt } from '../../src/sidecar/attempt'

import type { SidecarStamp, SubmitAttempt } from '../../src/protocol/attemptMessages'

/** Creates an attempt as if a gateway had submitted it. */
export function makeAttempt (id: string, fields: Partial<SubmitAttempt> = {}): Attempt {
  const params = {
    requestId: id,
    attemptId: id,
    attemptNumber: 1,
    workspace: 'shop',
    className: 'quote',
    tier: 1,
    remainingMs: 60_000,
    startWithinMs: 60_000,
    firstTokenRemainingMs: 60_000,
    idempotent: true,
    target: { kind: 'chat', model: 'small', body: {} },
    ...fields
  }
  return new Attempt({ params: params as SubmitAttempt, receivedAtMs: 0, getStamp: makeStamp, onEnd: () => {} })
}

function makeStamp (): SidecarStamp {
  const byTier = new Array<number>(MAX_TIER).fill(0)
  const load = { running: 0, slots: 1, queuedByTier: byTier, waitMsByTier: byTier, tokenIntervalMs: 0, draining: false }
  return { sidecarId: 's', sidecarEpoch: 'e', configGeneration: 1, load }
}
