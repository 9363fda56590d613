/** Settings of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Maximum number of retries that a class can save, and its initial balance. */
  maxSaved: number
  /** Retries granted to each class per second in addition to its ratio, so that a class with little traffic can retry too. */
  grantedPerSecond: number
}

interface ClassBudget {
  saved: number
  grantedAtMs: number
}

const DEFAULT_OPTIONS: RetryBudgetOptions = { maxSaved: 10, grantedPerSecond: 0.1 }

/**
 * Limits the retries of each class to a fraction of its requests, so that retries do not amplify an
 * outage. An offer after a refusal does not count as a retry, because nothing ran.
 *
 * @example
 * const budget = new RetryBudget()
 * budget.recordRequest('quote', 0.1, nowMs)
 * if (budget.acquire('quote', nowMs)) await retry()
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions
  readonly #classes = new Map<string, ClassBudget>()

  constructor (options: Partial<RetryBudgetOptions> = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options }
  }

  /** Records a new request of the class and adds `retryRatio` retries to its budget. */
  recordRequest (className: string, retryRatio: number, nowMs: number): void {
    this.#add(this.#getOrCreateBudget(className, nowMs), retryRatio)
  }

  /** Consumes one retry of the class's budget. Returns false if the budget is exhausted. */
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
