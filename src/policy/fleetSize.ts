interface Sample {
  gateways: number
  atMs: number
}

/** Milliseconds for which a larger fleet is remembered, so that gateways that are cut off still count. */
const MEMORY_MS = 60_000

/**
 * Remembers how many gateways the fleet had. A gateway that is cut off from its peers sees a fleet of one;
 * what belongs to all gateways together is still divided by the number of all.
 *
 * @example
 * const fleetSize = new FleetSize(1)
 * fleetSize.record(4, nowMs)
 * fleetSize.record(1, nowMs + 3000)
 * fleetSize.getLargest(nowMs + 3000) // 4
 */
export class FleetSize {
  readonly #named: number
  /** Time until which the gateways that the settings name count, whether they were seen or not. */
  #namedUntilMs = Infinity
  /** Samples in order of time, each smaller than the one before it. */
  #samples: Sample[] = []

  /** @param named the number of gateways that the settings name, including this one */
  constructor (named: number) {
    this.#named = named
  }

  /** Records the number of gateways seen now, including this one. */
  record (gateways: number, nowMs: number): void {
    this.#namedUntilMs = Math.min(this.#namedUntilMs, nowMs + MEMORY_MS)
    this.#samples = this.#samples.filter(sample => sample.gateways > gateways && nowMs - sample.atMs < MEMORY_MS)
    this.#samples.push({ gateways, atMs: nowMs })
  }

  /** Returns the largest number of gateways seen recently. */
  getLargest (nowMs: number): number {
    const named = nowMs < this.#namedUntilMs ? this.#named : 1
    const seen = this.#samples.find(({ atMs }) => nowMs - atMs < MEMORY_MS) ?? this.#samples.at(-1)
    return Math.max(named, seen?.gateways ?? 1)
  }
}
