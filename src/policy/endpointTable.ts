import { MAX_TIER, MIN_TIER } from '../protocol/tiers'
import { ConsistentHashRing } from './consistentHashRing'

import type { EndpointLoad } from '../protocol/attemptMessages'
import type { Tier } from '../protocol/tiers'
import type { EndpointView } from './endpointView'

/** Failure domain of an endpoint and the targets it serves: model names, or the name of a plain service. */
export interface EndpointPlacement {
  name: string
  domain: string
  targets: readonly string[]
}

interface TargetIndex {
  views: EndpointView[]
  ring: ConsistentHashRing
}

const DURATION_SMOOTHING = 0.1
const FIRST_EJECTION_MS = 250
const MAX_EJECTION_MS = 4000
const AFFINITY_ENDPOINTS_PER_PREFIX = 2
const NO_VIEWS: readonly EndpointView[] = []

/**
 * Keeps a gateway's view of each endpoint, indexed by the targets that the endpoints serve. The
 * table has no timers and does no I/O. Its owner records events with their time and reads views to
 * rank endpoints.
 *
 * @example
 * const table = new EndpointTable()
 * table.setPlacements([{ name: 'engine-1', domain: 'a', targets: ['small-model'] }])
 * table.recordDispatch('engine-1', 2)
 * table.recordFirstReport('engine-1', 2, load, nowMs)
 * table.getViews('small-model')
 */
export class EndpointTable {
  readonly #views = new Map<string, EndpointView>()
  #targets = new Map<string, TargetIndex>()

  /** Returns the endpoints that serve `target`. */
  getViews (target: string): readonly EndpointView[] {
    return this.#targets.get(target)?.views ?? NO_VIEWS
  }

  /** Returns one endpoint by name. */
  getView (name: string): EndpointView | undefined {
    return this.#views.get(name)
  }

  /** Returns every endpoint, for the state dump. */
  listViews (): EndpointView[] {
    return [...this.#views.values()]
  }

  /** Returns the endpoints that should have `prefix` cached, in order of preference. */
  findAffinityEndpoints (target: string, prefix: string): EndpointView[] {
    const names = this.#targets.get(target)?.ring.findOwners(prefix, AFFINITY_ENDPOINTS_PER_PREFIX) ?? []
    return names.map(name => this.#views.get(name) as EndpointView)
  }

  /** Replaces the placements of all endpoints. Endpoints that remain keep their recorded state. */
  setPlacements (placements: readonly EndpointPlacement[]): void {
    const kept = new Set(placements.map(placement => placement.name))
    for (const name of this.#views.keys()) if (!kept.has(name)) this.#views.delete(name)
    const byTarget = new Map<string, EndpointView[]>()
    for (const placement of placements) this.#addPlacement(placement, byTarget)
    this.#targets = new Map([...byTarget].map(([target, views]) => [target, buildIndex(views)]))
  }

  /** Records that a request of `tier` was dispatched to the endpoint. */
  recordDispatch (name: string, tier: Tier): void {
    this.#updateUnreportedCount(name, tier, 1)
  }

  /** Records the first message about a dispatched request and the load it carried. `load` is null if the endpoint was lost. */
  recordFirstReport (name: string, tier: Tier, load: EndpointLoad | null, nowMs: number): void {
    this.#updateUnreportedCount(name, tier, -1)
    if (load !== null) this.recordLoad(name, load, nowMs)
  }

  /** Records a load carried by any other message. */
  recordLoad (name: string, load: EndpointLoad, nowMs: number): void {
    const view = this.#views.get(name)
    if (view === undefined) return
    view.load = load
    view.reportedAtMs = nowMs
    view.draining = load.draining || view.listedLeaving
  }

  /** Records that the endpoint refused or displaced a request of `tier` and asked for no more offers for `retryAfterMs`. */
  recordRefusal (name: string, tier: Tier, retryAfterMs: number, nowMs: number): void {
    const view = this.#views.get(name)
    if (view === undefined) return
    const isStillRefusing = nowMs < view.refusedUntilMs && view.refusedTier > 0
    view.refusedTier = isStillRefusing ? Math.min(view.refusedTier, tier) : tier
    view.refusedUntilMs = nowMs + retryAfterMs
  }

  /** Records the measured milliseconds from start to first token. */
  recordFirstToken (name: string, milliseconds: number): void {
    const view = this.#views.get(name)
    if (view !== undefined) view.firstTokenMs = computeSmoothed(view.firstTokenMs, milliseconds)
  }

  /** Records the milliseconds from start to end of a complete answer. Resets the failure count. */
  recordAnswer (name: string, milliseconds: number): void {
    const view = this.#views.get(name)
    if (view === undefined) return
    view.answerMs = computeSmoothed(view.answerMs, milliseconds)
    view.failures = 0
    view.ejectedUntilMs = 0
  }

  /** Records a crash, a broken connection or an idle timeout. Each consecutive failure doubles the ejection time. */
  recordFailure (name: string, nowMs: number): void {
    const view = this.#views.get(name)
    if (view === undefined) return
    view.failures += 1
    view.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** (view.failures - 1))
  }

  /** Records whether the platform lists the endpoint as leaving. A listed endpoint gets no offers, whatever its own load reports. */
  recordListedLeaving (name: string, isLeaving: boolean): void {
    const view = this.#views.get(name)
    if (view === undefined) return
    view.listedLeaving = isLeaving
    view.draining = isLeaving || (view.load?.draining ?? false)
  }

  #addPlacement (placement: EndpointPlacement, byTarget: Map<string, EndpointView[]>): void {
    const view = this.#views.get(placement.name) ?? buildView(placement)
    view.domain = placement.domain
    this.#views.set(placement.name, view)
    for (const target of placement.targets) {
      const views = byTarget.get(target) ?? []
      views.push(view)
      byTarget.set(target, views)
    }
  }

  #updateUnreportedCount (name: string, tier: Tier, change: number): void {
    const sent = this.#views.get(name)?.sentSince
    if (sent === undefined) return
    const index = tier - MIN_TIER
    sent[index] = Math.max(0, (sent[index] ?? 0) + change)
  }
}

function buildIndex (views: EndpointView[]): TargetIndex {
  return { views, ring: new ConsistentHashRing(views.map(view => view.name)) }
}

function buildView (placement: EndpointPlacement): EndpointView {
  return {
    name: placement.name,
    domain: placement.domain,
    load: null,
    reportedAtMs: 0,
    sentSince: new Array<number>(MAX_TIER).fill(0),
    failures: 0,
    ejectedUntilMs: 0,
    draining: false,
    listedLeaving: false,
    firstTokenMs: 0,
    answerMs: 0,
    refusedTier: 0,
    refusedUntilMs: 0
  }
}

function computeSmoothed (known: number, measured: number): number {
  return known === 0 ? measured : known + DURATION_SMOOTHING * (measured - known)
}
