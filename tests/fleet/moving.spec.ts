import { expect } from 'chai'

import { findLongPrompt, LONG_CHAT, waitForRunningEngine } from './answers'
import { getExpectedAnswer, sendChat } from './callers'
import { startFleet } from './fleetFixture'

import type { Fleet } from './fleetFixture'

const SLOW_FACTOR = 40
const SLOW_ENGINE_ANSWER_MS = 20_000

describe('moving a stream', () => {
  let fleet: Fleet

  afterEach(async () => {
    await fleet.stop()
  })

  it('should move a stream away from an engine that became slow, and keep its answer complete', async () => {
    fleet = await startFleet({ engines: [{}, {}] })
    await Promise.all(Array.from({ length: 6 }, async (_, number) => await sendChat(fleet.gateways[0]!, `warm up ${number}`)))
    const prompt = findLongPrompt()
    const answer = sendChat(fleet.gateways[0]!, prompt, LONG_CHAT)
    const engine = await waitForRunningEngine(fleet.engines)
    await engine.host.setFaults({ slowFactor: SLOW_FACTOR })
    const result = await answer
    expect(result).to.include({ isComplete: true, text: getExpectedAnswer(prompt, LONG_CHAT) })
    expect(result.elapsedMs).to.be.below(SLOW_ENGINE_ANSWER_MS / 2)
    const resumed = fleet.engines.flatMap(other => other.getRecord().runs).filter(run => run.resumedAt > 0)
    expect(resumed).to.have.length(1)
  })
})
