import { expect } from 'chai'

import { EXIT_CODES } from '../../src/cli/exitCodes'
import { endProcess } from '../../src/relay/endProcess'

import type { DecisionLog } from '../../src/base/decisionLog'

const FAULT = 'the output is closed'

describe('end of a process', () => {
  const { kill } = process

  afterEach(() => { process.kill = kill })

  // a process whose log could not be written once stayed until the platform killed it
  for (const name of ['write', 'flush'] as const) {
    it(`should end the process when its log fails to ${name}`, async () => {
      const killed: unknown[] = []
      process.kill = (...call: unknown[]) => {
        killed.push(call)
        return true
      }
      const log = { write: () => {}, flush: async () => true, [name]: () => { throw new Error(FAULT) } } as unknown as DecisionLog
      const error = await endProcess(log, EXIT_CODES.ok).catch((thrown: Error) => thrown.message)
      expect({ error, killed }).to.deep.equal({ error: FAULT, killed: [[process.pid, 'SIGKILL']] })
    })
  }
})
