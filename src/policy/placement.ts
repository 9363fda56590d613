import { chooseDirectEndpoint, countTokens, findSharedPart, HOLDER_COUNT, updateRoom } from './directChooser'
import { PREFILL_TOKENS_PER_MS } from './engineRates'
import { computeLatestStart } from './latestStart'
import { PromptSizes } from './promptSizes'
import { isAvailable } from './quietTime'

import type { DirectChoice, PlannedTokens, RoomOptions } from './directChooser'
import type { EndpointDirectory } from './endpointDirectory'
import type { LoadBoard } from './loadBoard'
import type { PromptPart } from './prefixMemory'

/** What the placement needs to know of a request. */
export interface PlacedRequest {
  service: string
  /** Parts of the prompt in order; the last one is the request's own. Empty for a plain service. */
  promptParts: readonly PromptPart[]
  targetMs: number
  arrivedAtMs: number
}

export interface PlacementOptions {
  directory: EndpointDirectory
  /** What the other gateways have at the endpoints. */
  loads: LoadBoard
  /** Connections that each endpoint of a service accepts, from all gateways together. */
  getMaxConnections: (service: string) => number
  random: () => number
}

/** A prompt whose first event came. */
export interface FirstEvent {
  sentAtMs: number
  /** Tightest target of the service's routes. */
  targetMs: number
  /** Whether requests wait for room, so that a larger limit would be used. */
  isWanted: boolean
  nowMs: number
}

/** Time for which a request that waits keeps to the endpoint it chose: short beside every target. */
const CHOICE_KEPT_MS = 40

/**
 * Where requests of one gateway go: chooses an endpoint for each, and keeps count of what is at the
 * endpoints and how soon they read it.
 *
 * @example
 * const place = placement.open(request, tried, placement.computeDueAt(request))
 * const choice = place(planned, nowMs)
 * if (choice?.hasRoom === true) placement.take(choice, request.promptParts, nowMs)
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

  /** Computes the latest time at which a request can start and be on time. */
  computeDueAt ({ service, promptParts, arrivedAtMs, targetMs }: PlacedRequest): number {
    const tokens = countOwnTokens(promptParts)
    const usualAnswerMs = tokens > 0 ? 0 : this.#options.directory.getUsualAnswerMs(service)
    return computeLatestStart({ arrivedAtMs, targetMs, tokens, usualAnswerMs })
  }

  /** Returns the choice of a waiting request, to be asked each time room may have come free; it is late from `dueAtMs` on. */
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

  /** Records that a request goes to the endpoint chosen for it. */
  take ({ endpoint, unreadTokens }: DirectChoice, promptParts: readonly PromptPart[], nowMs: number): void {
    endpoint.prefixes.record(promptParts, nowMs)
    endpoint.inFlight += 1
    endpoint.pendingTokens += unreadTokens
  }

  /** Records that the request was not sent after all. */
  release ({ endpoint, unreadTokens }: DirectChoice): void {
    endpoint.inFlight -= 1
    endpoint.pendingTokens -= unreadTokens
  }

  /** Records that the endpoint has read the prompt: how long it waited there, without the time to read it. */
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
      // a prompt smaller than most that is late goes where it can start, lest larger ones begin before it
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

  /** This gateway's share of the connections that an endpoint accepts from all. */
  #getMaxInFlight (service: string): number {
    const { getMaxConnections, loads } = this.#options
    return Math.max(1, Math.floor(getMaxConnections(service) / loads.gatewayCount))
  }

  #isUsable ({ endpoint }: DirectChoice, nowMs: number): boolean {
    return this.#options.directory.isReady(endpoint) && isAvailable(endpoint, nowMs)
  }
}

/** Counts the tokens of the part that no other request shares. */
export function countOwnTokens (promptParts: readonly PromptPart[]): number {
  return promptParts.at(-1)?.tokens ?? 0
}
