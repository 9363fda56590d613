/** What a disturbance touches: one gateway, the store for all, or the way to endpoints. */
export type Place = { kind: 'gateway', index: number } | { kind: 'store' } | { kind: 'endpoints' }

interface Disturbance {
  place: string
  fromMs: number
  untilMs: number
}

/** Remembers when and where faults were put in, so that bounds are asked for undisturbed times only. */
export class Disturbances {
  readonly #all: Disturbance[] = []

  /** Begins a disturbance; the function returned ends it. */
  begin (place: Place): () => void {
    const disturbance: Disturbance = { place: toName(place), fromMs: performance.now(), untilMs: Infinity }
    this.#all.push(disturbance)
    return () => { disturbance.untilMs = performance.now() }
  }

  /** Records that the soak's own process was held up, so that none of its clocks can be relied on. */
  recordHeldUp (fromMs: number, untilMs: number): void {
    this.#all.push({ place: 'soak', fromMs, untilMs })
  }

  /** Whether none of the places was disturbed at any time between two moments. */
  isCalm (places: readonly Place[], fromMs: number, untilMs: number): boolean {
    const names = new Set([...places.map(toName), 'soak'])
    return !this.#all.some(disturbance => names.has(disturbance.place) && disturbance.fromMs < untilMs && disturbance.untilMs > fromMs)
  }
}

function toName (place: Place): string {
  return place.kind === 'gateway' ? `gateway ${place.index}` : place.kind
}
