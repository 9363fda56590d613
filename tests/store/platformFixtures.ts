import FakeTimers from '@sinonjs/fake-timers'

import { Progress } from '../../src/base/progress'

import type { Clock } from '../../src/base/clock'
import type { ClaimOutcome, ClaimRequest, Claim } from '../../src/store/claims'

/** Time that moves only when told to, for timers and clocks alike. */
export interface FakeTime {
  clock: Clock
  /** Moves time forward and lets everything due run. */
  advance (milliseconds: number): Promise<void>
  /** Moves time forward as for a paused process: timers run late, once, at the end. */
  pause (milliseconds: number): void
  /** Lets everything that needs no time run. */
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

/** Random numbers from 0 to 1 that are the same every run. */
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

/** The claim of a granted outcome. */
export function expectGranted (outcome: ClaimOutcome): Claim {
  if (outcome.kind !== 'granted') throw new Error(`expected a granted claim, got ${JSON.stringify(outcome)}`)
  return outcome.claim
}
