import { getExpectedAnswer } from './callers'
import { waitUntil } from './fleetFixture'

import type { EngineServer } from '../../standins/engine/engineServer'
import type { ServiceServer } from '../../standins/service/serviceServer'

/** Options of a chat whose answer takes a while. */
export const LONG_CHAT = { maxTokens: 120 }
const MIN_LONG_ANSWER_CHARACTERS = 600

/** Finds the `number`th prompt whose answer is nearly as long as allowed. */
export function findLongPrompt (number = 0): string {
  for (let index = 0, found = 0; ; index++) {
    const prompt = `regulatory note ${index}`
    if (getExpectedAnswer(prompt, LONG_CHAT).length > MIN_LONG_ANSWER_CHARACTERS && found++ === number) return prompt
  }
}

/** Waits until an engine has generated a few tokens of a request, and returns it. */
export async function waitForRunningEngine (engines: EngineServer[]): Promise<EngineServer> {
  const findRunning = () => engines.find(engine => engine.getRecord().runs.some(run => run.state === 'running' && run.tokens > 2))
  await waitUntil('a request to run', () => findRunning() !== undefined)
  return findRunning() as EngineServer
}

/** Counts what the services executed. */
export function countExecutions (desks: ServiceServer[]): number {
  return desks.reduce((sum, desk) => sum + desk.getRecord().executions.length, 0)
}
