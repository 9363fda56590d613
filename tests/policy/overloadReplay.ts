import { DispatchQueue } from '../../src/policy/dispatchQueue'
import { dispatchWaiting } from '../../src/policy/dispatchPass'
import { EndpointDirectory } from '../../src/policy/endpointDirectory'
import { PeerLoadTable } from '../../src/policy/peerLoadTable'
import { countUniqueTokens, Placement } from '../../src/policy/placement'
import { UNLIMITED } from '../../src/policy/sendPermits'
import { decodeDemands, encodeDemands } from '../../src/relay/demandReports'
import { createSeededRandom } from '../../standins/shared/seededRandom'
import { buildEntry } from './directFixtures'
import { EngineModel } from './engineModel'

import type { DirectChoice } from '../../src/policy/directChooser'
import type { DispatchCandidate } from '../../src/policy/dispatchPass'
import type { PlacementRequest } from '../../src/policy/placement'
import type { PromptPart } from '../../src/policy/prefixCacheEstimate'
import type { EngineCapacity } from '../../src/config/routingConfig'
import type { EngineJob, EngineSpeed } from './engineModel'

/** One kind of request in a scenario. */
export interface ReplayRequestKind {
  name: string
  rank: number
  perSecond: number
  targetMs: number
  /** Maximum pause between two events of an answer that is on time. */
  maxPauseMs: number
  callerTimeoutMs: number
  /** Tokens and number of distinct parts at each depth, starting with the most widely shared one. */
  sharedParts: Array<{ tokens: number, count: number }>
  /** Log-normal distribution of the request's unique tokens: their mean, the standard deviation of their logarithm, and their maximum. */
  uniqueTokens: { mean: number, sigma: number, max: number }
  outputTokens: number
  /** Fraction of the value that a late answer earns. */
  lateValueShare: number
}

export interface OverloadScenario {
  gateways: number
  engines: number
  speed: EngineSpeed
  kinds: ReplayRequestKind[]
  /** Milliseconds for which requests arrive. */
  durationMs: number
  seed: number
  /** Workspaces that send alike, but for the first, which sends `firstFactor` times as much. All requests are of none by default. */
  workspaces?: { count: number, firstFactor: number }
  /** Milliseconds at the beginning in which a fifth of the requests arrive; 0 by default. */
  calmMs?: number
  /** Whether the gateways learn the engines' rates; they do by default. */
  learnsRates?: boolean
  /** Prompt tokens that an engine fetches from another one per millisecond; absent where engines cannot. */
  transferTokensPerMs?: number | null
  /** Whether no engine has what another one should fetch from it. */
  losesSources?: boolean
}

export interface ReplayRequestCount {
  arrived: number
  inTime: number
  late: number
  /** Requests refused without being started. */
  refused: number
  /** Value of the requests and of their answers, weighted by prompt size: of all requests, and of the largest ones. */
  value: { offered: number, earned: number }
  largest: { offered: number, earned: number, arrived: number, served: number }
}

/** Requests of some workspaces and how many of them were on time. */
export interface WorkspaceCount {
  arrived: number
  inTime: number
  served: number
}

export interface ReplayResult {
  kinds: Map<string, ReplayRequestCount>
  workspaces: { first: WorkspaceCount, others: WorkspaceCount }
  /** Fraction of the time in which the engines worked, and the total prompt tokens that they prefilled. */
  busyShare: number
  prefilledTokens: number
  /** Tokens per millisecond that each gateway believes each engine to prefill at the end. */
  rates: number[]
}

interface ReplayWaitingRequest extends DispatchCandidate {
  refuse: () => void
  start: (choice: DirectChoice) => void
}

interface SentRequest {
  kind: ReplayRequestKind
  request: PlacementRequest
  isLargest: boolean
  workspaceCount: WorkspaceCount
}

interface ReplayGateway {
  queue: DispatchQueue<ReplayWaitingRequest>
  peerLoads: PeerLoadTable
  directory: EndpointDirectory
  placement: Placement
}

const SERVICE = 'engines'
const BYTES_PER_TOKEN = 35_136
const DISPATCH_INTERVAL_MS = 5
const LOAD_REPORT_INTERVAL_MS = 200
/** One-way network latency between two processes, in milliseconds. */
const NETWORK_LATENCY_MS = 1

/** Simulates an overload scenario through the placement of its gateways, on a virtual clock. */
export function simulateOverload (scenario: OverloadScenario): ReplayResult {
  return new OverloadReplay(scenario).run()
}

class OverloadReplay {
  readonly #scenario: OverloadScenario
  readonly #random: () => number
  readonly #gateways: ReplayGateway[]
  readonly #engines = new Map<string, EngineModel>()
  readonly #counts = new Map<string, ReplayRequestCount>()
  readonly #workspaceCounts = { first: { arrived: 0, inTime: 0, served: 0 }, others: { arrived: 0, inTime: 0, served: 0 } }
  readonly #events: Array<{ atMs: number, run: () => void }> = []
  readonly #stepping = new Set<string>()
  #nowMs = 0
  #requests = 0

  constructor (scenario: OverloadScenario) {
    this.#scenario = scenario
    this.#random = createSeededRandom(scenario.seed)
    const entries = Array.from({ length: scenario.engines }, (_, index) => buildEntry(`engine-${index}`, { slots: scenario.speed.slots }))
    for (const { id } of entries) this.#engines.set(id, new EngineModel(scenario.speed))
    this.#gateways = Array.from({ length: scenario.gateways }, () => {
      const directory = new EndpointDirectory()
      directory.applyList(entries, { afterOutage: false, nowMs: 0 })
      const peerLoads = new PeerLoadTable()
      const placement = new Placement({ directory, loads: peerLoads, getMaxConnections: () => Infinity, getEngine: () => buildEngineCapacity(scenario), getPermit: () => UNLIMITED, isListedProcess: () => true, isEngine: () => scenario.learnsRates !== false, random: this.#random })
      return { queue: new DispatchQueue<ReplayWaitingRequest>(rank => peerLoads.getPeerDemands(SERVICE, rank)), peerLoads, directory, placement }
    })
  }

  run (): ReplayResult {
    const { kinds, durationMs, calmMs = 0 } = this.#scenario
    for (const kind of kinds) {
      this.#counts.set(kind.name, { arrived: 0, inTime: 0, late: 0, refused: 0, value: { offered: 0, earned: 0 }, largest: { offered: 0, earned: 0, arrived: 0, served: 0 } })
      for (let atMs = this.#sampleGap(kind); atMs < durationMs; atMs += this.#sampleGap(kind) * (atMs < calmMs ? 5 : 1)) this.#schedule(atMs, () => this.#handleArrival(kind))
    }
    const endMs = durationMs + Math.max(...kinds.map(kind => kind.callerTimeoutMs)) + 1000
    for (let atMs = 0; atMs < endMs; atMs += DISPATCH_INTERVAL_MS) this.#schedule(atMs, () => this.#runPasses())
    this.#gateways.forEach((_, index) => {
      const offsetMs = LOAD_REPORT_INTERVAL_MS * this.#random()
      for (let atMs = offsetMs; atMs < endMs; atMs += LOAD_REPORT_INTERVAL_MS) this.#schedule(atMs, () => this.#reportLoads(index))
    })
    while (this.#events.length > 0) {
      const { atMs, run } = this.#takeEvent()
      this.#nowMs = atMs
      run()
    }
    const engines = [...this.#engines.values()]
    return {
      kinds: this.#counts,
      workspaces: this.#workspaceCounts,
      busyShare: engines.reduce((sum, engine) => sum + engine.busyMs, 0) / (engines.length * durationMs),
      prefilledTokens: engines.reduce((sum, engine) => sum + engine.prefilledTokens, 0),
      rates: this.#gateways.flatMap(({ directory }) => directory.listAll().map(({ prefillRate }) => prefillRate.tokensPerMs))
    }
  }

  #handleArrival (kind: ReplayRequestKind): void {
    const count = this.#counts.get(kind.name)!
    const nowMs = this.#nowMs
    const gateway = this.#gateways[Math.floor(this.#random() * this.#gateways.length)]!
    const promptParts = this.#samplePrompt(kind)
    const request: PlacementRequest = { service: SERVICE, promptParts, targetMs: kind.targetMs, arrivedAtMs: nowMs }
    const workspace = this.#sampleWorkspace()
    const workspaceCount = this.#workspaceCounts[workspace === 0 ? 'first' : 'others']
    workspaceCount.arrived += 1
    const isLargest = promptParts.at(-1)!.tokens > kind.uniqueTokens.mean * 2.2
    const value = computeValue(kind, promptParts)
    count.arrived += 1
    count.value.offered += value
    if (isLargest) count.largest.arrived += 1
    if (isLargest) count.largest.offered += value
    gateway.placement.recordArrival(request)
    const latestStartAtMs = gateway.placement.computeLatestStartAt(request)
    const choose = gateway.placement.createChooser(request, { triedIds: new Set(), latestStartAtMs, findVersion: () => ({ kind: 'any' }) })
    gateway.queue.add({
      id: String(this.#requests),
      rank: kind.rank,
      prefillMs: gateway.placement.computePrefillMs(request),
      latestStartAtMs,
      expiresAtMs: nowMs + kind.callerTimeoutMs,
      claim: workspace === null ? null : { workspace: `w-${workspace}`, uniqueTokens: countUniqueTokens(promptParts), outputTokens: kind.outputTokens },
      choose: queuedTokens => choose(queuedTokens, this.#nowMs),
      reserve: choice => gateway.placement.reserve(choice, promptParts, this.#nowMs),
      refuse: () => { count.refused += 1 },
      start: choice => this.#send(gateway, { kind, request, isLargest, workspaceCount }, choice)
    }, nowMs)
  }

  #send (gateway: ReplayGateway, { kind, request, isLargest, workspaceCount }: SentRequest, choice: DirectChoice): void {
    const { endpoint, unreadTokens: uncachedTokens } = choice
    const sentAtMs = this.#nowMs
    const count = this.#counts.get(kind.name)!
    let firstAtMs = 0
    const handleFirst = () => {
      firstAtMs = this.#nowMs
      endpoint.heardAtMs = this.#nowMs
      gateway.placement.recordFirstEvent(choice, { promptParts: request.promptParts, sentAtMs, targetMs: Math.min(...this.#scenario.kinds.map(({ targetMs }) => targetMs)), hasQueuedRequests: gateway.queue.size > 0, nowMs: this.#nowMs })
      endpoint.pendingTokens -= uncachedTokens
    }
    const handleEnd = (longestPauseMs: number) => {
      endpoint.inFlight -= 1
      const elapsedMs = firstAtMs + NETWORK_LATENCY_MS - request.arrivedAtMs
      const isServed = elapsedMs <= kind.callerTimeoutMs
      const isInTime = elapsedMs <= kind.targetMs && longestPauseMs <= kind.maxPauseMs
      const earned = (isInTime ? 1 : isServed ? kind.lateValueShare : 0) * computeValue(kind, request.promptParts)
      if (isInTime) workspaceCount.inTime += 1
      if (isServed) workspaceCount.served += 1
      if (isInTime) count.inTime += 1
      else if (isServed) count.late += 1
      count.value.earned += earned
      if (isLargest) count.largest.earned += earned
      if (isLargest && isServed) count.largest.served += 1
    }
    const job = {
      rank: kind.rank,
      promptParts: request.promptParts,
      outputTokens: kind.outputTokens,
      source: this.#findSource(choice),
      handleFirst: (atMs: number) => this.#schedule(atMs + NETWORK_LATENCY_MS, handleFirst),
      handleEnd: (atMs: number, longestPauseMs: number) => this.#schedule(atMs + NETWORK_LATENCY_MS, () => handleEnd(longestPauseMs))
    }
    this.#schedule(sentAtMs + NETWORK_LATENCY_MS, () => {
      this.#engines.get(endpoint.entry.id)!.add(job)
      this.#runEngine(endpoint.entry.id)
    })
  }

  #findSource ({ prefixSource }: DirectChoice): EngineJob['source'] {
    const { transferTokensPerMs, losesSources = false } = this.#scenario
    if (prefixSource === null || losesSources) return null
    return { engine: this.#engines.get(prefixSource.endpoint.entry.id)!, tokensPerMs: transferTokensPerMs! }
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
      for (const expired of queue.removeExpired(this.#nowMs)) expired.refuse()
      dispatchWaiting(queue, this.#nowMs, (waiting, choice) => waiting.start(choice))
    }
  }

  /** Reports a gateway's load to every peer, each with a random delay of up to one interval. */
  #reportLoads (index: number): void {
    const { queue, peerLoads, directory } = this.#gateways[index]!
    const demands = decodeDemands(encodeDemands(queue.listDemands(this.#nowMs).map(demand => ({ service: SERVICE, ...demand }))))
    const report = new Map(directory.listAll().filter(({ inFlight }) => inFlight > 0).map(({ entry, inFlight, pendingTokens, heardAtMs, prefillRate }) => [entry.id, { inFlight, pendingTokens, heardAtMs, permittedSends: 0, prefill: prefillRate.getEvidence(this.#nowMs) }]))
    this.#gateways.forEach((other, otherIndex) => {
      if (otherIndex === index) return
      this.#schedule(this.#nowMs + LOAD_REPORT_INTERVAL_MS * this.#random(), () => other.peerLoads.record(`gateway-${index}`, report, this.#nowMs, { gateways: 1, scope: 'gateway', demands }))
    })
    peerLoads.expire(this.#nowMs)
  }

  #samplePrompt ({ sharedParts, uniqueTokens, name }: ReplayRequestKind): PromptPart[] {
    this.#requests += 1
    const shared = sharedParts.map(({ tokens, count }, depth) => ({ id: `${name}-${depth}-${Math.floor(this.#random() * count)}`, tokens }))
    const { mean, sigma, max } = uniqueTokens
    const normal = Math.sqrt(-2 * Math.log(1 - this.#random())) * Math.cos(2 * Math.PI * this.#random())
    const tokens = Math.max(16, Math.min(max, Math.round(mean * Math.exp(sigma * normal - sigma * sigma / 2))))
    return [...shared, { id: `own-${this.#requests}`, tokens }]
  }

  #sampleGap ({ perSecond }: ReplayRequestKind): number {
    const { count, firstFactor } = this.#scenario.workspaces ?? { count: 1, firstFactor: 1 }
    return -Math.log(1 - this.#random()) * 1000 / (perSecond * (1 + (firstFactor - 1) / count))
  }

  /** Samples the number of a request's workspace; null without workspaces. */
  #sampleWorkspace (): number | null {
    if (this.#scenario.workspaces === undefined) return null
    const { count, firstFactor } = this.#scenario.workspaces
    return Math.max(0, Math.floor(this.#random() * (count - 1 + firstFactor) - firstFactor + 1))
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

function buildEngineCapacity ({ speed, transferTokensPerMs = null }: OverloadScenario): EngineCapacity | null {
  if (transferTokensPerMs === null) return null
  return { slots: speed.slots, cacheTokens: Infinity, bytesPerToken: BYTES_PER_TOKEN, transferMegabitsPerSecond: transferTokensPerMs * BYTES_PER_TOKEN * 8 / 1000, tokensPerEvent: speed.eventTokens, maxCacheWatchers: 0, canMove: false, canBackUp: false }
}

/** Computes the value of a request: 0.3 for any request of the kind, plus a part that grows with the prompt. */
function computeValue ({ sharedParts, uniqueTokens }: ReplayRequestKind, promptParts: readonly PromptPart[]): number {
  const meanTokens = sharedParts.reduce((sum, { tokens }) => sum + tokens, uniqueTokens.mean)
  return 0.3 + 0.7 * Math.min(4, promptParts.reduce((sum, { tokens }) => sum + tokens, 0) / meanTokens)
}
