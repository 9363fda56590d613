import { expect } from 'chai'
import fc from 'fast-check'

import { ClaimLedger } from '../../src/store/claimLedger'
import { ClaimStore } from '../../src/store/claimStore'
import { MemoryObjectStore } from '../fakes/memoryObjectService'
import { FaultyObjectService } from './faultyObjectService'
import { createClaimRequest, createFakeTime, createProgress, createRandom } from './platformFixtures'

import type { Claim, ClaimOutcome, ClaimRegistry } from '../../src/store/claims'
import type { WriteFate } from './faultyObjectService'
import type { FakeTime } from './platformFixtures'

const SEED = 20261204
const RUNS = 1_000
const PROCESS_COUNT = 3
const KEYS = ['key-0', 'key-1']
const FATES: WriteFate[] = ['answered', 'answered', 'answerLost', 'writeLost', 'delayed', 'refused']

/** Fates after which a claim's write may be applied later without a confirmation: on an absent key, or on a released one. */
const DELAYED_WRITE_FATES: WriteFate[][] = [['delayed', 'refused'], ['answered', 'delayed', 'refused']]

type Step =
  | { kind: 'claim', processes: number[], key: number, digest: string, fates: WriteFate[] }
  | { kind: 'complete', fates: WriteFate[] }
  | { kind: 'release', fates: WriteFate[] }
  | { kind: 'restart', process: number }
  | { kind: 'outage', process: number, on: boolean }
  | { kind: 'land' }
  | { kind: 'wait' }

/** Expected state of one key: whether it is held, and the response of the last completed request. */
interface KeyModel {
  digest: string | null
  /** Digests of all claims so far; a claim that is not settled yet may refuse another digest for a while. */
  triedDigests: Set<string>
  state: 'free' | 'held' | 'completed'
  answerBody: string
  /** Whether a restarted process may have left a claim behind. */
  abandoned: boolean
}

interface Holding {
  key: number
  process: number
  claim: Claim
}

type CreateClaims = (service: FaultyObjectService) => ClaimRegistry

interface Process {
  service: FaultyObjectService
  store: ClaimRegistry
  epoch: number
}

describe('claims under random faults', () => {
  let time: FakeTime
  beforeEach(() => { time = createFakeTime() })
  afterEach(() => { time.close() })

  const creators: Record<string, CreateClaims> = {
    ClaimStore: service => new ClaimStore({ service, getRandom: createRandom() }),
    ClaimLedger: service => new ClaimLedger({ service, getRandom: createRandom(), shardCount: 1, batchWindowMs: 0 })
  }
  for (const [name, createClaims] of Object.entries(creators)) {
    it(`should agree with a reference model in memory: ${name} (seed ${SEED})`, async () => {
      await fc.assert(fc.asyncProperty(fc.array(createStepArbitrary(), { minLength: 4, maxLength: 25 }), async steps => {
        const run = new ModelRun(time, createClaims)
        for (const step of steps) await run.play(step)
        await run.finish()
      }), { seed: SEED, numRuns: RUNS })
    }).timeout(120_000)
  }
})

function createStepArbitrary (): fc.Arbitrary<Step> {
  const process = fc.nat(PROCESS_COUNT - 1)
  const fates = fc.oneof(fc.array(fc.constantFrom(...FATES), { maxLength: 5 }), fc.constantFrom(...DELAYED_WRITE_FATES))
  const claim = fc.record({
    kind: fc.constant('claim' as const),
    processes: fc.array(process, { minLength: 1, maxLength: 3 }),
    key: fc.nat(KEYS.length - 1),
    digest: fc.constantFrom('digest-1', 'digest-1', 'digest-1', 'digest-2'),
    fates
  })
  return fc.oneof(
    { weight: 6, arbitrary: claim },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('complete' as const), fates }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('release' as const), fates }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), process }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('outage' as const), process, on: fc.boolean() }) },
    { weight: 1, arbitrary: fc.constant<Step>({ kind: 'land' }) },
    { weight: 1, arbitrary: fc.constant<Step>({ kind: 'wait' }) }
  )
}

/** Makes all further calls hang, as for a killed process. Writes that it already sent may still arrive. */
function stopResponding (service: FaultyObjectService): void {
  const stop = async () => await new Promise<never>(() => {})
  Object.assign(service, { get: stop, put: stop, list: stop })
}

/** Runs steps against processes that share one store, and compares the outcomes with a reference model. */
class ModelRun {
  readonly #time: FakeTime
  readonly #createClaims: CreateClaims
  readonly #objects = new MemoryObjectStore()
  readonly #processes: Process[]
  /** Connections of killed processes, whose delayed writes may still arrive. */
  readonly #killedServices: FaultyObjectService[] = []
  readonly #keys: KeyModel[] = KEYS.map(() => ({ digest: null, triedDigests: new Set(), state: 'free', answerBody: '', abandoned: false }))
  readonly #holdings: Holding[] = []
  #answerCount = 0

  constructor (time: FakeTime, createClaims: CreateClaims) {
    this.#time = time
    this.#createClaims = createClaims
    this.#processes = Array.from({ length: PROCESS_COUNT }, () => this.#createProcess(0))
  }

  async play (step: Step): Promise<void> {
    switch (step.kind) {
      case 'claim': return await this.#claim(step)
      case 'complete': return await this.#complete(step.fates)
      case 'release': return await this.#release(step.fates)
      case 'restart': return this.#reset(step.process)
      case 'outage': return this.#processes[step.process]!.service.setFaults({ outage: step.on })
      case 'land': return await this.#applyDelayed()
      case 'wait': return await this.#time.advance(1_000)
    }
  }

  /** Ends all faults, waits for the background work, and checks that no key is stuck or lost. */
  async finish (): Promise<void> {
    for (const { service } of this.#processes) {
      service.fates.length = 0
      service.setFaults({ outage: false })
    }
    await this.#waitUntilSettled()
    await this.#applyDelayed()
    for (const [key, model] of this.#keys.entries()) {
      if (model.state === 'free' && model.abandoned) continue
      const outcome = await this.#processes[0]!.store.claim(createClaimRequest({ key: KEYS[key], requestDigest: model.digest ?? 'digest-1' }), createProgress())
      const allowed = { free: ['granted'], held: model.abandoned ? ['inProgress', 'completed'] : ['inProgress'], completed: ['completed'] }
      expect(outcome.kind, `${KEYS[key]} in the end`).to.be.oneOf(allowed[model.state])
    }
    for (const { store } of this.#processes) await store.stop(createProgress())
  }

  async #claim (step: Extract<Step, { kind: 'claim' }>): Promise<void> {
    this.#keys[step.key]!.triedDigests.add(step.digest)
    for (const process of step.processes) this.#processes[process]!.service.fates.push(...step.fates)
    const outcomes = await Promise.all(step.processes.map(async (process, index) => {
      const { store, epoch } = this.#processes[process]!
      const request = createClaimRequest({ key: KEYS[step.key], requestDigest: step.digest, attemptId: `attempt-${index}`, holder: `${process}/${epoch}` })
      return await store.claim(request, createProgress())
    }))
    for (const process of step.processes) this.#processes[process]!.service.fates.length = 0
    for (const [index, outcome] of outcomes.entries()) {
      this.#checkOutcome(step, step.processes[index]!, outcome)
    }
    for (const outcome of outcomes) this.#checkRefusal(step, outcome)
  }

  #checkOutcome (step: Extract<Step, { kind: 'claim' }>, process: number, outcome: ClaimOutcome): void {
    const model = this.#keys[step.key]!
    if (outcome.kind !== 'granted') return
    expect(model.state, `${KEYS[step.key]} when granted`).to.equal('free')
    model.state = 'held'
    model.digest = step.digest
    this.#holdings.push({ key: step.key, process, claim: outcome.claim })
  }

  #checkRefusal (step: Extract<Step, { kind: 'claim' }>, outcome: ClaimOutcome): void {
    const model = this.#keys[step.key]!
    switch (outcome.kind) {
      case 'completed':
        expect(outcome.answer?.body).to.equal(model.answerBody)
        if (!model.abandoned) expect(model.state).to.equal('completed')
        expect(step.digest).to.equal(model.digest)
        break
      case 'keyReused':
        expect([...model.triedDigests].some(digest => digest !== step.digest), 'another digest was tried').to.equal(true)
        break
      case 'granted':
      case 'inProgress':
      case 'mayHaveRun':
      case 'unavailable':
        break
    }
  }

  async #complete (fates: WriteFate[]): Promise<void> {
    const holding = this.#holdings.shift()
    if (holding === undefined) return
    const model = this.#keys[holding.key]!
    const body = `answer-${this.#answerCount += 1}`
    const { service, store } = this.#processes[holding.process]!
    service.fates.push(...fates)
    await store.complete(holding.claim, { status: 200, contentType: 'text/plain', body }, createProgress())
    service.fates.length = 0
    Object.assign(model, { state: 'completed', answerBody: body })
  }

  async #release (fates: WriteFate[]): Promise<void> {
    const holding = this.#holdings.shift()
    if (holding === undefined) return
    const { service, store } = this.#processes[holding.process]!
    service.fates.push(...fates)
    await store.release(holding.claim, createProgress())
    service.fates.length = 0
    this.#keys[holding.key]!.state = 'free'
  }

  #reset (index: number): void {
    const lost = this.#holdings.filter(holding => holding.process === index)
    for (const holding of lost) this.#holdings.splice(this.#holdings.indexOf(holding), 1)
    const old = this.#processes[index]!
    if (old.store.getStatus().pendingCount > 0) for (const model of this.#keys) this.#markAbandoned(model)
    stopResponding(old.service)
    this.#killedServices.push(old.service)
    this.#processes[index] = this.#createProcess(old.epoch + 1)
  }

  /**
   * Records that a killed process may have left its key `claimed`, since it had not stored the final
   * state. Such a key is refused, which is safe.
   */
  #markAbandoned (model: KeyModel): void {
    model.abandoned = true
    if (model.state === 'completed') model.state = 'held'
  }

  async #applyDelayed (): Promise<void> {
    const services = [...this.#killedServices, ...this.#processes.map(process => process.service)]
    for (const service of services) await service.applyDelayed(createProgress())
  }

  async #waitUntilSettled (): Promise<void> {
    for (let round = 0; round < 50; round += 1) {
      if (this.#processes.every(({ store }) => store.getStatus().pendingCount === 0)) return
      await this.#time.advance(10_000)
    }
    throw new Error('settlements were still pending after 500 s')
  }

  #createProcess (epoch: number): Process {
    const service = new FaultyObjectService(this.#objects)
    return { service, epoch, store: this.#createClaims(service) }
  }
}
