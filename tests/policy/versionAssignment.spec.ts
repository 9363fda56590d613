import { expect } from 'chai'

import { BUCKET_COUNT, hashStreamId, parseKeyBucket } from '../../src/policy/streamIds'
import { countBuckets, decideAssignmentChange, mergeRestored } from '../../src/policy/versionAssignment'
import { buildAssignment, buildAssignmentInputs } from './versionFixtures'

import type { VersionAssignment } from '../../src/policy/versionAssignment'

describe('the assignment of streams to software versions', () => {
  it('should be created once an endpoint with a version accepts requests', () => {
    expect(decideAssignmentChange(null, buildAssignmentInputs({}))).to.equal(null)
    const change = decideAssignmentChange(null, buildAssignmentInputs({ v1: 6, v2: 2 }))
    expect(change?.reason).to.equal('created')
    expect(countShares(change!.assignment)).to.deep.equal({ v1: 192, v2: 64 })
    expect(change!.assignment.buckets.every(({ versions }) => versions.length === 1)).to.equal(true)
  })

  it('should not be certain about streams from before it was created where an earlier one may be lost', () => {
    const change = decideAssignmentChange(null, buildAssignmentInputs({ v1: 6 }, { era: 1, mayBeLost: true }))
    expect(change!.assignment.buckets[0]).to.deep.include({ versions: ['v1', null] })
  })

  it('should stay while the endpoints of a version come and go', () => {
    for (const count of [1, 5, 8, 600]) expect(decideAssignmentChange(buildAssignment(), buildAssignmentInputs({ v1: count }))).to.equal(null)
    expect(decideAssignmentChange(buildAssignment(), buildAssignmentInputs({}))).to.equal(null)
  })

  it('should move as few buckets as possible to a version that joins, and remember the version before', () => {
    const change = decideAssignmentChange(buildAssignment(), buildAssignmentInputs({ v1: 7, v2: 1 }))!
    expect(change.reason).to.equal('versionJoined')
    expect(countShares(change.assignment)).to.deep.equal({ v1: 224, v2: 32 })
    const moved = change.assignment.buckets.filter(({ versions }) => versions.length > 1)
    expect(moved).to.have.length(32)
    for (const bucket of moved) expect(bucket).to.deep.equal({ versions: ['v2', 'v1'], changedAt: 2, ageMs: 0 })
  })

  it('should give a version with one endpoint of many a bucket', () => {
    const change = decideAssignmentChange(buildAssignment(), buildAssignmentInputs({ v1: 599, v2: 1 }))!
    expect(countShares(change.assignment)).to.deep.equal({ v1: 255, v2: 1 })
  })

  it('should move all buckets of a version whose endpoints have left', () => {
    const both = decideAssignmentChange(buildAssignment(), buildAssignmentInputs({ v1: 4, v2: 4 }))!.assignment
    const change = decideAssignmentChange(both, buildAssignmentInputs({ v2: 8 }, { knownVersions: new Set(['v1', 'v2']) }))!
    expect(change.reason).to.equal('versionLeft')
    expect(countShares(change.assignment)).to.deep.equal({ v2: 256 })
    expect(change.assignment.buckets.every(({ versions }) => versions.includes('v1'))).to.equal(true)
  })

  it('should not take buckets from a version of whose endpoints this process has not read yet', () => {
    const both = decideAssignmentChange(buildAssignment(), buildAssignmentInputs({ v1: 4, v2: 4 }))!.assignment
    expect(decideAssignmentChange(both, buildAssignmentInputs({ v1: 4 }))).to.equal(null)
  })

  it('should follow the shares of the endpoints only where they differ by more than an eighth', () => {
    const both = decideAssignmentChange(buildAssignment(), buildAssignmentInputs({ v1: 4, v2: 4 }))!.assignment
    expect(decideAssignmentChange(both, buildAssignmentInputs({ v1: 5, v2: 3 }))).to.equal(null)
    expect(decideAssignmentChange(both, buildAssignmentInputs({ v1: 6, v2: 2 }))?.reason).to.equal('unbalanced')
  })

  it('should drop earlier versions whose streams have ended, and write down the age of the others', () => {
    const moved = buildAssignment(['v2', 'v1'])
    const expired = decideAssignmentChange(moved, buildAssignmentInputs({ v2: 4 }, { isExpired: bucket => bucket < 10 }))!
    expect(expired.reason).to.equal('expired')
    expect(expired.assignment.buckets.filter(({ versions }) => versions.length === 1)).to.have.length(10)
    expect(decideAssignmentChange(moved, buildAssignmentInputs({ v2: 4 }, { getAgeMs: () => 900 }))).to.equal(null)
    const aged = decideAssignmentChange(moved, buildAssignmentInputs({ v2: 4 }, { getAgeMs: () => 2100.5 }))!
    expect([aged.reason, aged.assignment.buckets[0]]).to.deep.equal(['aged', { versions: ['v2', 'v1'], changedAt: 1, ageMs: 2100 }])
  })

  it('should trust no earlier statement after a restore of the object service', () => {
    const known = buildAssignment(['v2', 'v1'], { sequence: 9, changedAt: 9, ageMs: 4000 })
    const change = decideAssignmentChange(mergeRestored(known, buildAssignment(['v1'], { sequence: 7 })), buildAssignmentInputs({ v2: 4 }, { era: 1 }))!
    expect(change.reason).to.equal('restored')
    expect(change.assignment).to.deep.include({ sequence: 10, era: 1 })
    expect(change.assignment.buckets[0]).to.deep.equal({ versions: ['v2', 'v1', null], changedAt: 10, ageMs: 0 })
  })

  it('should cover the longest time limit of callers', () => {
    const change = decideAssignmentChange(buildAssignment(), buildAssignmentInputs({ v1: 1 }, { limits: { longestMs: 9000, byRoute: { 'r-1': 8500, 'r-2': 9000 } } }))!
    expect([change.reason, change.assignment.limits]).to.deep.equal(['longerLimit', { longestMs: 9000, byRoute: { 'r-1': 8500 } }])
    expect(decideAssignmentChange(change.assignment, buildAssignmentInputs({ v1: 1 }, { limits: { longestMs: 100, byRoute: { 'r-1': 100, 'r-2': 100 } } }))).to.equal(null)
  })

  it('should remember a bounded number of versions, and be uncertain beyond', () => {
    let assignment = buildAssignment(['v0'])
    for (let release = 1; release < 20; release++) {
      const inputs = buildAssignmentInputs({ [`v${release}`]: 4 }, { knownVersions: new Set([`v${release - 1}`, `v${release}`]) })
      while (countBuckets(assignment).get(`v${release}`) !== BUCKET_COUNT) assignment = decideAssignmentChange(assignment, inputs)!.assignment
    }
    expect(assignment.buckets[0]!.versions).to.have.length(8)
    expect(assignment.buckets[0]!.versions.at(-1)).to.equal(null)
  })
})

describe('the bucket of an attempt id', () => {
  it('should be the same everywhere and spread evenly', () => {
    expect(hashStreamId('a-1')).to.deep.equal(hashStreamId('a-1'))
    const counts = new Array<number>(BUCKET_COUNT).fill(0)
    for (let index = 0; index < 25_600; index++) counts[hashStreamId(`attempt-${index}`).bucket]! += 1
    expect(Math.min(...counts)).to.be.above(50)
    expect(Math.max(...counts)).to.be.below(160)
  })

  it('should be read from a key, and only from a key', () => {
    const { bucket, key } = hashStreamId('a-1')
    expect(parseKeyBucket(key)).to.equal(bucket)
    for (const text of ['', 'x', `${key}AA`, '%%%%%%%%%%']) expect(parseKeyBucket(text)).to.equal(null)
  })
})

function countShares (assignment: VersionAssignment): Record<string, number> {
  return Object.fromEntries([...countBuckets(assignment)].sort())
}
