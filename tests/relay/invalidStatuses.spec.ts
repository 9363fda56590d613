import { expect } from 'chai'

import { buildPlatformConfig, buildRoute, sendRequest, SIGNATURE_LINE, startEndpoint, startRelay } from './relayFixture'

import type { EndpointFixture, RelayFixture } from './relayFixture'

const KINDS = ['idempotent', 'non_idempotent', 'streaming'] as const
const INVALID_STATUSES = ['000', '099', '101', '199', '600', '999', '+20', '20', '2000']

// a status that is none let a caller take an invalid answer for one, or closed its connection without any
describe('an endpoint that answers with an invalid status', () => {
  let fixture: RelayFixture | undefined
  let endpoint: EndpointFixture

  afterEach(async () => {
    await fixture?.close()
    fixture = undefined
  })

  async function answerWith (status: string, kind: typeof KINDS[number]): Promise<string> {
    endpoint = await startEndpoint('e-1', ({ socket, requestId }) => {
      socket.end([`HTTP/1.1 ${status} Odd`, `Tanagerwick-Request-Attempt-Id: ${requestId}`, SIGNATURE_LINE, 'Content-Length: 2', '', 'ok'].join('\r\n'))
    })
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind })] }), [endpoint])
    return (await sendRequest(fixture, { method: 'POST', body: 'x' })).text
  }

  for (const status of INVALID_STATUSES) {
    for (const kind of KINDS) {
      it(`should cause a 502 without anything of the endpoint (${status}, ${kind})`, async () => {
        const text = await answerWith(status, kind)
        expect(text).to.match(/^HTTP\/1\.1 502 /)
        expect(text).not.to.include(SIGNATURE_LINE).and.not.to.match(/\r\n\r\nok$/)
      })
    }
  }

  it('should leave valid failures as they are', async () => {
    expect(await answerWith('599', 'non_idempotent')).to.match(/^HTTP\/1\.1 599 /).and.to.include(SIGNATURE_LINE)
  })
})
