import FakeTimers from '@sinonjs/fake-timers'

import { Progress } from '../../src/base/progress'

import type { Clock } from '../../src/base/clock'
import type { ClaimOutcome, ClaimRequest, Claim } from '../../src/store/claims'

/** Fake time for timers and clocks; it advances only when a test requests it. */
export interface FakeTime {
  clock: Clock
  /** Advances the time and runs all due timers. */
  advance (milliseconds: number): Promise<void>
  /** Advances the time as for a paused process: due timers run late, once, at the end. */
  pause (milliseconds: number): void
  /** Runs all pending work that needs no timer. */
  drain (): Promise<void>
  close (): void
}

const TEST_SEED = 20261204
const DRAIN_TURNS = 20
const MIN_SLICE_MS = 500
const MAX_SLICES = 200

export function createFakeTime (): FakeTime {
  const timers = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
  const clock = { getMonotonicMs: () => performance.now(), getWallMs: () => Date.now() }
  const drain = async () => {
    for (let turn = 0; turn < DRAIN_TURNS; turn += 1) await new Promise(resolve => setImmediate(resolve))
  }
  return {
    clock,
    drain,
    advance: async milliseconds => {
      await drain()
      const slices = Math.min(MAX_SLICES, Math.ceil(milliseconds / MIN_SLICE_MS))
      for (let slice = 0; slice < slices; slice += 1) {
        await timers.tickAsync(milliseconds / slices)
        await drain()
      }
    },
    pause: milliseconds => { timers.jump(milliseconds) },
    close: () => { timers.uninstall() }
  }
}

/** Creates a seeded generator of random numbers from 0 to 1. */
export function createRandom (seed = TEST_SEED): () => number {
  let state = seed
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32
    return state / 2 ** 32
  }
}

export function createProgress (timeoutMs = 60_000): Progress {
  return new Progress({ title: 'testing', timeoutMs })
}

export function createClaimRequest (fields: Partial<ClaimRequest> = {}): ClaimRequest {
  return { workspace: 'archive', key: 'key-1', requestDigest: 'digest-1', attemptId: 'attempt-1', holder: 'sidecar-1/epoch-1', ...fields }
}

/** Returns the claim of a granted outcome; throws for any other outcome. */
export function expectGranted (outcome: ClaimOutcome): Claim {
  if (outcome.kind !== 'granted') throw new Error(`expected a granted claim, got ${JSON.stringify(outcome)}`)
  return outcome.claim
}
