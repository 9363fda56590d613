/** What a disturbance touches: one gateway, the store for all, or the way to endpoints. */
export type FaultScope = { kind: 'gateway', index: number } | { kind: 'store' } | { kind: 'endpoints' }

interface FaultInterval {
  scope: string
  fromMs: number
  untilMs: number
}

/** Remembers when and where faults were put in, so that bounds are asked for undisturbed times only. */
export class FaultHistory {
  readonly #intervals: FaultInterval[] = []

  /** Begins a disturbance; the function returned ends it. */
  begin (scope: FaultScope): () => void {
    const interval: FaultInterval = { scope: toScopeName(scope), fromMs: performance.now(), untilMs: Infinity }
    this.#intervals.push(interval)
    return () => { interval.untilMs = performance.now() }
  }

  /** Records that the soak's own process was held up, so that none of its clocks can be relied on. */
  recordStall (fromMs: number, untilMs: number): void {
    this.#intervals.push({ scope: 'soak', fromMs, untilMs })
  }

  /** Whether none of the places was disturbed at any time between two moments. */
  isUndisturbed (scopes: readonly FaultScope[], fromMs: number, untilMs: number): boolean {
    const names = new Set([...scopes.map(toScopeName), 'soak'])
    return !this.#intervals.some(interval => names.has(interval.scope) && interval.fromMs < untilMs && interval.untilMs > fromMs)
  }
}

function toScopeName (scope: FaultScope): string {
  return scope.kind === 'gateway' ? `gateway ${scope.index}` : scope.kind
}
