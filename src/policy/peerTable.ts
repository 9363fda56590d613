import type { PeerRecord } from '../protocol/viewMessages'

/** The fields by which a gateway identifies itself to its peers. */
export type PeerIdentity = Omit<PeerRecord, 'heardAgoMs'>

interface KnownPeer extends PeerIdentity {
  heardAtMs: number
  /** Time at which the peer last failed to provide its view. */
  failedAtMs: number
}

/** Milliseconds without an update after which a peer expires: several missed exchanges. */
const PEER_EXPIRY_MS = 15_000
/** Milliseconds before a peer that provided no view is asked again. It must also have been reported alive since. */
const FAILED_PEER_BACKOFF_MS = 6_000
const MAX_PEERS = 1_000

/**
 * Tracks the peer gateways and chooses the reader of each failure domain: the gateway that reads the
 * object service for all gateways of the domain. Each gateway decides on its own. If two gateways
 * decide differently, the only cost is some extra calls to the object service.
 *
 * @example
 * const table = new PeerTable({ id: 'gateway-2', domain: 'a', address: '10.0.0.2:7100', processorShare: 0.5 })
 * table.record({ id: 'gateway-1', domain: 'a', address: '10.0.0.1:7100', processorShare: 1, heardAgoMs: 0 }, nowMs)
 * table.chooseReader(nowMs)?.id // 'gateway-1'
 */
export class PeerTable {
  readonly #self: PeerIdentity
  readonly #peers = new Map<string, KnownPeer>()
  readonly #toReadable: (monotonicMs: number) => number

  /** @param toReadable converts a time to the milliseconds in which this process could read updates; only they let a peer expire */
  constructor (self: PeerIdentity, toReadable: (monotonicMs: number) => number = monotonicMs => monotonicMs) {
    this.#self = self
    this.#toReadable = toReadable
  }

  /** Returns the record of this gateway that is sent to its peers. */
  get self (): PeerRecord {
    return { ...this.#self, heardAgoMs: 0 }
  }

  /** Records an update about a peer. Ignores updates older than the known state. */
  record (peer: PeerRecord, nowMs: number): void {
    if (peer.id === this.#self.id) return
    const { heardAgoMs, ...identity } = peer
    const heardAtMs = nowMs - heardAgoMs
    const known = this.#peers.get(peer.id)
    if (heardAgoMs > PEER_EXPIRY_MS || (known !== undefined && known.heardAtMs >= heardAtMs)) return
    this.#peers.set(peer.id, { ...identity, heardAtMs, failedAtMs: known?.failedAtMs ?? -Infinity })
    this.#removeOldest()
  }

  /** Records that a peer answered this gateway. */
  recordAnswer (id: string, nowMs: number): void {
    const known = this.#peers.get(id)
    if (known !== undefined) known.heardAtMs = nowMs
  }

  /** Records that a peer provided no view, so that this gateway uses another source for a while. */
  recordFailure (id: string, nowMs: number): void {
    const known = this.#peers.get(id)
    if (known !== undefined) known.failedAtMs = nowMs
  }

  /** Lists the peers with a recent update, of one failure domain or of all. */
  list (nowMs: number, domain?: string): PeerRecord[] {
    const peers: PeerRecord[] = []
    for (const { failedAtMs: _failedAtMs, heardAtMs, ...identity } of this.#peers.values()) {
      const heardAgoMs = Math.max(0, nowMs - heardAtMs)
      if (this.#isRecent(heardAtMs, nowMs) && (domain === undefined || identity.domain === domain)) peers.push({ ...identity, heardAgoMs })
    }
    return peers
  }

  /** Chooses the gateway whose view this one uses. Returns null when this gateway reads the object service itself. */
  chooseReader (nowMs: number): PeerIdentity | null {
    const reader = this.#findReaders(nowMs).get(this.#self.domain)
    return reader === undefined || reader === this.#self ? null : reader
  }

  /** Lists the readers of the other failure domains. */
  listRemoteReaders (nowMs: number): PeerIdentity[] {
    return [...this.#findReaders(nowMs).values()].filter(reader => reader.domain !== this.#self.domain)
  }

  /**
   * Lists the gateways that may keep the limits of the endpoints in `domain`, the first choice first: the
   * reader of that domain, then those of the others. Includes this gateway when it reads for its own domain.
   */
  listKeepers (domain: string, nowMs: number): PeerIdentity[] {
    const readers = [...this.#findReaders(nowMs).values()]
    return readers.sort((one, other) => Number(other.domain === domain) - Number(one.domain === domain) || (one.domain < other.domain ? -1 : 1))
  }

  /** Lists the peers that a gateway of `domain` needs to know: those of its own domain and the readers of the others. */
  listForDomain (domain: string, nowMs: number): PeerRecord[] {
    const readers = new Set(this.listRemoteReaders(nowMs).map(peer => peer.id))
    return this.list(nowMs).filter(peer => peer.domain === domain || readers.has(peer.id))
  }

  /** Finds the strongest usable gateway of each failure domain, including this gateway. */
  #findReaders (nowMs: number): Map<string, PeerIdentity> {
    const readers = new Map([[this.#self.domain, this.#self]])
    for (const peer of this.#peers.values()) {
      const best = readers.get(peer.domain)
      if (this.#isUsable(peer, nowMs) && (best === undefined || isBefore(peer, best))) readers.set(peer.domain, peer)
    }
    return readers
  }

  #isUsable (peer: KnownPeer, nowMs: number): boolean {
    const isBackingOff = nowMs < peer.failedAtMs + FAILED_PEER_BACKOFF_MS || peer.heardAtMs <= peer.failedAtMs
    return !isBackingOff && this.#isRecent(peer.heardAtMs, nowMs)
  }

  #isRecent (heardAtMs: number, nowMs: number): boolean {
    return this.#toReadable(nowMs) - this.#toReadable(heardAtMs) <= PEER_EXPIRY_MS
  }

  #removeOldest (): void {
    if (this.#peers.size <= MAX_PEERS) return
    const [oldest] = [...this.#peers.values()].sort((one, other) => one.heardAtMs - other.heardAtMs)
    if (oldest !== undefined) this.#peers.delete(oldest.id)
  }
}

/** Orders gateways by processor share, the strongest first. The order is the same at every gateway. */
function isBefore (one: PeerIdentity, other: PeerIdentity): boolean {
  if (one.processorShare !== other.processorShare) return one.processorShare > other.processorShare
  return one.id < other.id
}
