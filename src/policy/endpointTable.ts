import { MAX_TIER, MIN_TIER } from '../protocol/tiers'
import { ConsistentHashRing } from './consistentHashRing'

import type { EndpointLoad } from '../protocol/attemptMessages'
import type { Tier } from '../protocol/tiers'
import type { EndpointView } from './endpointView'

/** Where an endpoint stands and what it serves: model names, or the name of a plain service. */
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
 * What one gateway knows of the endpoints, by what they serve. It holds no timers and does no
 * I/O: its owner records what happened, with the time, and reads views for the choice.
 *
 * @example
 * const table = new EndpointTable()
 * table.setPlacements([{ name: 'engine-1', domain: 'a', targets: ['small-model'] }])
 * table.recordSent('engine-1', 2)
 * table.recordReport('engine-1', 2, load, nowMs)
 * table.getViews('small-model')
 */
export class EndpointTable {
  readonly #views = new Map<string, EndpointView>()
  #targets = new Map<string, TargetIndex>()

  /** Gets the endpoints that serve `target`. */
  getViews (target: string): readonly EndpointView[] {
    return this.#targets.get(target)?.views ?? NO_VIEWS
  }

  /** Gets one endpoint by name. */
  getView (name: string): EndpointView | undefined {
    return this.#views.get(name)
  }

  /** Lists every endpoint, for a dump of the state. */
  listViews (): EndpointView[] {
    return [...this.#views.values()]
  }

  /** Finds the endpoints that should hold `prefix` in their cache, the preferred one first. */
  findAffinityEndpoints (target: string, prefix: string): EndpointView[] {
    const names = this.#targets.get(target)?.ring.findOwners(prefix, AFFINITY_ENDPOINTS_PER_PREFIX) ?? []
    return names.map(name => this.#views.get(name) as EndpointView)
  }

  /** Sets where the endpoints stand; what is known of those that stay is kept. */
  setPlacements (placements: readonly EndpointPlacement[]): void {
    const kept = new Set(placements.map(placement => placement.name))
    for (const name of this.#views.keys()) if (!kept.has(name)) this.#views.delete(name)
    const byTarget = new Map<string, EndpointView[]>()
    for (const placement of placements) this.#addPlacement(placement, byTarget)
    this.#targets = new Map([...byTarget].map(([target, views]) => [target, buildIndex(views)]))
  }

  /** Records that a request of `tier` was sent to the endpoint. */
  recordDispatch (name: string, tier: Tier): void {
    this.#updateUnreportedCount(name, tier, 1)
  }

  /** Records the first message about a sent request, with the load that it carried; null when the endpoint was lost. */
  recordFirstReport (name: string, tier: Tier, load: EndpointLoad | null, nowMs: number): void {
    this.#updateUnreportedCount(name, tier, -1)
    if (load !== null) this.recordLoad(name, load, nowMs)
  }

  /** Records a load that came on any other message. */
  recordLoad (name: string, load: EndpointLoad, nowMs: number): void {
    const view = this.#views.get(name)
    if (view === undefined) return
    view.load = load
    view.reportedAtMs = nowMs
    view.draining = load.draining || view.listedLeaving
  }

  /** Records that the endpoint refused or displaced a request of `tier` and asked not to be offered more for a time. */
  recordRefusal (name: string, tier: Tier, retryAfterMs: number, nowMs: number): void {
    const view = this.#views.get(name)
    if (view === undefined) return
    const isStillRefusing = nowMs < view.refusedUntilMs && view.refusedTier > 0
    view.refusedTier = isStillRefusing ? Math.min(view.refusedTier, tier) : tier
    view.refusedUntilMs = nowMs + retryAfterMs
  }

  /** Records the measured time from start to first token. */
  recordFirstToken (name: string, milliseconds: number): void {
    const view = this.#views.get(name)
    if (view !== undefined) view.firstTokenMs = computeSmoothed(view.firstTokenMs, milliseconds)
  }

  /** Records a whole answer and the time from its start to its end; it ends a row of failures. */
  recordAnswer (name: string, milliseconds: number): void {
    const view = this.#views.get(name)
    if (view === undefined) return
    view.answerMs = computeSmoothed(view.answerMs, milliseconds)
    view.failures = 0
    view.ejectedUntilMs = 0
  }

  /** Records a crash, a cut connection or a silence; each in a row doubles the time for which the endpoint comes last. */
  recordFailure (name: string, nowMs: number): void {
    const view = this.#views.get(name)
    if (view === undefined) return
    view.failures += 1
    view.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** (view.failures - 1))
  }

  /** Records whether the platform lists the endpoint as leaving; it is then offered nothing, whatever it says itself. */
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
