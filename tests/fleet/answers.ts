import { getExpectedAnswer } from './callers'
import { waitUntil } from './fleetFixture'

import type { EngineServer } from '../../standins/engine/engineServer'
import type { ServiceServer } from '../../standins/service/serviceServer'

/** Options of a chat with a long answer. */
export const LONG_CHAT = { maxTokens: 120 }
const MIN_LONG_ANSWER_CHARACTERS = 600

/** Finds the `number`th prompt, counted from 0, whose answer is longer than `MIN_LONG_ANSWER_CHARACTERS`. */
export function findLongPrompt (number = 0): string {
  for (let index = 0, found = 0; ; index++) {
    const prompt = `regulatory note ${index}`
    if (getExpectedAnswer(prompt, LONG_CHAT).length > MIN_LONG_ANSWER_CHARACTERS && found++ === number) return prompt
  }
}

/** Waits until an engine has generated more than two tokens of a request; returns that engine. */
export async function waitForRunningEngine (engines: EngineServer[]): Promise<EngineServer> {
  const findRunning = () => engines.find(engine => engine.getRecord().runs.some(run => run.state === 'running' && run.tokens > 2))
  await waitUntil('a request to start generating', () => findRunning() !== undefined)
  return findRunning() as EngineServer
}

/** Counts the executions of the services. */
export function countExecutions (desks: ServiceServer[]): number {
  return desks.reduce((sum, desk) => sum + desk.getRecord().executions.length, 0)
}
