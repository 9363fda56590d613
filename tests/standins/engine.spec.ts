import { expect } from 'chai'

import { startEngine } from '../../standins/engine/engineServer'
import { generateAnswer } from '../../standins/engine/generateAnswer'
import { ChatStreamReader } from '../../standins/player/chatStreamReader'

import type { EngineOptions, EngineServer } from '../../standins/engine/engineServer'

describe('engine stand-in', () => {
  it('should stream the complete answer and resume a truncated one', async () => {
    await withEngine({}, async engine => {
      const body = makeBody('lineage of an accord', 64)
      const chunks = generateAnswer(body)
      expect(await readAnswer(engine, body)).to.deep.equal({ text: chunks.join(''), isComplete: true })
      const resume = { text: chunks.slice(0, 2).join(''), chunkCount: 2 }
      expect((await readAnswer(engine, { ...body, resume })).text).to.equal(chunks.slice(2).join(''))
      const run = engine.getRecord().runs[1]
      expect(run).to.deep.include({ resumedAt: 2, tokens: chunks.length - 2, state: 'completed', attemptId: 'attempt-1' })
    })
  })

  it('should stop generating when the connection is closed', async () => {
    await withEngine({}, async engine => {
      const abort = new AbortController()
      const response = await sendChat(engine, makeLongBody(), abort.signal)
      await response.body!.getReader().read()
      abort.abort()
      await waitFor(() => engine.getRecord().runs[0]?.state === 'cancelled')
    })
  })

  it('should start waiting requests in the order of their priority', async () => {
    await withEngine({ slots: 1 }, async engine => {
      const abort = new AbortController()
      await sendChat(engine, makeLongBody(), abort.signal)
      const low = readAnswer(engine, makeBody('low', 16), 6)
      await waitFor(() => engine.getRecord().runs.length === 2)
      const high = readAnswer(engine, makeBody('high', 16), 1)
      await waitFor(() => engine.getRecord().runs.length === 3)
      abort.abort()
      await Promise.all([low, high])
      const startTimes = engine.getRecord().runs.map(run => run.startedAtMs!)
      expect(startTimes[1]).to.be.greaterThan(startTimes[2]!)
    })
  })

  it('should crash at a marked prompt and restart with another boot identifier', async () => {
    await withEngine({ restartMs: 20 }, async engine => {
      const bootId = engine.host.bootId
      await engine.host.setFaults({ crashMarker: 'POISON' })
      const outcome = await readAnswer(engine, makeBody('a POISON prompt', 64)).catch(() => 'cut')
      expect(outcome).not.to.deep.include({ isComplete: true })
      await waitFor(async () => (await fetch(`${engine.host.url}/health`).catch(() => null))?.ok ?? false)
      expect(engine.host.bootId).not.to.equal(bootId)
      expect(engine.getRecord().runs[0]!.state).to.equal('crashed')
    })
  })

  it('should stall open connections after a freeze while new ones work', async () => {
    await withEngine({}, async engine => {
      const frozen = await sendChat(engine, makeLongBody())
      let received = 0
      readAll(frozen, () => { received += 1 }).catch(() => {})
      await waitFor(() => received > 0)
      await engine.host.setFaults({ freeze: true })
      const run = engine.getRecord().runs[0]!
      const tokensAtFreeze = run.tokens
      expect((await readAnswer(engine, makeBody('another', 16))).isComplete).to.equal(true)
      await waitFor(() => run.tokens > tokensAtFreeze + 20)
      expect(received).to.be.at.most(tokensAtFreeze)
      expect(run.state).to.equal('running')
    })
  })

  it('should refuse an order with an outdated fencing number only when it checks fencing', async () => {
    for (const checksFencing of [true, false]) {
      await withEngine({ checksFencing, models: [], orderMs: 0 }, async engine => {
        const statuses = []
        for (const fencingNumber of [2, 1, 2]) statuses.push((await sendOrder(engine, fencingNumber)).status)
        expect(statuses).to.deep.equal(checksFencing ? [200, 409, 200] : [200, 200, 200])
        expect(engine.getRecord().orders.map(order => order.fencingNumber)).to.deep.equal([2, 1, 2])
      })
    }
  })
})

function makeBody (text: string, maxTokens: number) {
  return { model: 'small', messages: [{ role: 'user', content: text }], max_tokens: maxTokens }
}

function makeLongBody () {
  for (let attempt = 0; ; attempt++) {
    const body = makeBody(`long ${attempt}`, 2000)
    if (generateAnswer(body).length > 500) return body
  }
}

async function withEngine (options: Partial<EngineOptions>, test: (engine: EngineServer) => Promise<void>): Promise<void> {
  const engine = await startEngine({ name: 'engine-1', models: ['small'], stepMs: 2, ...options })
  try {
    await test(engine)
  } finally {
    await engine.host.close()
  }
}

async function sendChat (engine: EngineServer, body: object, signal?: AbortSignal, priority = 1): Promise<Response> {
  const headers = { 'x-priority': String(priority), 'x-tanagerwick-attempt': 'attempt-1' }
  return await fetch(`${engine.host.url}/v1/chat/completions`, { method: 'POST', headers, body: JSON.stringify(body), signal })
}

async function readAnswer (engine: EngineServer, body: object, priority = 1): Promise<{ text: string, isComplete: boolean }> {
  const response = await sendChat(engine, body, undefined, priority)
  const reader = new ChatStreamReader(() => {})
  for await (const part of response.body!) reader.push(part)
  return { text: reader.text, isComplete: reader.isComplete }
}

async function readAll (response: Response, handleText: () => void): Promise<void> {
  const reader = new ChatStreamReader(handleText)
  for await (const part of response.body!) reader.push(part)
}

async function sendOrder (engine: EngineServer, fencingNumber: number): Promise<Response> {
  const body = JSON.stringify({ fencingNumber, order: { kind: 'loadModel', model: 'small' } })
  return await fetch(`${engine.host.url}/orders`, { method: 'POST', body })
}

async function waitFor (check: () => boolean | Promise<boolean>): Promise<void> {
  while (!await check()) await new Promise(resolve => setImmediate(resolve))
}
