import { RequestQueue } from '../../src/policy/requestQueue'

import type { QueueEntry } from '../../src/policy/requestQueue'
import type { EndpointLoad } from '../../src/protocol/attemptMessages'

let entryCount = 0

/** Builds a queue entry that may wait up to ten seconds. The given fields override the defaults. */
export function buildEntry (fields: Partial<QueueEntry> = {}): QueueEntry {
  entryCount += 1
  const enqueuedAtMs = fields.enqueuedAtMs ?? 0
  return {
    id: `entry-${entryCount}`,
    tier: 3,
    className: `class-of-tier-${fields.tier ?? 3}`,
    workspace: 'shop',
    enqueuedAtMs,
    startByMs: enqueuedAtMs + 10_000,
    firstTokenDueMs: enqueuedAtMs + 700,
    share: 0,
    ...fields
  }
}

/** Builds the queue of an endpoint whose slots are all busy and that releases one every 100 ms. */
export function buildBusyQueue (maxQueued = 100): RequestQueue {
  const queue = new RequestQueue({ maxQueued, initialReleaseIntervalMs: 100 })
  queue.setSlots({ running: 8, limit: 8 }, 0)
  return queue
}

/** Builds the load report of an endpoint with eight slots, half of them free. The given fields override the defaults. */
export function buildLoad (fields: Partial<EndpointLoad> = {}): EndpointLoad {
  return {
    running: 4,
    slots: 8,
    queuedByTier: [0, 0, 0, 0, 0, 0],
    waitMsByTier: [0, 0, 0, 0, 0, 0],
    tokenIntervalMs: 40,
    draining: false,
    ...fields
  }
}
