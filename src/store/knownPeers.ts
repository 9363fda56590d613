/**
 * Keeps the addresses of peers to query for the configuration: the ones from the settings, and a
 * bounded number of recently seen ones.
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

  /** Adds the address of a peer that sent a message, and evicts the oldest one if there are too many. */
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
