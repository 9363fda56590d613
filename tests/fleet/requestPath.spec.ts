import { expect } from 'chai'

import { callService, getExpectedAnswer, sendChat } from './callers'
import { readState, startFleet, waitUntil } from './fleetFixture'

import type { Fleet } from './fleetFixture'

describe('request path', () => {
  let fleet: Fleet

  before(async () => {
    fleet = await startFleet({ gateways: 2, engines: [{}, {}], services: [{}] })
  })

  after(async () => {
    await fleet.stop()
  })

  it('should receive the load of every endpoint without a request', async () => {
    await waitUntil('the loads', async () => {
      const { endpoints } = await readState(fleet.gateways[0]!)
      return endpoints.length === 3 && endpoints.every((endpoint: any) => endpoint.load !== null)
    })
  })

  it('should stream a complete and exact chat completion', async () => {
    const result = await sendChat(fleet.gateways[0]!, 'trace this accord')
    expect(result).to.include({ status: 200, isComplete: true, text: getExpectedAnswer('trace this accord') })
  })

  it('should return a chat completion without streaming', async () => {
    const result = await sendChat(fleet.gateways[1]!, 'quote this part', { stream: false })
    expect(result).to.include({ status: 200, text: getExpectedAnswer('quote this part', { stream: false }) })
  })

  it('should return to each of many callers its own answer', async () => {
    const prompts = Array.from({ length: 40 }, (_, index) => `question ${index}`)
    const results = await Promise.all(prompts.map(async (prompt, index) => await sendChat(fleet.gateways[index % 2]!, prompt)))
    expect(results.map(result => result.text)).to.deep.equal(prompts.map(prompt => getExpectedAnswer(prompt)))
  })

  it('should book once and return the same answer to the same key through another gateway', async () => {
    const call = { idempotencyKey: 'booking-7', body: '{"mandrel":7}' }
    const first = await callService(fleet.gateways[0]!, 'desk/bookings', call)
    const second = await callService(fleet.gateways[1]!, 'desk/bookings', call)
    expect(first.status).to.equal(200)
    expect(second).to.include({ status: 200, text: first.text })
    expect(fleet.desks[0]!.getRecord().executions).to.have.length(1)
  })
})
