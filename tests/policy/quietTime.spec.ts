import { expect } from 'chai'

import { chooseDirectEndpoint, updateRoom } from '../../src/policy/directChooser'
import { isEjected } from '../../src/policy/directEndpoint'
import { findQuietRestMs, isQuiet, recordQuiet } from '../../src/policy/quietTime'
import { buildChoiceRequest, buildChooserOptions, buildEndpoint } from './directFixtures'

describe('an endpoint that asks to be left alone', () => {
  it('should be quiet for the time that it asked for, without being ejected', () => {
    const endpoint = buildEndpoint('e-1')
    recordQuiet(endpoint, 800, 1000)
    expect([isQuiet(endpoint, 1799), isQuiet(endpoint, 1800), isEjected(endpoint, 1001)]).to.deep.equal([true, false, false])
  })

  it('should not be released by a shorter time told later', () => {
    const endpoint = buildEndpoint('e-1')
    recordQuiet(endpoint, 800, 1000)
    recordQuiet(endpoint, 100, 1100)
    expect(isQuiet(endpoint, 1700)).to.equal(true)
  })

  it('should not be left alone for an absurd time', () => {
    const endpoint = buildEndpoint('e-1')
    recordQuiet(endpoint, 86_400_000, 0)
    expect(isQuiet(endpoint, 60_001)).to.equal(false)
  })

  it('should not be chosen while another one takes requests, not even as the home of the prompt', () => {
    const home = buildEndpoint('home')
    const other = buildEndpoint('other')
    recordQuiet(home, 5000, 0)
    const request = buildChoiceRequest({ promptParts: [{ id: 'a1', tokens: 2000 }, { id: 'b1', tokens: 100 }] })
    expect(chooseDirectEndpoint(request, [home, other], buildChooserOptions({ holders: [home, other] }))?.endpoint).to.equal(other)
  })

  it('should have no room, also for a request that had chosen it before', () => {
    const endpoint = buildEndpoint('e-1')
    const options = buildChooserOptions()
    const choice = chooseDirectEndpoint(buildChoiceRequest(), [endpoint], options)!
    expect(choice.hasRoom).to.equal(true)
    recordQuiet(endpoint, 500, 0)
    expect(updateRoom(choice, options).hasRoom).to.equal(false)
    expect(updateRoom(choice, { ...options, nowMs: 500 }).hasRoom).to.equal(true)
  })

  it('should count as the earliest room only when no other one takes requests', () => {
    const quiet = buildEndpoint('e-1')
    const quieter = buildEndpoint('e-2')
    recordQuiet(quiet, 300, 0)
    recordQuiet(quieter, 900, 0)
    expect(findQuietRestMs([quiet, quieter], 100)).to.equal(200)
    expect(findQuietRestMs([quiet, quieter, buildEndpoint('e-3')], 100)).to.equal(null)
    expect(findQuietRestMs([], 100)).to.equal(null)
  })
})
