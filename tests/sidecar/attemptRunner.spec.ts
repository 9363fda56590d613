import { expect } from 'chai'

import { ManualClock } from '../../src/base/clock'
import { ClassDurations } from '../../src/policy/classDurations'
import { AttemptRunner } from '../../src/sidecar/attemptRunner'
import { createNotRun } from '../../src/sidecar/outcomes'
import { makeAttempt } from './attemptFixture'

import type { Attempt } from '../../src/sidecar/attempt'
import type { EndpointMonitor } from '../../src/sidecar/endpoint/endpointMonitor'
import type { EndpointEnd, EndpointRunOptions } from '../../src/sidecar/endpoint/endpointRun'

const DEADLINE_MS = 21_000
const COMPLETED: EndpointEnd = { kind: 'completed', status: 200, contentType: 'text/plain' }
const SILENT: EndpointEnd = { kind: 'silent', message: 'no byte received' }

describe('AttemptRunner', () => {
  it('should read crashes stored by other sidecars before it runs a request that crashed an endpoint once', async () => {
    const { runner, runs, syncs } = makeRunner({ crashCount: 1, refusal: createNotRun('poison', 0) })
    const attempt = makeAttempt('a')
    await runner.run(attempt)
    expect([syncs, runs.length, attempt.outcome]).to.deep.equal([['a'], 0, createNotRun('poison', 0)])
  })

  it('should run a request that crashed an endpoint once when no further crash is stored', async () => {
    const { runner, runs, syncs } = makeRunner({ crashCount: 1 })
    await runner.run(makeAttempt('a'))
    expect([syncs, runs.length]).to.deep.equal([['a'], 1])
  })

  it('should not read stored crashes for a request without crashes', async () => {
    const { runner, syncs } = makeRunner({})
    await runner.run(makeAttempt('a'))
    expect(syncs).to.deep.equal([])
  })

  it('should leave time for a retry when an idempotent call of an unknown class stalls', async () => {
    const { runner, runs } = makeRunner({ ends: [SILENT] })
    const attempt = makeCall('a')
    await runner.run(attempt)
    expect(runs[0]!.silenceMs).to.equal(DEADLINE_MS / 3)
    expect(attempt.outcome).to.include({ kind: 'failedAfterStart', reason: 'endpointError' })
  })

  it('should wait until the deadline for a class whose first answer timed out', async () => {
    const { runner, runs } = makeRunner({ ends: [SILENT, COMPLETED] })
    await runner.run(makeCall('a'))
    await runner.run(makeCall('b'))
    expect(runs[1]!.silenceMs).to.equal(DEADLINE_MS)
  })

  it('should wait until the deadline for a non-idempotent call', async () => {
    const { runner, runs } = makeRunner({})
    await runner.run(makeCall('a', { idempotent: false }))
    expect(runs[0]!.silenceMs).to.equal(DEADLINE_MS)
  })
})

interface RunnerOptions {
  crashCount?: number
  refusal?: ReturnType<typeof createNotRun>
  ends?: EndpointEnd[]
}

function makeRunner (runnerOptions: RunnerOptions): { runner: AttemptRunner, runs: EndpointRunOptions[], syncs: string[] } {
  const runs: EndpointRunOptions[] = []
  const syncs: string[] = []
  const runner = new AttemptRunner({
    clock: new ManualClock(),
    durations: new ClassDurations(),
    monitor: { bootId: 'boot-1' } as unknown as EndpointMonitor,
    claims: { claim: async () => { throw new Error('no claim is expected') } },
    endpoint: {
      run: async options => {
        runs.push(options)
        return runnerOptions.ends?.[runs.length - 1] ?? COMPLETED
      },
      close: () => {}
    },
    observer: {
      recordTokenInterval: () => {},
      waitForCrashStored: async () => {},
      getCrashCount: () => runnerOptions.crashCount ?? 0,
      syncCrashCount: async attempt => { syncs.push(attempt.id) },
      checkAdmission: () => runnerOptions.refusal ?? null
    }
  })
  return { runner, runs, syncs }
}

function makeCall (id: string, fields: { idempotent?: boolean } = {}): Attempt {
  const target = { kind: 'service' as const, service: 'desk', method: 'GET', path: '/', contentType: 'text/plain', bodyBase64: '' }
  return makeAttempt(id, { target, remainingMs: DEADLINE_MS, ...fields })
}
