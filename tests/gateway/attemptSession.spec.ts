import { expect } from 'chai'
import * as csp from 'js-csp'
import { Result } from 'true-myth'

import { ManualClock } from '../../src/base/clock'
import { Progress } from '../../src/base/progress'
import { AnswerAssembly } from '../../src/gateway/answerAssembly'
import { AttemptSession } from '../../src/gateway/attemptSession'
import { ATTEMPT_RETENTION_MS } from '../../src/protocol/attemptMessages'

import type { AttemptEvent } from '../../src/gateway/attemptEvent'
import type { AttemptEnd, AttemptObserver } from '../../src/gateway/attemptSession'
import type { CallerAnswer } from '../../src/gateway/callerAnswer'
import type { SidecarPeer } from '../../src/gateway/sidecarPeer'
import type { AttemptState, SidecarStamp, SubmitAttempt } from '../../src/protocol/attemptMessages'
import type { RpcError } from '../../src/protocol/rpcError'

const EPOCH = 'epoch-1'

describe('AttemptSession', () => {
  it('should not report an attempt as not run when only a later call about it could not be sent', async () => {
    const end = await runSession({
      submit: { kind: 'lost', message: 'no byte within 400 ms' },
      attach: { kind: 'notSent', message: 'no connection within 400 ms' },
      state: 'running'
    })
    expect(end.kind).to.equal('mayHaveRun')
  })

  it('should report an attempt as not run when it could not be sent, or was fenced before it arrived', async () => {
    const unsent = await runSession({ submit: { kind: 'notSent', message: 'refused' }, attach: { kind: 'lost', message: '' }, state: 'running' })
    expect(unsent).to.deep.include({ kind: 'notRun', reason: 'unreachable' })
    const fenced = await runSession({ submit: { kind: 'lost', message: 'reset' }, attach: { kind: 'lost', message: '' }, state: 'unknown' })
    expect(fenced).to.deep.include({ kind: 'notRun', reason: 'fenced' })
  })

  it('should not report an attempt as not run when its retention at the sidecar may have expired', async () => {
    const script: PeerScript = { submit: { kind: 'lost', message: 'paused' }, attach: { kind: 'lost', message: '' }, state: 'unknown' }
    expect((await runSession({ ...script, fenceLatencyMs: ATTEMPT_RETENTION_MS - 1 })).kind).to.equal('notRun')
    expect((await runSession({ ...script, fenceLatencyMs: ATTEMPT_RETENTION_MS })).kind).to.equal('mayHaveRun')
  })
})

interface PeerScript {
  /** How the stream of the submission ends. */
  submit: RpcError
  /** How each reattached stream ends. */
  attach: RpcError
  /** State of the attempt that the sidecar reports when queried. */
  state: AttemptState['state']
  /** Milliseconds until the sidecar answers the query. */
  fenceLatencyMs?: number
}

async function runSession (script: PeerScript): Promise<AttemptEnd> {
  const clock = new ManualClock()
  const session = new AttemptSession({
    clock,
    peer: makePeer(script, clock),
    params: { attemptId: 'req-1.1' } as SubmitAttempt,
    assembly: new AnswerAssembly({} as CallerAnswer, { mode: 'whole' }),
    observer: makeObserver(),
    progress: new Progress({ title: 'running an attempt', timeoutMs: 10_000 }),
    expectedEpoch: EPOCH
  })
  return await session.run()
}

function makePeer (script: PeerScript, clock: ManualClock): SidecarPeer {
  const peer: Pick<SidecarPeer, 'submit' | 'attach' | 'fenceAttempt' | 'cancelAttempt'> = {
    submit: () => makeEvents(script.submit),
    attach: () => makeEvents(script.attach),
    fenceAttempt: async () => {
      clock.advance(script.fenceLatencyMs ?? 0)
      return Result.ok({ state: script.state, stamp: { sidecarEpoch: EPOCH } as SidecarStamp })
    },
    cancelAttempt: async () => {}
  }
  return peer as SidecarPeer
}

function makeEvents (error: RpcError): csp.Channel<AttemptEvent> {
  const events = csp.chan<AttemptEvent>(1)
  csp.putAsync(events, { kind: 'ended', result: Result.err(error) })
  return events
}

function makeObserver (): AttemptObserver {
  return { recordStamp: () => {}, recordAccepted: () => {}, recordStarted: () => {}, recordChunks: () => {}, recordStreamLost: () => {} }
}
