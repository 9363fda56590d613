import { Result } from 'true-myth'
import { expect } from 'chai'

import { ManualClock } from '../../src/base/clock'
import { selectIntents } from '../../src/duties/dutyRecord'
import { TrueTime } from '../../src/duties/trueTime'
import { UsageCounts } from '../../src/duties/usageCounts'
import { UsageExchange } from '../../src/duties/usageExchange'
import { usageUpdateSchema } from '../../src/protocol/usageMessages'

import type { UsageUpdate } from '../../src/protocol/usageMessages'

function buildCounts (process: string, maxEntries?: number): UsageCounts {
  return new UsageCounts({ process, domain: 'a', sinceMs: 0, maxEntries })
}

/** Builds the exchange of a member with one reader, which applies what `receive` lets through. */
function buildExchange (counts: UsageCounts, receive: (update: UsageUpdate) => string | null, getReported = () => -Infinity): UsageExchange {
  const clock = new ManualClock()
  return new UsageExchange({
    clock,
    random: () => 0.5,
    process: 'p-1',
    counts,
    trueTime: new TrueTime(clock),
    getReported,
    recordReported: () => {},
    listPeers: () => [{
      id: 'reader',
      sendUsageUpdate: async update => {
        const process = receive(usageUpdateSchema.parse(update))
        return process === null ? Result.err('lost') : Result.ok({ process, reported: null, trueMs: 0 })
      }
    }],
    getTeller: () => null,
    openPeer: () => { throw new Error('no gateway of another failure domain was heard') },
    handleInterval: () => {},
    handleError: () => {}
  })
}

describe('counts of requests that began', () => {
  it('should be the same when messages are repeated, overtaken or lost', () => {
    const member = buildCounts('p-1')
    const reader = buildCounts('p-2')
    for (let run = 0; run < 5; run++) member.recordRun('w', 7)
    const early = member.listUnknown(0, 100)
    for (let run = 0; run < 5; run++) member.recordRun('w', 7)
    member.recordRun('v', 7)
    const late = member.listUnknown(early.revision, 100)
    for (const { counts } of [late, early, late, early]) reader.merge(counts)
    reader.recordRun('w', 7)
    expect(reader.computeTotals(7)).to.deep.equal([['v', 1], ['w', 11]])
  })

  it('should be told in parts, and no more once all are known', () => {
    const member = buildCounts('p-1')
    const reader = buildCounts('p-2')
    for (let workspace = 0; workspace < 25; workspace++) member.recordRun(`w-${workspace}`, 7)
    let revision = 0
    for (let part = 0; part < 3; part++) {
      const told = member.listUnknown(revision, 10)
      reader.merge(told.counts)
      revision = told.revision
    }
    expect(reader.computeTotals(7)).to.have.length(25)
    expect(member.listUnknown(revision, 10)).to.deep.equal({ counts: [], revision })
  })

  it('should keep to their bounds, in entries, windows and bytes of the stored object', () => {
    const counts = buildCounts('p-1', 100)
    for (let workspace = 0; workspace < 150; workspace++) counts.recordRun(`w-${workspace}`, 7)
    expect([counts.entryCount, counts.leftOutCount]).to.deep.equal([100, 50])
    counts.expire(7, 8)
    expect(counts.entryCount).to.equal(0)
    // a window that is settled is not counted again
    counts.recordRun('w', 7)
    counts.recordRun('w', 8)
    expect(counts.entryCount).to.equal(1)
    counts.expire(-Infinity, 20)
    expect(counts.entryCount).to.equal(0)
    const large = Array.from({ length: 13_000 }, (_, index): [string, number] => [`workspace-with-a-name-${index}`, 12])
    const { kept, dropped } = selectIntents([1, 2, 3, 4].map(window => [window, large]))
    expect(JSON.stringify(kept).length).to.be.below(1_000_000)
    expect([...dropped, ...kept.map(([window]) => window)]).to.deep.equal([1, 2, 3, 4])
  })

  it('should be told again after a lost message, all of them to a process that started again, and nothing without news', async () => {
    const counts = buildCounts('p-1')
    const told: UsageUpdate[] = []
    let process: string | null = null
    let reported = -Infinity
    const exchange = buildExchange(counts, update => {
      told.push(update)
      return process
    }, () => reported)
    counts.recordRun('w', 7)
    await exchange.flush()
    process = 'reader-1'
    await exchange.flush()
    await exchange.flush()
    expect(told.map(update => update.counts.length)).to.deep.equal([1, 1])
    counts.recordRun('v', 7)
    process = 'reader-2'
    await exchange.flush()
    await exchange.flush()
    expect(told.slice(2).map(update => update.counts[0]![3][0]![1])).to.deep.equal([[['v', 1]], [['w', 1], ['v', 1]]])
    reported = 6
    await exchange.flush()
    await exchange.flush()
    expect(told.slice(4).map(update => update.reported)).to.deep.equal([6])
  })

  it('should be told whole to a gateway that reads for itself, after the reader of its failure domain has lost the object service', async () => {
    const clock = new ManualClock()
    const known = new UsageCounts({ process: 'reader-a', domain: 'a', sinceMs: 0 })
    const replacement = new UsageCounts({ process: 'member-b', domain: 'b', sinceMs: 0 })
    known.recordRun('archivists', 7)
    known.merge([['lost-reader-b', 'b', 0, [[7, [['archivists', 30]]]]], ['other-member-b', 'b', 0, [[7, [['archivists', 5]]]]]])
    replacement.recordRun('archivists', 7)
    const exchange = new UsageExchange({
      clock,
      random: () => 0.5,
      process: 'reader-a',
      counts: known,
      trueTime: new TrueTime(clock),
      getReported: () => -Infinity,
      recordReported: () => {},
      listPeers: () => [],
      getTeller: () => ({ id: 'gateway-a', domain: 'a', address: '127.0.0.1:1' }),
      openPeer: ({ id }) => ({
        id,
        sendUsageUpdate: async update => {
          replacement.merge(usageUpdateSchema.parse(update).counts)
          return Result.ok({ process: 'member-b', reported: null, trueMs: 0 })
        }
      }),
      handleInterval: () => {},
      handleError: () => {}
    })
    exchange.receiveUpdate({ process: 'member-b', reported: null, ownMs: 0, teller: { id: 'gateway-b2', domain: 'b', address: '127.0.0.1:2' }, counts: replacement.listUnknown(0, 10).counts })
    await exchange.flush()
    expect(replacement.computeTotals(7)).to.deep.equal([['archivists', 37]])
    clock.advance(6000)
    known.recordRun('archivists', 7)
    await exchange.flush()
    expect(replacement.computeTotals(7)).to.deep.equal([['archivists', 37]])
  })
})
