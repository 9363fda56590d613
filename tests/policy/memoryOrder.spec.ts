import { expect } from 'chai'

import { chooseToGiveWay, hasRoom } from '../../src/policy/memoryOrder'

const BUDGET = { budgetBytes: 1000 }

function buildHolding (owner: string, progressAtMs: number, canGiveWay = true) {
  return { owner, bytes: 10, progressAtMs, canGiveWay }
}

describe('the order in which requests give way', () => {
  const ownerBytes = new Map([['crowd', 500], ['other', 100]])

  it('should begin with the owner that holds the most, and its oldest without progress', () => {
    const oldest = buildHolding('crowd', 10)
    expect(chooseToGiveWay([buildHolding('other', 1), buildHolding('crowd', 20), oldest, buildHolding('crowd', 30)], ownerBytes)).to.equal(oldest)
  })

  it('should go on with other owners where nothing of the largest may give way', () => {
    const other = buildHolding('other', 50)
    expect(chooseToGiveWay([buildHolding('crowd', 10, false), other], ownerBytes)).to.equal(other)
  })

  it('should choose nothing where nothing may give way', () => {
    expect(chooseToGiveWay([buildHolding('crowd', 10, false)], ownerBytes)).to.equal(null)
  })

  it('should leave the last quarter to owners that hold little', () => {
    expect(hasRoom({ ...BUDGET, totalBytes: 750, ownerBytes: 750 })).to.equal(true)
    expect(hasRoom({ ...BUDGET, totalBytes: 751, ownerBytes: 700 })).to.equal(false)
    expect(hasRoom({ ...BUDGET, totalBytes: 800, ownerBytes: 125 })).to.equal(true)
    expect(hasRoom({ ...BUDGET, totalBytes: 1001, ownerBytes: 1 })).to.equal(false)
  })
})
