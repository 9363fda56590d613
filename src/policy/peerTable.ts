import type { PeerRecord } from '../protocol/viewMessages'

/** This gateway as others are told of it. */
export type PeerIdentity = Omit<PeerRecord, 'heardAgoMs'>

interface KnownPeer extends PeerIdentity {
  heardAtMs: number
  /** Time at which it last gave no view. */
  failedAtMs: number
}

/** A gateway of which nothing was heard for this long is not counted on: several missed exchanges. */
const PEER_EXPIRY_MS = 15_000
/** Time for which a gateway that gave no view is not asked again; it must have been heard of since, too. */
const FAILED_PEER_BACKOFF_MS = 6_000
const MAX_PEERS = 1_000

/**
 * The other gateways that this one knows, and which of its failure domain reads the store for all.
 * Each gateway decides alone: two that decide differently cost some calls of the store and no more.
 *
 * @example
 * const table = new PeerTable({ id: 'gateway-2', domain: 'a', address: '10.0.0.2:7100', processorShare: 0.5 })
 * table.record({ id: 'gateway-1', domain: 'a', address: '10.0.0.1:7100', processorShare: 1, heardAgoMs: 0 }, nowMs)
 * table.chooseReader(nowMs)?.id // 'gateway-1'
 */
export class PeerTable {
  readonly #self: PeerIdentity
  readonly #peers = new Map<string, KnownPeer>()

  constructor (self: PeerIdentity) {
    this.#self = self
  }

  /** Gets this gateway as others are told of it. */
  get self (): PeerRecord {
    return { ...this.#self, heardAgoMs: 0 }
  }

  /** Takes in what was heard of a gateway; older news than known changes nothing. */
  record (peer: PeerRecord, nowMs: number): void {
    if (peer.id === this.#self.id) return
    const { heardAgoMs, ...identity } = peer
    const heardAtMs = nowMs - heardAgoMs
    const known = this.#peers.get(peer.id)
    if (heardAgoMs > PEER_EXPIRY_MS || (known !== undefined && known.heardAtMs >= heardAtMs)) return
    this.#peers.set(peer.id, { ...identity, heardAtMs, failedAtMs: known?.failedAtMs ?? -Infinity })
    this.#removeOldest()
  }

  /** Records that a gateway answered this one. */
  recordAnswer (id: string, nowMs: number): void {
    const known = this.#peers.get(id)
    if (known !== undefined) known.heardAtMs = nowMs
  }

  /** Records that a gateway gave no view, so that another source is taken for a while. */
  recordFailure (id: string, nowMs: number): void {
    const known = this.#peers.get(id)
    if (known !== undefined) known.failedAtMs = nowMs
  }

  /** Lists the gateways heard of lately, of one failure domain or of all. */
  list (nowMs: number, domain?: string): PeerRecord[] {
    const peers: PeerRecord[] = []
    for (const { failedAtMs: _failedAtMs, heardAtMs, ...identity } of this.#peers.values()) {
      const heardAgoMs = Math.max(0, nowMs - heardAtMs)
      if (heardAgoMs <= PEER_EXPIRY_MS && (domain === undefined || identity.domain === domain)) peers.push({ ...identity, heardAgoMs })
    }
    return peers
  }

  /** Chooses the gateway whose view this one follows; null when it reads the store itself. */
  chooseReader (nowMs: number): PeerIdentity | null {
    const reader = this.#findReaders(nowMs).get(this.#self.domain)
    return reader === undefined || reader === this.#self ? null : reader
  }

  /** Chooses, for each other failure domain, the gateway that reads for it. */
  listRemoteReaders (nowMs: number): PeerIdentity[] {
    return [...this.#findReaders(nowMs).values()].filter(reader => reader.domain !== this.#self.domain)
  }

  /** Lists what another gateway should know: those of its domain, and who reads for each other one. */
  listForDomain (domain: string, nowMs: number): PeerRecord[] {
    const readers = new Set(this.listRemoteReaders(nowMs).map(peer => peer.id))
    return this.list(nowMs).filter(peer => peer.domain === domain || readers.has(peer.id))
  }

  /** Finds the strongest usable gateway of each failure domain, this one included. */
  #findReaders (nowMs: number): Map<string, PeerIdentity> {
    const readers = new Map([[this.#self.domain, this.#self]])
    for (const peer of this.#peers.values()) {
      const best = readers.get(peer.domain)
      if (isUsable(peer, nowMs) && (best === undefined || isBefore(peer, best))) readers.set(peer.domain, peer)
    }
    return readers
  }

  #removeOldest (): void {
    if (this.#peers.size <= MAX_PEERS) return
    const [oldest] = [...this.#peers.values()].sort((one, other) => one.heardAtMs - other.heardAtMs)
    if (oldest !== undefined) this.#peers.delete(oldest.id)
  }
}

function isUsable (peer: KnownPeer, nowMs: number): boolean {
  const isBackingOff = nowMs < peer.failedAtMs + FAILED_PEER_BACKOFF_MS || peer.heardAtMs <= peer.failedAtMs
  return !isBackingOff && nowMs - peer.heardAtMs <= PEER_EXPIRY_MS
}

/** Orders gateways alike at all of them: the strongest first. */
function isBefore (one: PeerIdentity, other: PeerIdentity): boolean {
  if (one.processorShare !== other.processorShare) return one.processorShare > other.processorShare
  return one.id < other.id
}
