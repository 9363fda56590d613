import { chooseDirectEndpoint, countTokens, findSharedPart, HOLDER_COUNT, updateRoom } from './directChooser'
import { PREFILL_TOKENS_PER_MS } from './engineRates'
import { computeLatestStart } from './latestStart'
import { PromptSizes } from './promptSizes'
import { isAvailable } from './quietTime'

import type { DirectChoice, PlannedTokens, RoomOptions } from './directChooser'
import type { EndpointDirectory } from './endpointDirectory'
import type { LoadBoard } from './loadBoard'
import type { PromptPart } from './prefixMemory'

/** The request properties that placement depends on. */
export interface PlacedRequest {
  service: string
  /** Prompt parts in order. The last part is unique to the request. Empty for a plain service. */
  promptParts: readonly PromptPart[]
  targetMs: number
  arrivedAtMs: number
}

export interface PlacementOptions {
  directory: EndpointDirectory
  /** Load of the peer gateways at each endpoint. */
  loads: LoadBoard
  /** Returns the connections that each endpoint of a service accepts from all gateways together. */
  getMaxConnections: (service: string) => number
  random: () => number
}

/** Timing of a prompt whose first event arrived. */
export interface FirstEvent {
  sentAtMs: number
  /** Tightest target of the service's routes, in milliseconds. */
  targetMs: number
  /** Whether requests are queued, so that a larger limit would be used. */
  isWanted: boolean
  nowMs: number
}

/** Milliseconds for which a queued request reuses its chosen endpoint. Short compared with every target. */
const CHOICE_KEPT_MS = 40

/**
 * Chooses an endpoint for each request of one gateway. Tracks the requests and prompt tokens at each
 * endpoint and how long its prefill queue delays them.
 *
 * @example
 * const choose = placement.createChooser(request, triedIds, placement.computeLatestStartAt(request))
 * const choice = choose(queuedTokens, nowMs)
 * if (choice?.hasCapacity === true) placement.reserve(choice, request.promptParts, nowMs)
 */
export class Placement {
  readonly #options: PlacementOptions
  readonly #sizes = new PromptSizes()

  constructor (options: PlacementOptions) {
    this.#options = options
  }

  /** Records that a request arrived. */
  recordArrival ({ service, promptParts }: PlacedRequest): void {
    this.#sizes.record(service, countTokens(promptParts), countOwnTokens(promptParts))
  }

  /** Computes the latest feasible start of a request: the last time at which it can start and meet its target. */
  computeDueAt ({ service, promptParts, arrivedAtMs, targetMs }: PlacedRequest): number {
    const tokens = countOwnTokens(promptParts)
    const usualAnswerMs = tokens > 0 ? 0 : this.#options.directory.getUsualAnswerMs(service)
    return computeLatestStart({ arrivedAtMs, targetMs, tokens, usualAnswerMs })
  }

  /**
   * Creates a function that chooses the endpoint of a queued request. Call it whenever capacity may
   * have become free. The request counts as late from `latestStartAtMs` on.
   */
  open (request: PlacedRequest, tried: ReadonlySet<string>, dueAtMs: number): (planned: PlannedTokens, nowMs: number) => DirectChoice | null {
    let best: DirectChoice | null = null
    let chosenAtMs = -Infinity
    return (planned, nowMs) => {
      const room = this.#buildRoom(request.service, nowMs >= dueAtMs, planned, nowMs)
      if (best !== null && nowMs - chosenAtMs < CHOICE_KEPT_MS && this.#isUsable(best, nowMs)) best = updateRoom(best, room)
      else {
        best = this.#choose(request, tried, room)
        chosenAtMs = nowMs
      }
      return best
    }
  }

  /** Reserves capacity at the chosen endpoint for a request that is about to be sent. */
  take ({ endpoint, unreadTokens }: DirectChoice, promptParts: readonly PromptPart[], nowMs: number): void {
    endpoint.prefixes.record(promptParts, nowMs)
    endpoint.inFlight += 1
    endpoint.pendingTokens += unreadTokens
  }

  /** Releases the capacity of a request that was not sent. */
  release ({ endpoint, unreadTokens }: DirectChoice): void {
    endpoint.inFlight -= 1
    endpoint.pendingTokens -= unreadTokens
  }

  /** Records the first event of a prompt: how long the prompt waited at the endpoint, excluding its own prefill time. */
  recordFirst ({ endpoint, unreadTokens }: DirectChoice, { sentAtMs, targetMs, isWanted, nowMs }: FirstEvent): void {
    if (unreadTokens === 0) return
    const delayMs = nowMs - sentAtMs - unreadTokens / PREFILL_TOKENS_PER_MS
    endpoint.readLimit.recordFirst({ delayMs, targetMs, isWanted, nowMs })
  }

  #choose ({ service, promptParts, targetMs, arrivedAtMs }: PlacedRequest, tried: ReadonlySet<string>, room: RoomOptions): DirectChoice | null {
    const { directory, random } = this.#options
    const shared = findSharedPart(promptParts)
    const tokens = countTokens(promptParts)
    const size = this.#sizes.getSize(service, tokens)
    return chooseDirectEndpoint({ service, promptParts, size }, directory.listReady(service), {
      ...room,
      excluded: tried,
      holders: shared === null ? [] : directory.listHolders(service, shared.id, size, HOLDER_COUNT),
      reservedIds: directory.getReservedIds(service),
      // a late prompt that is smaller than the mean goes where it can start, so that larger ones do not start before it
      needsRoom: room.nowMs - arrivedAtMs > targetMs && this.#sizes.isBelowMean(service, tokens),
      random
    })
  }

  #buildRoom (service: string, isLate: boolean, planned: PlannedTokens, nowMs: number): RoomOptions {
    const { loads } = this.#options
    return {
      planned,
      getOthers: id => loads.getOthers(id),
      maxInFlight: this.#getMaxInFlight(service),
      meanTokens: this.#sizes.getOwnMean(service),
      isLate,
      nowMs
    }
  }

  /** Returns this gateway's share of the connections that an endpoint accepts from all gateways. */
  #getMaxInFlight (service: string): number {
    const { getMaxConnections, loads } = this.#options
    return Math.max(1, Math.floor(getMaxConnections(service) / loads.gatewayCount))
  }

  #isUsable ({ endpoint }: DirectChoice, nowMs: number): boolean {
    return this.#options.directory.isReady(endpoint) && isAvailable(endpoint, nowMs)
  }
}

/** Counts the tokens of the last prompt part, which no other request shares. */
export function countOwnTokens (promptParts: readonly PromptPart[]): number {
  return promptParts.at(-1)?.tokens ?? 0
}
