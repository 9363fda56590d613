import net from 'node:net'

import { expect } from 'chai'

import { systemClock } from '../../src/base/clock'
import { buildDirectEndpoint } from '../../src/policy/directEndpoint'
import { PresenceChecker } from '../../src/relay/presenceChecker'

import type { AddressInfo, Socket } from 'node:net'
import type { DirectEndpoint } from '../../src/policy/directEndpoint'

const SETTLE_MS = 60

describe('PresenceChecker', () => {
  let server: net.Server
  let sockets: Socket[]
  let handleConnection: (socket: Socket) => void

  beforeEach(async () => {
    sockets = []
    handleConnection = () => {}
    server = net.createServer(socket => {
      sockets.push(socket)
      socket.on('error', () => {})
      handleConnection(socket)
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })

  afterEach(() => {
    server.close()
    for (const socket of sockets) socket.destroy()
  })

  function buildEndpoint (): DirectEndpoint {
    const { port } = server.address() as AddressInfo
    return buildDirectEndpoint({ id: 'e-1', service: 'archive', address: `127.0.0.1:${port}`, domain: 'a', version: 'v1', slots: 6, state: 'ready', bornAtMs: 1 })
  }

  it('should find an endpoint that keeps connections open, with one connection for checks at the same time', async () => {
    const checker = new PresenceChecker({ clock: systemClock })
    const endpoint = buildEndpoint()
    expect(await Promise.all(Array.from({ length: 20 }, async () => await checker.check(endpoint, SETTLE_MS)))).to.deep.equal(Array(20).fill('alive'))
    expect(sockets).to.have.length(1)
  })

  it('should find nobody where connections are refused', async () => {
    const endpoint = buildEndpoint()
    await new Promise(resolve => server.close(resolve))
    expect(await new PresenceChecker({ clock: systemClock }).check(endpoint, SETTLE_MS)).to.equal('refused')
  })

  it('should find nobody where a process ends that had not yet closed its listener', async () => {
    handleConnection = socket => {
      setTimeout(() => {
        server.close()
        socket.resetAndDestroy()
      }, SETTLE_MS / 4)
    }
    expect(await new PresenceChecker({ clock: systemClock }).check(buildEndpoint(), SETTLE_MS)).to.equal('refused')
  })

  it('should find an endpoint that has too many connections and resets each new one', async () => {
    handleConnection = socket => socket.resetAndDestroy()
    expect(await new PresenceChecker({ clock: systemClock }).check(buildEndpoint(), SETTLE_MS)).to.equal('alive')
  })
})
