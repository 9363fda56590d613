import { expect } from 'chai'

import { compileFleetConfig } from '../../src/config/compileFleetConfig'
import { loadFleetFolder } from '../../src/config/loadFleetFolder'
import { buildBurstPlan } from '../../standins/player/burstPlan'
import { CLASS_PROFILES, DEPLOYMENTS } from '../../standins/player/deploymentProfiles'
import { LoadPlayer } from '../../standins/player/loadPlayer'
import { generateExpectedAnswer, hashPlannedRequest } from '../../standins/player/plannedRequest'
import { HttpServer } from '../../standins/shared/httpServer'
import { createSeededRandom } from '../../standins/shared/seededRandom'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { SendOutcome } from '../../standins/player/callerRecord'
import type { PlannedRequest } from '../../standins/player/plannedRequest'

const SEED = 7

describe('load player', () => {
  for (const deployment of DEPLOYMENTS) {
    it(`should plan the same burst for the same seed, ${deployment}, seed ${SEED}`, () => {
      const tree = loadFleetFolder(`examples/${deployment}`).unwrapOr(null)
      const config = compileFleetConfig(tree!, 1)
      const makePlan = () => buildBurstPlan({ config, profiles: CLASS_PROFILES[deployment], random: createSeededRandom(SEED), durationMs: 1000, tokens: 3000, gatewayCount: 3 })
      const plan = makePlan()
      expect(plan).to.deep.equal(makePlan())
      expect(new Set(plan.map(hashPlannedRequest)).size).to.equal(plan.length)
      for (const request of plan) expect(config.workspaces.get(request.workspace)!.classes).to.include(request.className)
    })
  }

  it('should distinguish complete, wrong, truncated and failed answers', async () => {
    const request = makeChat()
    const text = generateExpectedAnswer(request)
    expect(await playOnce(request, makeStream([text], true))).to.deep.equal({ kind: 'answered', isExact: true })
    expect(await playOnce(request, makeStream([text.slice(1)], true))).to.deep.equal({ kind: 'answered', isExact: false })
    expect(await playOnce(request, makeStream([text], false))).to.deep.include({ kind: 'broken' })
    const failure = `data: ${JSON.stringify({ error: { code: 'endpoint_failed', execution: 'may_have_run' } })}\n\n`
    expect(await playOnce(request, makeStream([text], false) + failure)).to.deep.include({ kind: 'refused', code: 'endpoint_failed', execution: 'may_have_run' })
  })

  it('should retry after Retry-After with the same key through another gateway', async () => {
    const keys: Array<string | undefined> = []
    const handle = (request: IncomingMessage, response: ServerResponse) => {
      keys.push(request.headers['idempotency-key']?.toString())
      response.writeHead(503, { 'retry-after': '0' })
      response.end(JSON.stringify({ error: { code: 'overloaded', execution: 'not_run' } }))
    }
    const booking: PlannedRequest = { ...makeChat(), idempotent: false, idempotencyKey: 'key-1', call: { kind: 'service', service: 'desk', call: { method: 'POST', path: '/bookings', body: '{}' } } }
    await withGateways(2, handle, async gateways => {
      const player = new LoadPlayer({ gateways, silenceMs: 10_000, random: () => 0, maxRetries: 2, lastRetryMs: 60_000 })
      const [record] = await player.play([booking])
      expect(record!.sends.map(send => send.gateway)).to.deep.equal([0, 1, 0])
      expect(keys).to.deep.equal(['key-1', 'key-1', 'key-1'])
    })
  })
})

function makeChat (): PlannedRequest {
  const body = { model: 'm', messages: [{ role: 'user', content: 'hello' }], max_tokens: 32, stream: true }
  return { id: 'a', atMs: 0, gateway: 0, workspace: 'w', apiKey: 'k', className: 'c', idempotent: true, call: { kind: 'chat', body } }
}

function makeStream (texts: string[], isComplete: boolean): string {
  const events = texts.map(content => `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`)
  return events.join('') + (isComplete ? 'data: [DONE]\n\n' : '')
}

async function playOnce (request: PlannedRequest, answer: string): Promise<SendOutcome> {
  let outcome: SendOutcome | undefined
  await withGateways(1, (_, response) => { response.end(answer) }, async gateways => {
    const player = new LoadPlayer({ gateways, silenceMs: 10_000, random: () => 0, maxRetries: 0, lastRetryMs: 60_000 })
    const [record] = await player.play([request])
    outcome = record!.sends[0]!.outcome
  })
  return outcome!
}

async function withGateways (count: number, handle: (request: IncomingMessage, response: ServerResponse) => void, test: (gateways: string[]) => Promise<void>): Promise<void> {
  const servers = Array.from({ length: count }, () => new HttpServer(handle, {}))
  for (const server of servers) await server.open()
  try {
    await test(servers.map(server => server.address))
  } finally {
    for (const server of servers) await server.close()
  }
}
