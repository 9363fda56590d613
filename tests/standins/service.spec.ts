import { expect } from 'chai'

import { generateServiceAnswer } from '../../standins/service/generateServiceAnswer'
import { startService } from '../../standins/service/serviceServer'

import type { ServiceOptions, ServiceServer } from '../../standins/service/serviceServer'

describe('service stand-in', () => {
  it('should execute a call once and answer according to its content', async () => {
    await withService({}, async service => {
      const answer = await sendCall(service, 'ten blanks')
      expect(await answer.text()).to.equal(generateServiceAnswer({ method: 'POST', path: '/bookings', body: 'ten blanks' }))
      expect(service.getRecord().executions).to.have.length(1)
      expect(service.getRecord().executions[0]).to.deep.include({ idempotencyKey: 'key-1', state: 'answered' })
    })
  })

  it('should record an execution whose answer is lost', async () => {
    await withService({}, async service => {
      await service.host.setFaults({ executeThenLoseAnswer: 1 })
      expect(await sendCall(service, 'lost').catch(() => 'lost')).to.equal('lost')
      expect(service.getRecord().executions.map(execution => execution.state)).to.deep.equal(['answerLost'])
    })
  })

  it('should start no more calls than it has slots', async () => {
    await withService({ slots: 1 }, async service => {
      await Promise.all(['a', 'b', 'c'].map(body => sendCall(service, body)))
      const executions = service.getRecord().executions
      expect(executions).to.have.length(3)
      for (const [position, execution] of executions.slice(1).entries()) {
        expect(execution.startedAtMs).to.be.at.least(executions[position]!.endedAtMs!)
      }
    })
  })
})

async function withService (options: Partial<ServiceOptions>, test: (service: ServiceServer) => Promise<void>): Promise<void> {
  const service = await startService({ name: 'desk-1', serviceMs: 4, ...options })
  try {
    await test(service)
  } finally {
    await service.host.close()
  }
}

async function sendCall (service: ServiceServer, body: string): Promise<Response> {
  return await fetch(`${service.host.url}/bookings`, { method: 'POST', headers: { 'idempotency-key': 'key-1' }, body })
}
