/**
 * Addresses of processes to ask for the configuration: those of the settings, and a bounded number
 * of those heard of lately.
 */
export class KnownPeers {
  readonly #configured: string[]
  readonly #getRandom: () => number
  readonly #maxLearned: number
  #learned: string[] = []

  constructor (configured: string[], getRandom: () => number, maxLearned: number) {
    this.#configured = configured
    this.#getRandom = getRandom
    this.#maxLearned = maxLearned
  }

  /** Adds an address from which a message came; the oldest such address gives way. */
  add (address: string): void {
    this.#learned = [address, ...this.#learned.filter(other => other !== address)].slice(0, this.#maxLearned)
  }

  /** Chooses up to `count` different addresses at random. */
  choose (count: number): string[] {
    const addresses = [...new Set([...this.#configured, ...this.#learned])]
    const keyed = addresses.map(address => ({ address, order: this.#getRandom() }))
    return keyed.sort((one, other) => one.order - other.order).slice(0, count).map(entry => entry.address)
  }
}
