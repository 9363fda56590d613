import { expect } from 'chai'

import { DirectRelay } from '../../src/relay/directRelay'
import { LimitCoordinator } from '../../src/relay/limitCoordinator'
import { PeerNetwork } from '../../src/relay/peerNetwork'
import { RelayServer } from '../../src/relay/relayServer'
import { answerWhole, buildCallerRequest, buildPlatformConfig, buildRoute, sendRaw, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { ReceivedRequest, RelayFixture } from './relayFixture'

const STOP_SECONDS = 4
const TIMEOUT_MS = 10_000
/** Time of the answer in the stop, after accepting has ended. */
const ANSWER_AFTER_MS = 1800
const FAULT = 'a fault of this step'

type Method = () => unknown

interface FailingStep {
  type: { prototype: object }
  name: string
  fault: 'throws' | 'rejects' | 'hangs'
}

const STEPS: FailingStep[] = [
  { type: DirectRelay, name: 'refuseHeld', fault: 'throws' },
  { type: LimitCoordinator, name: 'startLeaving', fault: 'throws' },
  { type: PeerNetwork, name: 'startLeaving', fault: 'rejects' },
  { type: PeerNetwork, name: 'startLeaving', fault: 'hangs' },
  { type: RelayServer, name: 'startLeaving', fault: 'throws' },
  { type: RelayServer, name: 'stopAccepting', fault: 'throws' },
  { type: RelayServer, name: 'abortReplies', fault: 'throws' },
  { type: RelayServer, name: 'reportUnwritten', fault: 'throws' }
]

function buildFailure (fault: FailingStep['fault']): Method {
  switch (fault) {
    case 'throws': return () => { throw new Error(FAULT) }
    case 'rejects': return async () => await Promise.reject(new Error(FAULT))
    case 'hangs': return async () => await new Promise(() => {})
  }
}

describe('a planned stop of which a step fails', () => {
  let fixture: RelayFixture
  let handleRestore: () => void

  afterEach(async () => {
    handleRestore()
    await fixture.close()
  })

  for (const { type, name, fault } of STEPS) {
    // a failing step once ended the stop, and with it the process, while requests were in flight
    it(`should not end before its requests when ${(type as { name?: string }).name}.${name} ${fault}`, async () => {
      const held: ReceivedRequest[] = []
      const endpoint = await startEndpoint('e-1', request => { held.push(request) })
      fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ timeoutMs: TIMEOUT_MS })] }), [endpoint], { stopSeconds: STOP_SECONDS })
      const methods = type.prototype as Record<string, Method>
      const original = methods[name]!
      handleRestore = () => { methods[name] = original }
      methods[name] = buildFailure(fault)
      const answer = sendRaw(fixture.port, buildCallerRequest({ timeoutMs: TIMEOUT_MS }))
      await waitUntil('the request at the endpoint', () => held.length === 1)
      let end = 'open'
      const drained = fixture.relay.drain().then(() => { end = 'resolved' }, () => { end = 'rejected' })
      await new Promise(resolve => setTimeout(resolve, ANSWER_AFTER_MS))
      expect(end).to.equal('open')
      answerWhole(held[0]!, 'whole')
      expect((await answer).text).to.match(/^HTTP\/1\.1 200 [\s\S]*whole$/)
      await drained
      expect(end).to.equal('resolved')
      const errors = fixture.lines.flatMap(line => line.event === 'unexpectedError' ? [line.message] : [])
      expect(errors.some(message => message.includes(FAULT))).to.equal(fault !== 'hangs')
    })
  }
})
