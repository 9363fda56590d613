import { expect } from 'chai'

import { ByteCollector } from '../../src/protocol/byteCollector'
import { CallerMemory } from '../../src/relay/callerMemory'

import type { CallerHolding, GivenWay } from '../../src/relay/callerMemory'
import type { ReplyStage } from '../../src/relay/callerReply'

const MIB = 1_048_576
/** The least budget. */
const BUDGET_BYTES = 16 * MIB
const HEAD_BYTES = 100

describe('the memory for callers', () => {
  let nowMs: number
  let given: GivenWay[]
  let memory: CallerMemory

  beforeEach(() => {
    nowMs = 0
    given = []
    memory = new CallerMemory({ clock: { getWallMs: () => nowMs, getMonotonicMs: () => nowMs }, memoryMb: 1, handleGaveWay: way => given.push(way) })
  })

  function openHolding (owner: string, stage: ReplyStage = 'reading', isUnread = false): CallerHolding {
    return memory.open({ owner, getStage: () => stage, isUnread: () => isUnread, evict: () => {} }, HEAD_BYTES)
  }

  it('should take one body of the largest size in calm, and release it whole', () => {
    const holding = openHolding('a')
    expect(holding.add(4 * MIB)).to.equal(true)
    holding.close()
    expect(memory.totalBytes).to.equal(0)
  })

  it('should stop a crowd before the budget is used up, and let others go on', () => {
    const crowd = openHolding('crowd')
    expect(crowd.add(13 * MIB)).to.equal(false)
    expect(openHolding('other').add(MIB)).to.equal(true)
    expect(given).to.deep.equal([])
  })

  it('should go on with a waiting body once there is room', () => {
    const first = openHolding('a')
    const second = openHolding('a')
    first.add(11 * MIB)
    expect(second.add(2 * MIB)).to.equal(false)
    let hasRoom = false
    second.waitForRoom(() => { hasRoom = true })
    first.close()
    expect(hasRoom).to.equal(true)
    expect(memory.waitingCount).to.equal(0)
  })

  it('should let one give way when a body waits too long', async () => {
    const first = openHolding('crowd')
    first.add(11 * MIB)
    nowMs = 10
    const second = openHolding('crowd')
    second.add(2 * MIB)
    const resumed = new Promise<void>(resolve => second.waitForRoom(resolve))
    nowMs = 2000
    await resumed
    expect(given).to.have.length(1)
    expect(given[0]).to.include({ owner: 'crowd', stage: 'reading', idleMs: 2000 })
  })

  it('should stay within the budget at once, and leave requests that were sent', () => {
    const sent = openHolding('crowd', 'sent')
    sent.add(10 * MIB)
    openHolding('crowd', 'delivering', true).setReplyBytes(5 * MIB)
    expect(memory.reserve(4 * MIB)).to.equal(true)
    expect(given.map(({ stage }) => stage)).to.deep.equal(['delivering'])
    expect(memory.reserve(4 * MIB)).to.equal(false)
    expect(memory.totalBytes).to.be.at.most(BUDGET_BYTES)
  })

  it('should have the body dropped of a request that gives way as soon as it is counted', () => {
    openHolding('crowd', 'sent').add(BUDGET_BYTES)
    const late = openHolding('crowd')
    let isDropped = false
    late.setDrop(() => { isDropped = true })
    expect(given).to.have.length(1)
    expect(isDropped).to.equal(true)
  })

  it('should resume no more waiting bodies at once than there is room for', () => {
    const first = openHolding('a')
    first.add(12 * MIB)
    const waiting = Array.from({ length: 100 }, () => openHolding('a'))
    let resumed = 0
    for (const holding of waiting) holding.waitForRoom(() => { resumed += 1 })
    first.setReplyBytes(-MIB)
    expect(resumed).to.be.within(1, 17)
  })

  it('should hold little more than its bytes for a body of small parts between large ones', () => {
    const collector = new ByteCollector()
    let heldBytes = 0
    const parts = Array.from({ length: 400 }, (_, index) => Buffer.alloc(index % 2 === 0 ? 4096 : 100, index % 251))
    for (const part of parts) heldBytes += collector.push(part)
    const length = 200 * 4196
    expect(heldBytes).to.be.below(1.25 * length)
    expect(collector.takeAll().equals(Buffer.concat(parts))).to.equal(true)
  })

  it('should hold little more than its bytes for a body of tiny parts', () => {
    const collector = new ByteCollector()
    let heldBytes = 0
    for (let index = 0; index < 100_000; index++) heldBytes += collector.push(Buffer.from([index % 251]))
    // a block more than needed, and the overhead of seven blocks
    expect(heldBytes).to.be.below(100_000 + 16_384 + 8 * 256)
    const body = collector.takeAll()
    expect(body.length).to.equal(100_000)
    expect(body.every((byte, index) => byte === index % 251)).to.equal(true)
  })
})
