import { Progress } from '../base/progress'
import { isClaimFresh } from '../store/claimStore'
import { createNotRun } from './outcomes'

import type { Clock } from '../base/clock'
import type { Claim, ClaimOutcome, ClaimStore } from '../store/claimStore'
import type { AttemptOutcome, SubmitAttempt } from '../protocol/attemptMessages'
import type { ClaimDecision, ClaimGate, GrantedClaim } from './claimGate'

const SETTLE_TIMEOUT_MS = 2000
const IN_PROGRESS_RETRY_AFTER_MS = 1000

export interface StoreClaimGateOptions {
  store: ClaimStore
  clock: Clock
  /** Id and epoch of this process. */
  holder: string
}

/** Claims idempotency keys in the claim store of the object service, so that a request with a claimed key runs at most once. */
export class StoreClaimGate implements ClaimGate {
  readonly #options: StoreClaimGateOptions

  constructor (options: StoreClaimGateOptions) {
    this.#options = options
  }

  async claim (params: SubmitAttempt, progress: Progress): Promise<ClaimDecision> {
    const outcome = await this.#options.store.claim({
      workspace: params.workspace,
      key: params.idempotencyKey ?? params.requestId,
      requestDigest: params.fingerprint,
      attemptId: params.attemptId,
      holder: this.#options.holder
    }, progress)
    return this.#toDecision(await this.#verifyFresh(outcome, progress))
  }

  /** Verifies a granted claim again unless it is fresh. A process that was paused after it requested the claim must not rely on the grant. */
  async #verifyFresh (outcome: ClaimOutcome, progress: Progress): Promise<ClaimOutcome> {
    if (outcome.kind !== 'granted' || isClaimFresh(outcome.claim, this.#options.clock)) return outcome
    return await this.#options.store.verify(outcome.claim, progress)
  }

  #toDecision (outcome: ClaimOutcome): ClaimDecision {
    switch (outcome.kind) {
      case 'granted': return { kind: 'granted', claim: this.#createGrant(outcome.claim) }
      case 'completed': return outcome.answer === null ? refuse({ kind: 'mayHaveRun', reason: 'claimedElsewhere', retryAfterMs: 0 }) : { kind: 'answered', answer: outcome.answer }
      case 'inProgress': return refuse(createNotRun('alreadyInProgress', IN_PROGRESS_RETRY_AFTER_MS))
      case 'mayHaveRun': return refuse({ kind: 'mayHaveRun', reason: 'claimedElsewhere', retryAfterMs: 0 })
      case 'keyReused': return refuse(createNotRun('keyReused', 0))
      case 'unavailable': return refuse(createNotRun('claimStoreUnavailable', outcome.retryAfterMs))
      default: return outcome satisfies never
    }
  }

  #createGrant (claim: Claim): GrantedClaim {
    const { store } = this.#options
    return {
      complete: async answer => {
        await store.complete(claim, answer, createSettleProgress())
      },
      release: async () => {
        await store.release(claim, createSettleProgress())
      }
    }
  }
}

function refuse (outcome: AttemptOutcome): ClaimDecision {
  return { kind: 'refused', outcome }
}

function createSettleProgress (): Progress {
  return new Progress({ title: 'storing the outcome of a claimed request', timeoutMs: SETTLE_TIMEOUT_MS })
}
