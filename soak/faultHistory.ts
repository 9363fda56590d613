/** What a fault affects: one gateway, the store of all gateways, the endpoints and their links, or what the endpoints accept. */
export type FaultScope = { kind: 'gateway', index: number }
  /** A pause of one gateway's process. It excuses bounds in time, but no loss. */
  | { kind: 'pause', index: number }
  | { kind: 'store' } | { kind: 'endpoints' } | { kind: 'limits' }

interface FaultInterval {
  scope: string
  fromMs: number
  untilMs: number
}

/** Records when and where faults were injected, so that time bounds are checked for undisturbed periods only. */
export class FaultHistory {
  readonly #intervals: FaultInterval[] = []

  /** Begins a fault interval and returns a function that ends it. */
  begin (scope: FaultScope): () => void {
    const interval: FaultInterval = { scope: toScopeName(scope), fromMs: performance.now(), untilMs: Infinity }
    this.#intervals.push(interval)
    return () => { interval.untilMs = performance.now() }
  }

  /** Records that the soak's own event loop stalled. Times measured in that interval are unreliable. */
  recordStall (fromMs: number, untilMs: number): void {
    this.#intervals.push({ scope: 'soak', fromMs, untilMs })
  }

  /** Returns whether no fault, nor a pause of one of the gateways, affected any of the scopes at any time between two moments. */
  isUndisturbed (scopes: readonly FaultScope[], fromMs: number, untilMs: number): boolean {
    const pauses = scopes.flatMap(scope => scope.kind === 'gateway' ? [{ kind: 'pause' as const, index: scope.index }] : [])
    return this.isUndisturbedButForPauses([...scopes, ...pauses], fromMs, untilMs)
  }

  /** Returns the same as `isUndisturbed`, without regard to pauses of the gateways. */
  isUndisturbedButForPauses (scopes: readonly FaultScope[], fromMs: number, untilMs: number): boolean {
    const names = new Set([...scopes.map(toScopeName), 'soak'])
    return !this.#intervals.some(interval => names.has(interval.scope) && interval.fromMs < untilMs && interval.untilMs > fromMs)
  }
}

function toScopeName (scope: FaultScope): string {
  return 'index' in scope ? `${scope.kind} ${scope.index}` : scope.kind
}
