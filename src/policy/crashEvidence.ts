import { BoundedMap } from '../base/boundedMap'

/** A crash and the requests that may have caused it, as one or more gateways saw it. */
export interface CrashReport {
  crashId: string
  atMs: number
  /** For each request that had no answer, or had just begun to get one, the keys of its shared prompt parts. */
  requests: ReadonlyArray<readonly string[]>
}

/** An endpoint began to write an answer on a prompt part and went on. */
export interface AnsweredPart {
  part: string
  /** Time at which the answer began. */
  atMs: number
}

/** Prompt parts that crash endpoints, in requests that have all of them. */
export interface PartHold {
  /** More than one where the crashes do not tell which of them is the cause. */
  parts: string[]
  crashIds: string[]
  /** Time of the last of the crashes. */
  atMs: number
}

/** Parts that are held already. */
export interface HeldParts {
  parts: readonly string[]
  sinceMs: number
  /** Ids of the crashes for which they are held. */
  crashIds: readonly string[]
}

interface KnownCrash {
  crashId: string
  atMs: number
  requests: Array<readonly string[]>
  /** Time at which this process last learned something about the crash. */
  learnedAtMs: number
}

interface KnownAnswer {
  atMs: number
  learnedAtMs: number
}

/** A part and the crashes that it may have caused. */
interface Candidate {
  part: string
  crashes: KnownCrash[]
}

/** Crashes, and moments in which they happened, at which a prompt part is held. */
const HOLD_CRASHES = 4
const HOLD_MOMENTS = 3
/**
 * Crashes at which a part is held although parts of other requests explain as many: then the one that the
 * fewest requests have. Before, requests with the other parts go on, and one answer clears these.
 */
const AMBIGUOUS_HOLD_CRASHES = 8
/** Crashes beyond those that the held parts explain at which a further part is held. */
const UNEXPLAINED_CRASHES = 2
/** Milliseconds after which a hold is in force at all gateways; a later crash has another cause. */
const HOLD_SPREAD_MS = 1500
/** Crashes at which a request with the part is not sent to a second endpoint after its own answer broke. */
const RISK_CRASHES = 2
/**
 * Milliseconds before a crash within which an answer that has begun and gone on clears its parts too. With
 * most endpoints gone, there may be none that could answer afterwards.
 */
const ANSWER_LEAD_MS = 500
/** Milliseconds after a crash from which it counts: until then, what other gateways saw of it may be on its way. */
export const EVIDENCE_SETTLE_MS = 600
/** Milliseconds within which crashes count as one moment: a rack or a domain that fails takes all its endpoints at once. */
const SAME_MOMENT_MS = 50
const MAX_HELD_TOGETHER = 4
/** Milliseconds for which a crash counts against a part. */
const EVIDENCE_MS = 600_000
/** Maximum crashes kept, requests of one crash, and parts of one request: callers choose how many parts they send. */
const MAX_CRASHES = 128
const MAX_REQUESTS_PER_CRASH = 32
const MAX_PARTS_PER_REQUEST = 32
const MAX_ANSWERED_PARTS = 4096
/** Milliseconds for which news is passed on to other gateways: several exchanges, some of which may be lost. */
const NEWS_MS = 3000
/** Maximum crashes, requests of one crash, parts of one request, and answered parts in one message. */
const MAX_NEWS_CRASHES = 24
const MAX_NEWS_REQUESTS = 12
const MAX_NEWS_PARTS = 16
const MAX_NEWS_ANSWERED = 64

/**
 * Finds prompt parts that crash each endpoint which begins to answer them. A part is held when enough
 * crashes have it in common, no endpoint has begun and continued an answer on it since, and no other part explains
 * more of these crashes.
 *
 * @example
 * const evidence = new CrashEvidence()
 * evidence.recordCrash({ crashId: 'e-1/17', atMs: 1000, requests: [['a', 'b'], ['b']] }, 1000)
 * evidence.recordAnswered({ part: 'b', atMs: 1200 }, 1400)
 * evidence.findHolds([], 2000) // [] until 'a' has crashed more endpoints
 */
export class CrashEvidence {
  readonly #crashes = new Map<string, KnownCrash>()
  readonly #answered = new BoundedMap<string, KnownAnswer>(MAX_ANSWERED_PARTS)
  /** Times up to which crashes no longer count against a part, because a hold of it has ended. */
  readonly #liftedAtMs = new BoundedMap<string, number>(MAX_ANSWERED_PARTS)
  /** The known crashes by the parts of their requests. */
  readonly #crashesByPart = new Map<string, Set<KnownCrash>>()

  /** Records a crash; what several reporters say of one crash is merged. Returns whether anything is new. */
  recordCrash ({ crashId, atMs, requests }: CrashReport, nowMs: number): boolean {
    const known = this.#crashes.get(crashId)
    const added = requests.filter(parts => parts.length > 0 && !hasRequestWith(known?.requests ?? [], parts)).slice(0, MAX_REQUESTS_PER_CRASH - (known?.requests.length ?? 0))
    if (added.length === 0) return false
    const crash = known ?? { crashId, atMs, requests: [], learnedAtMs: nowMs }
    crash.atMs = Math.min(crash.atMs, atMs)
    crash.learnedAtMs = nowMs
    this.#crashes.set(crashId, crash)
    for (const request of added) {
      const parts = request.slice(0, MAX_PARTS_PER_REQUEST)
      crash.requests.push(parts)
      for (const part of parts) this.#addSuspect(part, crash, nowMs)
    }
    this.#dropOldest()
    return true
  }

  /** Records that a part does not crash endpoints. Returns whether this clears it of a crash. */
  recordAnswered ({ part, atMs }: AnsweredPart, nowMs: number): boolean {
    const known = this.#answered.get(part)
    if (known !== undefined && known.atMs >= atMs) return false
    const clears = this.#listUncleared(part).some(crash => isClearing(atMs, crash.atMs))
    this.#answered.set(part, { atMs, learnedAtMs: clears ? nowMs : known?.learnedAtMs ?? -Infinity })
    return clears
  }

  /**
   * Records that the hold of a part has ended, so that the crashes until then do not begin it again. No answer
   * has shown the part to be answered: other gateways are not told so.
   */
  recordLifted (part: string, atMs: number): void {
    this.#liftedAtMs.set(part, Math.max(atMs, this.#liftedAtMs.get(part) ?? -Infinity))
  }

  /** Returns whether a request with these parts, whose answer broke, may crash a second endpoint. */
  isRisky (parts: readonly string[]): boolean {
    return parts.some(part => this.#listUncleared(part).length >= RISK_CRASHES)
  }

  /** Finds the parts to hold beyond those that are `held` already, the ones that explain most crashes first. */
  findHolds (held: readonly HeldParts[], nowMs: number): PartHold[] {
    const holds: PartHold[] = []
    const known = [...held]
    for (;;) {
      const hold = this.#findHold(known, nowMs)
      if (hold === null) return holds
      holds.push(hold)
      known.push({ ...hold, sinceMs: nowMs })
    }
  }

  /** Finds the holds all of whose crashes another hold explains, and others besides: these parts were only there. */
  findSuperseded <Hold extends HeldParts> (held: readonly Hold[]): Hold[] {
    return held.filter(hold => held.some(other => {
      const isCovered = (crashId: string) => hasRequestWith(this.#crashes.get(crashId)?.requests ?? [], other.parts)
      return other !== hold && other.crashIds.length > hold.crashIds.length && hold.crashIds.every(isCovered)
    }))
  }

  /** Returns whether there are crashes that do not count yet. */
  hasUnsettled (nowMs: number): boolean {
    return [...this.#crashes.values()].some(crash => nowMs - crash.atMs < EVIDENCE_SETTLE_MS)
  }

  /** Lists what was learned recently, to be passed on to other gateways. */
  listNews (nowMs: number): { crashes: CrashReport[], answered: AnsweredPart[] } {
    const isRecent = ({ learnedAtMs }: { learnedAtMs: number }) => nowMs - learnedAtMs <= NEWS_MS
    const crashes = [...this.#crashes.values()].filter(isRecent).slice(-MAX_NEWS_CRASHES)
    return {
      crashes: crashes.map(crash => ({ crashId: crash.crashId, atMs: crash.atMs, requests: this.#selectUncleared(crash) })),
      answered: [...this.#answered].filter(([, known]) => isRecent(known)).slice(-MAX_NEWS_ANSWERED).map(([part, { atMs }]) => ({ part, atMs }))
    }
  }

  /** Lists the parts with the most crashes that nothing speaks against, for the state dump. */
  listSuspects (count: number): Array<{ part: string, crashes: number, answeredAtMs: number | null }> {
    return [...this.#crashesByPart.keys()]
      .map(part => ({ part, crashes: this.#listUncleared(part).length, answeredAtMs: this.#answered.get(part)?.atMs ?? null }))
      .sort((one, other) => other.crashes - one.crashes)
      .slice(0, count)
  }

  #findHold (held: readonly HeldParts[], nowMs: number): PartHold | null {
    const unexplained = new Set([...this.#crashes.values()].filter(crash => !held.some(hold => isExplained(crash, hold))))
    const candidates = this.#listCandidates(nowMs).filter(({ part, crashes }) => {
      const isHeldWithOthers = held.some(hold => hold.parts.includes(part) && hold.parts.length > 1)
      return crashes.filter(crash => unexplained.has(crash)).length >= (isHeldWithOthers ? 1 : UNEXPLAINED_CRASHES)
    })
    const strongest = candidates[0]
    if (strongest === undefined) return null
    const parts = selectTogether(strongest, candidates)
    const isAmbiguous = candidates.some(({ part, crashes }) => crashes.length === strongest.crashes.length && !parts.includes(part))
    if (isAmbiguous && strongest.crashes.length < AMBIGUOUS_HOLD_CRASHES) return null
    return { parts: parts.sort(), crashIds: strongest.crashes.map(crash => crash.crashId), atMs: Math.max(...strongest.crashes.map(crash => crash.atMs)) }
  }

  /** Lists the parts with enough crashes, those with the most crashes first and of these those of the fewest requests. */
  #listCandidates (nowMs: number): Candidate[] {
    return [...this.#crashesByPart]
      .filter(([, crashes]) => crashes.size >= HOLD_CRASHES)
      .map(([part]) => ({ part, crashes: this.#listUncleared(part).filter(({ atMs }) => nowMs - atMs <= EVIDENCE_MS && nowMs - atMs >= EVIDENCE_SETTLE_MS) }))
      .filter(({ crashes }) => crashes.length >= HOLD_CRASHES && countMoments(crashes) >= HOLD_MOMENTS)
      .sort((one, other) => other.crashes.length - one.crashes.length || countRequests(one) - countRequests(other))
  }

  #listUncleared (part: string): KnownCrash[] {
    return [...this.#crashesByPart.get(part) ?? []].filter(crash => !this.#isCleared(part, crash))
  }

  #addSuspect (part: string, crash: KnownCrash, nowMs: number): void {
    const crashes = this.#crashesByPart.get(part) ?? new Set()
    this.#crashesByPart.set(part, crashes.add(crash))
    this.#markClearing(part, crash.atMs, nowMs)
  }

  #dropOldest (): void {
    const [oldest] = this.#crashes.values()
    if (this.#crashes.size <= MAX_CRASHES || oldest === undefined) return
    this.#crashes.delete(oldest.crashId)
    for (const part of oldest.requests.flat()) {
      const crashes = this.#crashesByPart.get(part)
      crashes?.delete(oldest)
      if (crashes?.size === 0) this.#crashesByPart.delete(part)
    }
  }

  /** Passes on a known answer where that clears a part of a crash which became known later. */
  #markClearing (part: string, crashedAtMs: number, nowMs: number): void {
    const known = this.#answered.get(part)
    if (known !== undefined && isClearing(known.atMs, crashedAtMs)) known.learnedAtMs = nowMs
  }

  #isCleared (part: string, { atMs }: KnownCrash): boolean {
    return isClearing(this.#answered.get(part)?.atMs ?? -Infinity, atMs) || (this.#liftedAtMs.get(part) ?? -Infinity) >= atMs
  }

  /** Selects the requests, and of their parts those that nothing speaks against, for a message. */
  #selectUncleared (crash: KnownCrash): string[][] {
    const requests = crash.requests.map(parts => parts.filter(part => !this.#isCleared(part, crash)).slice(0, MAX_NEWS_PARTS))
    return requests.filter(parts => parts.length > 0).slice(0, MAX_NEWS_REQUESTS)
  }
}

/** Returns whether an answer that began at `answeredAtMs` shows that its parts did not cause a crash. */
function isClearing (answeredAtMs: number, crashedAtMs: number): boolean {
  return answeredAtMs >= crashedAtMs - ANSWER_LEAD_MS
}

/** Returns whether one of the requests has all these parts. */
export function hasRequestWith (requests: ReadonlyArray<readonly string[]>, parts: readonly string[]): boolean {
  return requests.some(request => parts.every(part => request.includes(part)))
}

/** Returns whether a held request may have caused the crash: it was there, and was not yet refused everywhere. */
function isExplained ({ requests, atMs }: KnownCrash, { parts, sinceMs }: HeldParts): boolean {
  return atMs <= sinceMs + HOLD_SPREAD_MS && hasRequestWith(requests, parts)
}

/** Selects the parts that came with the strongest candidate in each of its crashes, so that either may be the cause. */
function selectTogether ({ part, crashes }: Candidate, candidates: readonly Candidate[]): string[] {
  const together = [part]
  for (const candidate of candidates) {
    if (candidate.part === part || candidate.crashes.length < crashes.length || together.length >= MAX_HELD_TOGETHER) continue
    if (crashes.every(({ requests }) => hasRequestWith(requests, [...together, candidate.part]))) together.push(candidate.part)
  }
  return together
}

function countRequests ({ part, crashes }: Candidate): number {
  return crashes.reduce((sum, { requests }) => sum + requests.filter(request => request.includes(part)).length, 0)
}

/** Counts the moments in which the crashes happened. */
function countMoments (crashes: readonly KnownCrash[]): number {
  let moments = 0
  let startedAtMs = -Infinity
  for (const atMs of crashes.map(crash => crash.atMs).sort((one, other) => one - other)) {
    if (atMs - startedAtMs <= SAME_MOMENT_MS) continue
    moments += 1
    startedAtMs = atMs
  }
  return moments
}
