/** Settings of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries a class may save up, and has at the start. */
  maxSaved: number
  /** Retries granted to each class a second beside its ratio, so that a quiet class can retry too. */
  grantedPerSecond: number
}

interface ClassBudget {
  saved: number
  grantedAtMs: number
}

const DEFAULT_OPTIONS: RetryBudgetOptions = { maxSaved: 10, grantedPerSecond: 0.1 }

/**
 * Limits, for each class, the attempts made after a failure to a fraction of the requests, so
 * that retries never amplify an outage. An offer after a refusal is no retry: nothing ran.
 *
 * @example
 * const budget = new RetryBudget()
 * budget.recordRequest('quote', 0.1, nowMs)
 * if (budget.acquire('quote', nowMs)) await tryAgain()
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions
  readonly #classes = new Map<string, ClassBudget>()

  constructor (options: Partial<RetryBudgetOptions> = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options }
  }

  /** Records a new request of the class, which earns `retryRatio` of a retry. */
  recordRequest (className: string, retryRatio: number, nowMs: number): void {
    this.#add(this.#getOrCreateBudget(className, nowMs), retryRatio)
  }

  /** Takes one retry from the class's budget; false when it is spent. */
  acquire (className: string, nowMs: number): boolean {
    const budget = this.#getOrCreateBudget(className, nowMs)
    const seconds = Math.max(0, nowMs - budget.grantedAtMs) / 1000
    this.#add(budget, seconds * this.#options.grantedPerSecond)
    budget.grantedAtMs = nowMs
    if (budget.saved < 1) return false
    budget.saved -= 1
    return true
  }

  #add (budget: ClassBudget, retries: number): void {
    budget.saved = Math.min(this.#options.maxSaved, budget.saved + retries)
  }

  #getOrCreateBudget (className: string, nowMs: number): ClassBudget {
    const known = this.#classes.get(className)
    if (known !== undefined) return known
    const budget = { saved: this.#options.maxSaved, grantedAtMs: nowMs }
    this.#classes.set(className, budget)
    return budget
  }
}
