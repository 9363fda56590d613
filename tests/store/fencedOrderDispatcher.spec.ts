import { expect } from 'chai'
import { Result } from 'true-myth'

import { FencedOrderDispatcher } from '../../src/store/fencedOrderDispatcher'
import { Lease } from '../../src/store/lease'
import { MemoryObjectService } from '../fakes/memoryObjectService'
import { createFakeTime, createProgress, createRandom } from './platformFixtures'

import type { Endpoint } from '../../src/config/fleetConfig'
import type { FencedOrder, OrderError, SendOrder } from '../../src/store/fencedOrderDispatcher'
import type { EndpointPlacement } from '../../src/store/orderPlan'
import type { FakeTime } from './platformFixtures'

const TERM_MS = 30_000
const MARGIN_MS = 3_000
const ORDER_TIMEOUT_MS = 5_000

/** A fake engine that executes orders, and either checks or ignores fencing numbers. */
class FakeEngine {
  readonly applied: Array<FencedOrder & { atMs: number }> = []
  placement: EndpointPlacement = { models: ['old'], role: 'mixed' }
  error: OrderError | null = null
  /** Duration of an order in milliseconds. */
  orderMs = 0
  #highest = 0

  constructor (readonly checksFencing: boolean) {}

  readonly send: SendOrder = async fenced => {
    if (this.orderMs > 0) await new Promise(resolve => setTimeout(resolve, this.orderMs))
    await Promise.resolve()
    if (this.error !== null) return Result.err(this.error)
    if (this.checksFencing && fenced.fencingNumber < this.#highest) return Result.err({ kind: 'staleFencingNumber', current: this.#highest })
    this.#highest = Math.max(this.#highest, fenced.fencingNumber)
    this.applied.push({ ...fenced, atMs: performance.now() })
    const { order } = fenced
    const { models, role } = this.placement
    if (order.kind === 'setRole') this.placement = { models, role: order.role }
    if (order.kind === 'loadModel') this.placement = { models: [...models, order.model], role }
    if (order.kind === 'unloadModel') this.placement = { models: models.filter(model => model !== order.model), role }
    return Result.ok(this.placement)
  }
}

interface LeaseHolder {
  service: MemoryObjectService
  lease: Lease
  orders: FencedOrderDispatcher
}

describe('FencedOrderDispatcher', () => {
  let time: FakeTime
  let service: MemoryObjectService
  const holders: LeaseHolder[] = []
  beforeEach(() => {
    time = createFakeTime()
    service = new MemoryObjectService()
  })
  afterEach(async () => {
    for (const { lease, orders } of holders.splice(0)) {
      await orders.stop()
      await lease.stopWithoutRelease()
    }
    time.close()
  })

  function startHolder (name: string, engine: FakeEngine, desired: Partial<Endpoint> = {}): LeaseHolder {
    const connection = new MemoryObjectService(service.store)
    const lease = new Lease({ service: connection, name: 'engine-1', holder: name, termMs: TERM_MS, clockMarginMs: MARGIN_MS, getRandom: createRandom() })
    const orders = new FencedOrderDispatcher({ lease, sendOrder: engine.send, orderTimeoutMs: ORDER_TIMEOUT_MS, getRandom: createRandom() })
    orders.setDesired(createEndpoint({ checksFencing: engine.checksFencing, ...desired }))
    lease.start()
    orders.start()
    const holder = { service: connection, lease, orders }
    holders.push(holder)
    return holder
  }

  it('should bring the endpoint to its placement with the fewest orders and send no more', async () => {
    const engine = new FakeEngine(true)
    startHolder('a', engine, { models: ['small', 'large'], role: 'decode' })
    await time.advance(5_000)
    expect(engine.placement).to.deep.equal({ models: ['small', 'large'], role: 'decode' })
    expect(engine.applied.map(({ order }) => order.kind)).to.deep.equal(['setRole', 'unloadModel', 'loadModel', 'loadModel'])
  })

  it('should send no order when the remaining lease is shorter than the order timeout', async () => {
    const engine = new FakeEngine(true)
    const holder = startHolder('a', engine)
    await time.advance(1_000)
    const sent = engine.applied.length
    stopRenewals(holder)
    await time.advance(TERM_MS - MARGIN_MS - ORDER_TIMEOUT_MS)
    expect([holder.lease.isHeld(), holder.lease.isHeld(ORDER_TIMEOUT_MS)]).to.deep.equal([true, false])
    holder.orders.reset()
    await time.drain()
    expect(engine.applied.length).to.equal(sent)
  })

  for (const checksFencing of [true, false]) {
    it(`should send no order from an old holder that resumes after a pause, to an endpoint that ${checksFencing ? 'checks' : 'ignores'} fencing numbers`, async () => {
      const engine = new FakeEngine(checksFencing)
      const old = startHolder('a', engine, { models: ['from-a'] })
      await time.advance(5_000)
      stopRenewals(old)
      startHolder('b', engine, { models: ['from-b'] })
      await time.advance(2 * (TERM_MS + MARGIN_MS) + 5_000)
      old.orders.reset()
      await time.advance(60_000)
      expect(engine.placement.models).to.deep.equal(['from-b'])
      const numbers = engine.applied.map(order => order.fencingNumber)
      expect(numbers).to.deep.equal([...numbers].sort())
    })
  }

  it('should wait for the end of the old lease before the first order to an endpoint that ignores fencing numbers', async () => {
    const engine = new FakeEngine(false)
    const old = startHolder('a', engine)
    await time.advance(1_000)
    stopRenewals(old)
    const startedAtMs = performance.now()
    startHolder('b', engine)
    await time.advance(3 * (TERM_MS + MARGIN_MS))
    const first = engine.applied.find(order => order.fencingNumber === 2)!
    expect(first.atMs - startedAtMs).to.be.within(2 * (TERM_MS + MARGIN_MS) - 10, 2 * (TERM_MS + MARGIN_MS) + 2_000)
  })

  it('should not rely on an order that took longer than the lease, to an endpoint that ignores fencing numbers', async () => {
    const engine = new FakeEngine(false)
    const holder = startHolder('a', engine)
    await time.advance(5_000)
    stopRenewals(holder)
    engine.orderMs = TERM_MS
    holder.orders.reset()
    await time.advance(TERM_MS + 1_000)
    expect([holder.lease.isHeld(), holder.orders.getStatus().placement]).to.deep.equal([false, null])
  })

  it('should back off from an endpoint that refuses orders, and report the reason', async () => {
    const engine = new FakeEngine(true)
    engine.error = { kind: 'refused', message: 'no memory' }
    const { orders } = startHolder('a', engine)
    await time.advance(600_000)
    expect(orders.getStatus().failures).to.be.within(10, 60)
    expect(orders.getStatus().lastError).to.contain('no memory')
  })

  it('should let the lease lapse after an order without a response', async () => {
    const engine = new FakeEngine(false)
    const { orders } = startHolder('a', engine)
    engine.error = { kind: 'noAnswer', message: 'timed out' }
    await time.advance(1_000)
    expect(await orders.stop()).to.equal('uncertain')
    engine.error = null
    const next = startHolder('b', new FakeEngine(false))
    await next.lease.stop(createProgress())
    expect(await next.orders.stop()).to.equal('settled')
  })
})

/** Prevents renewals, as in a paused process. Its clock continues to run. */
function stopRenewals ({ service }: LeaseHolder): void {
  service.setFaults({ outage: true })
}

function createEndpoint (fields: Partial<Endpoint>): Endpoint {
  return { name: 'engine-1', kind: 'engine', models: ['small'], service: null, role: 'mixed', checksFencing: true, slots: 4, ...fields }
}
