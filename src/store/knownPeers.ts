/**
 * Addresses of processes to ask for the configuration: those of the settings, and a bounded number
 * of those heard of lately.
 */
export class KnownPeers {
  readonly #settled: string[]
  readonly #getRandom: () => number
  readonly #maxHeard: number
  #heard: string[] = []

  constructor (settled: string[], getRandom: () => number, maxHeard: number) {
    this.#settled = settled
    this.#getRandom = getRandom
    this.#maxHeard = maxHeard
  }

  /** Adds an address from which a message came; the oldest such address gives way. */
  add (address: string): void {
    this.#heard = [address, ...this.#heard.filter(other => other !== address)].slice(0, this.#maxHeard)
  }

  /** Chooses up to `count` different addresses at random. */
  choose (count: number): string[] {
    const addresses = [...new Set([...this.#settled, ...this.#heard])]
    const keyed = addresses.map(address => ({ address, order: this.#getRandom() }))
    return keyed.sort((one, other) => one.order - other.order).slice(0, count).map(entry => entry.address)
  }
}
