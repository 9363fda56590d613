import { expect } from 'chai'

import { PlatformStore } from '../../platform/platformStore'
import { storeDecoder } from '../../platform/storeDecoder'
import { systemClock } from '../../src/base/clock'
import { DecisionLog } from '../../src/base/decisionLog'
import { EndpointDirectory } from '../../src/policy/endpointDirectory'
import { ViewFreshness } from '../../src/policy/viewFreshness'
import { FleetWatcher } from '../../src/relay/fleetWatcher'
import { ObjectsServer } from '../../standins/objects/objectsServer'
import { buildPlatformConfig, waitUntil } from './relayFixture'

import type { DecisionLine } from '../../src/base/decisionEvents'

const HEARTBEAT_MS = 100
const OUTAGE_MS = 6 * HEARTBEAT_MS

describe('a gateway whose object service is restored from an older backup', () => {
  let server: ObjectsServer
  let store: PlatformStore
  let fleetWatcher: FleetWatcher
  let directory: EndpointDirectory
  let lines: DecisionLine[]

  function putEndpoint (id: string, state: string): void {
    server.put('servers', id, { service: 'archive', address: '127.0.0.1:1', zone: 'domain-a', slots: 6, state, seq: 1, born: 1 })
  }

  function listReadyIds (): string {
    return directory.listReady('archive').map(({ entry }) => entry.id).sort().join()
  }

  beforeEach(async () => {
    server = new ObjectsServer()
    await server.open()
    server.put('config', 'main', buildPlatformConfig({ version: 2 }))
    for (const id of ['leaving', 'gone', 'sound']) putEndpoint(id, 'ready')
    store = new PlatformStore(server.url)
    directory = new EndpointDirectory()
    lines = []
    const destination = { write: (line: string) => lines.push(JSON.parse(line)) > 0, flush: (handleDone: () => void) => handleDone() }
    fleetWatcher = new FleetWatcher({
      clock: systemClock,
      service: store,
      decoder: storeDecoder,
      directory,
      freshness: new ViewFreshness({ clock: systemClock, maxAgeMs: 5000 }),
      log: new DecisionLog({ instance: 'gateway-1', bytesPerSecond: 1_000_000, destination }),
      heartbeatMs: HEARTBEAT_MS,
      handleChange: () => {},
      handleTable: () => {}
    })
    fleetWatcher.start()
    await waitUntil('the endpoints', () => listReadyIds() === 'gone,leaving,sound')
  })

  afterEach(async () => {
    await fleetWatcher.stop()
    store.close()
    await server.close()
  })

  for (const outageMs of [0, OUTAGE_MS]) {
    it(`should keep the newest state that it knew (outage of ${outageMs} ms)`, async () => {
      const backup = server.saveBackup()
      server.put('config', 'main', buildPlatformConfig({ version: 3 }))
      putEndpoint('leaving', 'draining')
      server.remove('servers', 'gone')
      putEndpoint('joined', 'ready')
      await waitUntil('the changes', () => listReadyIds() === 'joined,sound' && fleetWatcher.table?.version === 3)
      if (outageMs > 0) server.fault = 'busy'
      await new Promise(resolve => setTimeout(resolve, outageMs))
      server.loadBackup(backup)
      server.fault = 'none'
      await waitUntil('the restore to be detected', () => lines.some(line => line.event === 'storeRestored'))
      expect(listReadyIds()).to.equal('joined,sound')
      expect(fleetWatcher.table?.version).to.equal(3)
      server.remove('servers', 'sound')
      putEndpoint('joined', 'ready')
      await waitUntil('the changes after the restore', () => listReadyIds() === 'joined')
    })
  }
})
