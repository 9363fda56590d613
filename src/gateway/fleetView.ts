import { DEFAULT_RANKING_OPTIONS } from '../policy/endpointRanking'
import { EndpointTable } from '../policy/endpointTable'
import { OfferPlan } from '../policy/offerPlan'
import { SidecarPeer } from './sidecarPeer'

import type { Clock } from '../base/clock'
import type { FleetConfig } from '../config/fleetConfig'
import type { SidecarRecord } from '../membership/membershipRecords'
import type { AttemptTarget } from '../protocol/attemptMessages'
import type { CallerRequest } from './callerRequest'
import type { PeerTimeouts } from './sidecarPeer'

/** An endpoint that a request may be offered to. */
export interface OfferTarget {
  endpointName: string
  peer: SidecarPeer
  /** Epoch of the sidecar's registration. */
  epoch: string
}

export interface FleetViewOptions {
  clock: Clock
  localDomain: string
  fleetSecret: string
  peerTimeouts: PeerTimeouts
  random: () => number
}

interface Member {
  record: SidecarRecord
  peer: SidecarPeer
}

const MAX_PREFIX_KEY_CHARACTERS = 512

/** Keeps a gateway's view of the fleet: registered sidecars with their placements and reported load. */
export class FleetView {
  readonly table = new EndpointTable()
  readonly #options: FleetViewOptions
  readonly #members = new Map<string, Member>()
  #config: FleetConfig | null = null

  constructor (options: FleetViewOptions) {
    this.#options = options
  }

  /** Applies a new configuration. */
  setConfig (config: FleetConfig): void {
    this.#config = config
    this.#updatePlacements()
  }

  /** Applies a new list of sidecars, one per endpoint. */
  setSidecars (records: readonly SidecarRecord[]): void {
    const kept = new Set(records.map(record => record.endpointName))
    for (const [name, member] of this.#members) {
      if (kept.has(name)) continue
      member.peer.close()
      this.#members.delete(name)
    }
    for (const record of records) this.#setMember(record)
    this.#updatePlacements()
  }

  /** Creates the plan of offers of `request` to the endpoints that may serve it. */
  createOfferPlan (request: CallerRequest): OfferPlan {
    const target = toTargetName(request.target)
    const { serviceClass, arrivedAtMs } = request
    const choiceRequest = {
      tier: serviceClass.tier,
      betweenTokensTargetMs: serviceClass.betweenTokensTargetMs,
      affinity: this.table.findAffinityEndpoints(target, toPrefixKey(request))
    }
    const times = { arrivedAtMs, firstTokenDueMs: arrivedAtMs + serviceClass.firstTokenTargetMs, deadlineMs: arrivedAtMs + serviceClass.deadlineMs }
    const options = { ...DEFAULT_RANKING_OPTIONS, localDomain: this.#options.localDomain }
    return new OfferPlan(choiceRequest, times, this.table.getViews(target), this.#options.random, options)
  }

  /** Finds the sidecar of an endpoint. */
  findTarget (endpointName: string): OfferTarget | undefined {
    const member = this.#members.get(endpointName)
    return member && toOfferTarget(member)
  }

  /** Lists the sidecars of all endpoints. */
  listTargets (): OfferTarget[] {
    return [...this.#members.values()].map(toOfferTarget)
  }

  /** Returns whether any registered endpoint serves the request's target. */
  isPlaced (request: CallerRequest): boolean {
    return this.table.getViews(toTargetName(request.target)).length > 0
  }

  close (): void {
    for (const member of this.#members.values()) member.peer.close()
  }

  #setMember (record: SidecarRecord): void {
    const known = this.#members.get(record.endpointName)
    if (known?.peer.address === record.address) {
      known.record = record
      return
    }
    known?.peer.close()
    const { fleetSecret, peerTimeouts } = this.#options
    this.#members.set(record.endpointName, { record, peer: new SidecarPeer({ address: record.address, fleetSecret, timeouts: peerTimeouts }) })
  }

  #updatePlacements (): void {
    const config = this.#config
    if (config === null) return
    const placements = [...this.#members.values()].flatMap(({ record }) => {
      const endpoint = config.endpoints.get(record.endpointName)
      if (endpoint === undefined) return []
      const targets = endpoint.kind === 'engine' ? endpoint.models : [`service:${endpoint.service}`]
      return [{ name: record.endpointName, domain: record.domain, targets }]
    })
    this.table.setPlacements(placements)
    for (const { record } of this.#members.values()) {
      this.table.recordListedLeaving(record.endpointName, record.leaving)
    }
  }
}

function toOfferTarget ({ record, peer }: Member): OfferTarget {
  return { endpointName: record.endpointName, peer, epoch: record.epoch }
}

/** Returns the name of a target in the endpoint table: a model, or `service:` and the name of a plain service. */
export function toTargetName (target: AttemptTarget): string {
  return target.kind === 'chat' ? target.model : `service:${target.service}`
}

/**
 * Returns the key that selects the endpoints with the prompt's prefix cached: the workspace's name and
 * the start of the first message. Calls of plain services share one key per workspace.
 */
function toPrefixKey (request: CallerRequest): string {
  if (request.target.kind !== 'chat') return request.workspace.name
  const messages = request.target.body.messages
  const first = Array.isArray(messages) ? messages[0] : undefined
  return request.workspace.name + JSON.stringify(first ?? '').slice(0, MAX_PREFIX_KEY_CHARACTERS)
}
