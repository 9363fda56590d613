import { chooseDirectEndpoint, countTokens, findDeepestSharedPart, updateCapacity } from './directChooser'
import { RateMeter } from './engines/rateMeter'
import { computeLatestStart } from './latestStart'
import { HOME_ENDPOINT_COUNT } from './prefixes/prefixBelief'
import { computeTransferTokensPerMs } from './prefixes/prefixSource'
import { PromptSizes } from './promptSizes'
import { isAvailable } from './endpointAvailability'

import type { EngineCapacity } from '../config/routingConfig'
import type { DirectChoice, QueuedTokens, CapacityOptions } from './directChooser'
import type { DirectEndpoint } from './directEndpoint'
import type { EndpointDirectory } from './endpointDirectory'
import type { RateChange } from './engines/rateMeter'
import type { PeerLoadTable } from './peerLoadTable'
import type { PromptPart } from './prefixCacheEstimate'
import type { PermitState } from './sendPermits'
import type { VersionChoice } from './versionChoice'

/** The request properties that placement depends on. */
export interface PlacementRequest {
  service: string
  /** Prompt parts in order. The last part is unique to the request. Empty for a plain service. */
  promptParts: readonly PromptPart[]
  targetMs: number
  arrivedAtMs: number
}

/** What a request's choice of an endpoint depends on beside the request. */
export interface ChooserOptions {
  /** Endpoints at which the request was tried. */
  triedIds: ReadonlySet<string>
  /** Time from which on the request is late. */
  latestStartAtMs: number
  /** Returns the software version of the endpoints that may serve the request now. */
  findVersion: () => VersionChoice
}

export interface PlacementOptions {
  directory: EndpointDirectory
  /** Load of the peer gateways at each endpoint. */
  loads: PeerLoadTable
  /** Returns the connections that each endpoint of a service accepts from all gateways together. */
  getMaxConnections: (service: string) => number
  /** Returns the capacity of the engines of a service that may fetch prompt parts from one another; null where none may. */
  getEngine: (service: string) => EngineCapacity | null
  /** Returns whether the limit that an endpoint names allows this gateway to send to it now. */
  getPermit: (endpoint: DirectEndpoint) => PermitState
  /** Returns whether the endpoint is still the process that the list of endpoints says. */
  isListedProcess: (endpoint: DirectEndpoint) => boolean
  /** Returns whether the configuration says that a service's endpoints are engines, whose rates are learned. */
  isEngine?: (service: string) => boolean
  /** Called when the rate of an endpoint has changed notably. */
  handleRateChange?: (change: RateChange) => void
  random: () => number
}

/** Timing of a prompt whose first event arrived. */
export interface FirstEventSample {
  promptParts: readonly PromptPart[]
  sentAtMs: number
  /** Tightest target of the service's routes, in milliseconds. */
  targetMs: number
  /** Whether requests are queued, so that a larger limit would be used. */
  hasQueuedRequests: boolean
  nowMs: number
}

/** Milliseconds for which a queued request reuses its chosen endpoint. Short compared with every target. */
const CHOICE_REUSE_MS = 40

/**
 * Chooses an endpoint for each request of one gateway. Tracks the requests and prompt tokens at each
 * endpoint and how long its prefill queue delays them.
 *
 * @example
 * const choose = placement.createChooser(request, { triedIds, latestStartAtMs: placement.computeLatestStartAt(request), findVersion: () => ({ kind: 'any' }) })
 * const choice = choose(queuedTokens, nowMs)
 * if (choice?.hasCapacity === true) placement.reserve(choice, request.promptParts, nowMs)
 */
export class Placement {
  readonly #options: PlacementOptions
  readonly #sizes = new PromptSizes()
  readonly #rates: RateMeter

  constructor (options: PlacementOptions) {
    this.#options = options
    const { directory, loads } = options
    this.#rates = new RateMeter({
      isEngine: service => options.isEngine?.(service) === true,
      listEndpoints: service => directory.listReady(service),
      getPeerLoad: id => loads.getPeerLoad(id),
      handleChange: change => options.handleRateChange?.(change)
    })
  }

  /** Records that a request arrived. */
  recordArrival ({ service, promptParts }: PlacementRequest): void {
    this.#sizes.record(service, countTokens(promptParts), countUniqueTokens(promptParts))
  }

  /** Computes the latest feasible start of a request: the last time at which it can start and meet its target. */
  computeLatestStartAt ({ service, promptParts, arrivedAtMs, targetMs }: PlacementRequest): number {
    const tokens = countUniqueTokens(promptParts)
    const typicalAnswerMs = tokens > 0 ? 0 : this.#options.directory.getTypicalAnswerMs(service)
    return computeLatestStart({ arrivedAtMs, targetMs, tokens, tokensPerMs: this.#options.directory.getPrefillTokensPerMs(service), typicalAnswerMs })
  }

  /** Computes how long the prefill of the unshared part of a prompt takes. */
  computePrefillMs ({ service, promptParts }: Pick<PlacementRequest, 'service' | 'promptParts'>): number {
    return countUniqueTokens(promptParts) / this.#options.directory.getPrefillTokensPerMs(service)
  }

  /**
   * Creates a function that chooses the endpoint of a queued request. Call it whenever capacity may
   * have become free.
   */
  createChooser (request: PlacementRequest, options: ChooserOptions): (queuedTokens: QueuedTokens, nowMs: number) => DirectChoice | null {
    let choice: DirectChoice | null = null
    let chosenAtMs = -Infinity
    return (queuedTokens, nowMs) => {
      const capacityOptions = this.#buildCapacityOptions(request.service, nowMs >= options.latestStartAtMs, queuedTokens, nowMs)
      if (choice !== null && nowMs - chosenAtMs < CHOICE_REUSE_MS && this.#isUsable(choice, nowMs)) choice = updateCapacity(choice, capacityOptions)
      else {
        choice = this.#choose(request, options, capacityOptions)
        chosenAtMs = nowMs
      }
      return choice
    }
  }

  /** Reserves capacity at the chosen endpoint for a request that is about to be sent. */
  reserve (choice: DirectChoice, promptParts: readonly PromptPart[], nowMs: number): void {
    const { endpoint, unreadTokens: uncachedTokens } = choice
    this.#rates.recordSend(choice, promptParts)
    endpoint.prefixCache.record(promptParts, nowMs)
    endpoint.inFlight += 1
    endpoint.recentSends.add(nowMs)
    endpoint.pendingTokens += uncachedTokens
  }

  /** Releases the capacity of a request that was not sent. */
  release ({ endpoint, unreadTokens: uncachedTokens }: DirectChoice): void {
    endpoint.inFlight -= 1
    endpoint.pendingTokens -= uncachedTokens
  }

  /** Records the first event of a prompt: how long the prompt waited at the endpoint, excluding its own prefill time. */
  recordFirstEvent (choice: DirectChoice, { promptParts, sentAtMs, targetMs, hasQueuedRequests, nowMs }: FirstEventSample): void {
    const { endpoint, unreadTokens: uncachedTokens } = choice
    this.#rates.recordFirstEvent(choice, nowMs - sentAtMs, nowMs)
    // only a fetch asks which endpoints have read the parts
    if (this.#options.getEngine(endpoint.entry.service) !== null) endpoint.prefixCache.recordRead(promptParts, nowMs)
    if (uncachedTokens === 0) return
    const delayMs = nowMs - sentAtMs - uncachedTokens / endpoint.prefillRate.tokensPerMs
    endpoint.prefillLimit.recordPrefillDelay({ delayMs, targetMs, hasQueuedRequests, nowMs })
  }

  /** Records that a request ended without an event. The source that it should fetch the beginning of its prompt from may be the cause. */
  recordFetchFailure ({ prefixSource }: DirectChoice, nowMs: number): void {
    if (prefixSource !== null) prefixSource.endpoint.fetchFailedAtMs = nowMs
  }

  #choose ({ service, promptParts, targetMs, arrivedAtMs }: PlacementRequest, { triedIds, findVersion }: ChooserOptions, capacityOptions: CapacityOptions): DirectChoice | null {
    const choice = findVersion()
    if (choice.kind === 'unknown') return null
    const version = choice.kind === 'version' ? choice.version : null
    const { directory, random } = this.#options
    const endpoints = directory.listReady(service, version)
    const sharedPart = findDeepestSharedPart(promptParts)
    const tokens = countTokens(promptParts)
    const size = this.#sizes.getSize(service, tokens)
    return chooseDirectEndpoint({ service, promptParts, size }, version === null ? endpoints : endpoints.filter(endpoint => this.#options.isListedProcess(endpoint)), {
      ...capacityOptions,
      excludedIds: triedIds,
      homeEndpoints: sharedPart === null ? [] : directory.listHomeEndpoints({ service, version }, sharedPart.id, size, HOME_ENDPOINT_COUNT),
      transferTokensPerMs: computeTransferTokensPerMs(this.#options.getEngine(service)),
      reservedIds: directory.getReservedIds(service, version),
      // a late prompt that is smaller than the mean goes where it can start, so that larger ones do not start before it
      prefersCapacity: capacityOptions.nowMs - arrivedAtMs > targetMs && this.#sizes.isBelowMean(service, tokens),
      random
    })
  }

  #buildCapacityOptions (service: string, isLate: boolean, queuedTokens: QueuedTokens, nowMs: number): CapacityOptions {
    const { loads, getPermit } = this.#options
    this.#rates.updateFactors(service, nowMs)
    return {
      queuedTokens,
      getPeerLoad: id => loads.getPeerLoad(id),
      getPermit,
      maxInFlight: this.#getMaxInFlight(service, nowMs),
      meanUniqueTokens: this.#sizes.getMeanUniqueTokens(service),
      isLate,
      nowMs
    }
  }

  /** Returns this gateway's share of the connections that an endpoint accepts from all gateways. */
  #getMaxInFlight (service: string, nowMs: number): number {
    const { getMaxConnections, loads } = this.#options
    return Math.max(1, Math.floor(getMaxConnections(service) / loads.getFleetSize(nowMs)))
  }

  #isUsable ({ endpoint }: DirectChoice, nowMs: number): boolean {
    return this.#options.directory.isReady(endpoint) && isAvailable(endpoint, this.#options.getPermit(endpoint), nowMs)
  }
}

/** Counts the tokens of the last prompt part, which no other request shares. */
export function countUniqueTokens (promptParts: readonly PromptPart[]): number {
  return promptParts.at(-1)?.tokens ?? 0
}
