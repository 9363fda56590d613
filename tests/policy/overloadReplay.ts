import { DispatchQueue } from '../../src/policy/dispatchQueue'
import { startWaiting } from '../../src/policy/dispatchPass'
import { EndpointDirectory } from '../../src/policy/endpointDirectory'
import { LoadBoard } from '../../src/policy/loadBoard'
import { Placement } from '../../src/policy/placement'
import { createSeededRandom } from '../../standins/shared/seededRandom'
import { buildEntry } from './directFixtures'
import { EngineModel } from './engineModel'

import type { DirectChoice } from '../../src/policy/directChooser'
import type { PassRequest } from '../../src/policy/dispatchPass'
import type { PlacedRequest } from '../../src/policy/placement'
import type { PromptPart } from '../../src/policy/prefixMemory'
import type { EngineSpeed } from './engineModel'

/** One kind of request of a load. */
export interface ReplayKind {
  name: string
  rank: number
  perSecond: number
  targetMs: number
  /** Longest pause between two events with which an answer is on time. */
  pauseMs: number
  patienceMs: number
  /** Tokens and number of different parts, from the one that most requests share on. */
  sharedParts: Array<{ tokens: number, count: number }>
  /** Mean and standard deviation of the logarithm of the request's own tokens. */
  ownTokens: { mean: number, sigma: number, max: number }
  outputTokens: number
  /** Part of the worth that a late answer has. */
  lateShare: number
}

export interface Replay {
  gateways: number
  engines: number
  speed: EngineSpeed
  kinds: ReplayKind[]
  /** Milliseconds for which requests arrive. */
  lengthMs: number
  seed: number
}

export interface ReplayCount {
  asked: number
  inTime: number
  late: number
  /** Refused without a start. */
  refused: number
  /** What the requests and their answers are worth by the size of their prompts: all, and the largest ones. */
  worth: { owed: number, earned: number }
  largest: { owed: number, earned: number, asked: number, served: number }
}

export interface ReplayResult {
  kinds: Map<string, ReplayCount>
  /** Part of the time in which engines worked, and prompt tokens that they read in a millisecond of work. */
  busyShare: number
  readTokens: number
}

interface Waiting extends PassRequest {
  refuse: () => void
  start: (choice: DirectChoice) => void
}

interface Gateway {
  queue: DispatchQueue<Waiting>
  board: LoadBoard
  directory: EndpointDirectory
  placement: Placement
}

const SERVICE = 'engines'
const PASS_MS = 5
const EXCHANGE_MS = 200
const TIGHTEST_TARGET_MS = 150
/** One way between two processes. */
const WAY_MS = 1

/** Plays a load through the placement of some gateways, on a virtual clock. */
export function playOverload (replay: Replay): ReplayResult {
  return new OverloadReplay(replay).play()
}

class OverloadReplay {
  readonly #replay: Replay
  readonly #random: () => number
  readonly #gateways: Gateway[]
  readonly #engines = new Map<string, EngineModel>()
  readonly #counts = new Map<string, ReplayCount>()
  readonly #events: Array<{ atMs: number, run: () => void }> = []
  readonly #stepping = new Set<string>()
  #nowMs = 0
  #requests = 0

  constructor (replay: Replay) {
    this.#replay = replay
    this.#random = createSeededRandom(replay.seed)
    const entries = Array.from({ length: replay.engines }, (_, index) => buildEntry(`engine-${index}`, { slots: replay.speed.slots }))
    for (const { id } of entries) this.#engines.set(id, new EngineModel(replay.speed))
    this.#gateways = Array.from({ length: replay.gateways }, () => {
      const directory = new EndpointDirectory()
      directory.applyList(entries, { afterOutage: false, nowMs: 0 })
      const board = new LoadBoard()
      const placement = new Placement({ directory, loads: board, getMaxConnections: () => Infinity, random: this.#random })
      return { queue: new DispatchQueue<Waiting>(), board, directory, placement }
    })
  }

  play (): ReplayResult {
    const { kinds, lengthMs } = this.#replay
    for (const kind of kinds) {
      this.#counts.set(kind.name, { asked: 0, inTime: 0, late: 0, refused: 0, worth: { owed: 0, earned: 0 }, largest: { owed: 0, earned: 0, asked: 0, served: 0 } })
      for (let atMs = this.#sampleGap(kind); atMs < lengthMs; atMs += this.#sampleGap(kind)) this.#schedule(atMs, () => this.#handleArrival(kind))
    }
    const endMs = lengthMs + Math.max(...kinds.map(kind => kind.patienceMs)) + 1000
    for (let atMs = 0; atMs < endMs; atMs += PASS_MS) this.#schedule(atMs, () => this.#runPasses())
    this.#gateways.forEach((_, index) => {
      const offsetMs = EXCHANGE_MS * this.#random()
      for (let atMs = offsetMs; atMs < endMs; atMs += EXCHANGE_MS) this.#schedule(atMs, () => this.#reportLoads(index))
    })
    while (this.#events.length > 0) {
      const { atMs, run } = this.#takeEvent()
      this.#nowMs = atMs
      run()
    }
    const engines = [...this.#engines.values()]
    return {
      kinds: this.#counts,
      busyShare: engines.reduce((sum, engine) => sum + engine.busyMs, 0) / (engines.length * lengthMs),
      readTokens: engines.reduce((sum, engine) => sum + engine.readTokens, 0)
    }
  }

  #handleArrival (kind: ReplayKind): void {
    const count = this.#counts.get(kind.name)!
    const nowMs = this.#nowMs
    const gateway = this.#gateways[Math.floor(this.#random() * this.#gateways.length)]!
    const promptParts = this.#samplePrompt(kind)
    const request: PlacedRequest = { service: SERVICE, promptParts, targetMs: kind.targetMs, arrivedAtMs: nowMs }
    const isLargest = promptParts.at(-1)!.tokens > kind.ownTokens.mean * 2.2
    const worth = computeWorth(kind, promptParts)
    count.asked += 1
    count.worth.owed += worth
    if (isLargest) count.largest.asked += 1
    if (isLargest) count.largest.owed += worth
    gateway.placement.recordArrival(request)
    const dueAtMs = gateway.placement.computeDueAt(request)
    const place = gateway.placement.open(request, new Set(), dueAtMs)
    gateway.queue.add({
      id: String(this.#requests),
      rank: kind.rank,
      tokens: promptParts.at(-1)!.tokens,
      dueAtMs,
      expiresAtMs: nowMs + kind.patienceMs,
      choose: planned => place(planned, this.#nowMs),
      take: choice => gateway.placement.take(choice, promptParts, this.#nowMs),
      refuse: () => { count.refused += 1 },
      start: choice => this.#send(gateway, kind, request, choice, isLargest)
    })
  }

  #send (gateway: Gateway, kind: ReplayKind, request: PlacedRequest, choice: DirectChoice, isLargest: boolean): void {
    const { endpoint, unreadTokens } = choice
    const sentAtMs = this.#nowMs
    const count = this.#counts.get(kind.name)!
    let firstAtMs = 0
    const handleFirst = () => {
      firstAtMs = this.#nowMs
      endpoint.pendingTokens -= unreadTokens
      endpoint.heardAtMs = this.#nowMs
      gateway.placement.recordFirst(choice, { sentAtMs, targetMs: TIGHTEST_TARGET_MS, isWanted: gateway.queue.size > 0, nowMs: this.#nowMs })
    }
    const handleEnd = (longestPauseMs: number) => {
      endpoint.inFlight -= 1
      const elapsedMs = firstAtMs + WAY_MS - request.arrivedAtMs
      const isServed = elapsedMs <= kind.patienceMs
      const isInTime = elapsedMs <= kind.targetMs && longestPauseMs <= kind.pauseMs
      const earned = (isInTime ? 1 : isServed ? kind.lateShare : 0) * computeWorth(kind, request.promptParts)
      if (isInTime) count.inTime += 1
      else if (isServed) count.late += 1
      count.worth.earned += earned
      if (isLargest) count.largest.earned += earned
      if (isLargest && isServed) count.largest.served += 1
    }
    const job = {
      rank: kind.rank,
      promptParts: request.promptParts,
      outputTokens: kind.outputTokens,
      handleFirst: (atMs: number) => this.#schedule(atMs + WAY_MS, handleFirst),
      handleEnd: (atMs: number, longestPauseMs: number) => this.#schedule(atMs + WAY_MS, () => handleEnd(longestPauseMs))
    }
    this.#schedule(sentAtMs + WAY_MS, () => {
      this.#engines.get(endpoint.entry.id)!.add(job)
      this.#runEngine(endpoint.entry.id)
    })
  }

  #runEngine (id: string): void {
    if (this.#stepping.has(id)) return
    const engine = this.#engines.get(id)!
    if (engine.isIdle) return
    this.#stepping.add(id)
    this.#schedule(this.#nowMs + engine.runStep(this.#nowMs), () => {
      this.#stepping.delete(id)
      this.#runEngine(id)
    })
  }

  #runPasses (): void {
    for (const { queue } of this.#gateways) {
      if (queue.size === 0) continue
      for (const expired of queue.takeExpired(this.#nowMs)) expired.refuse()
      startWaiting(queue, this.#nowMs, (waiting, choice) => waiting.start(choice))
    }
  }

  /** Each gateway hears of the others once in a while, through one of them. */
  #reportLoads (index: number): void {
    const { board, directory } = this.#gateways[index]!
    const report = new Map(directory.listAll().filter(({ inFlight }) => inFlight > 0).map(({ entry, inFlight, pendingTokens, heardAtMs }) => [entry.id, { inFlight, pendingTokens, heardAtMs }]))
    this.#gateways.forEach((other, otherIndex) => {
      if (otherIndex === index) return
      this.#schedule(this.#nowMs + EXCHANGE_MS * this.#random(), () => other.board.record(`gateway-${index}`, report, this.#nowMs))
    })
    board.expire(this.#nowMs)
  }

  #samplePrompt ({ sharedParts, ownTokens, name }: ReplayKind): PromptPart[] {
    this.#requests += 1
    const shared = sharedParts.map(({ tokens, count }, depth) => ({ id: `${name}-${depth}-${Math.floor(this.#random() * count)}`, tokens }))
    const { mean, sigma, max } = ownTokens
    const normal = Math.sqrt(-2 * Math.log(1 - this.#random())) * Math.cos(2 * Math.PI * this.#random())
    const tokens = Math.max(16, Math.min(max, Math.round(mean * Math.exp(sigma * normal - sigma * sigma / 2))))
    return [...shared, { id: `own-${this.#requests}`, tokens }]
  }

  #sampleGap ({ perSecond }: ReplayKind): number {
    return -Math.log(1 - this.#random()) * 1000 / perSecond
  }

  #schedule (atMs: number, run: () => void): void {
    const heap = this.#events
    heap.push({ atMs, run })
    for (let index = heap.length - 1; index > 0;) {
      const parent = (index - 1) >> 1
      if (heap[parent]!.atMs <= heap[index]!.atMs) return
      ;[heap[parent], heap[index]] = [heap[index]!, heap[parent]!]
      index = parent
    }
  }

  #takeEvent (): { atMs: number, run: () => void } {
    const heap = this.#events
    const first = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return first
    heap[0] = last
    for (let index = 0; ;) {
      const left = 2 * index + 1
      const child = left + 1 < heap.length && heap[left + 1]!.atMs < heap[left]!.atMs ? left + 1 : left
      if (child >= heap.length || heap[index]!.atMs <= heap[child]!.atMs) return first
      ;[heap[index], heap[child]] = [heap[child]!, heap[index]!]
      index = child
    }
  }
}

/** A third is the same for all requests of a kind, the rest grows with the prompt. */
function computeWorth ({ sharedParts, ownTokens }: ReplayKind, promptParts: readonly PromptPart[]): number {
  const meanTokens = sharedParts.reduce((sum, { tokens }) => sum + tokens, ownTokens.mean)
  return 0.3 + 0.7 * Math.min(4, promptParts.reduce((sum, { tokens }) => sum + tokens, 0) / meanTokens)
}
