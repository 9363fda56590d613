import { expect } from 'chai'

import { PlatformStore } from '../../platform/platformStore'
import { storeDecoder } from '../../platform/storeDecoder'
import { systemClock } from '../../src/base/clock'
import { DecisionLog } from '../../src/base/decisionLog'
import { ReadableTime } from '../../src/base/readableTime'
import { EndpointDirectory } from '../../src/policy/endpointDirectory'
import { ViewFreshness } from '../../src/policy/viewFreshness'
import { FleetWatcher } from '../../src/relay/fleetWatcher'
import { ObjectsServer } from '../../standins/objects/objectsServer'
import { buildPlatformConfig, waitUntil } from './relayFixture'

import type { Clock } from '../../src/base/clock'
import type { DecisionLine } from '../../src/base/decisionEvents'

const HEARTBEAT_MS = 100
const OUTAGE_MS = 6 * HEARTBEAT_MS
/** Longer than the grace of a missing entry. */
const STANDSTILL_MS = 3000
/** Milliseconds in which missing entries are checked several times. */
const EXPIRY_CHECKS_MS = 350

describe('a gateway whose object service is restored from an older backup', () => {
  let server: ObjectsServer
  let store: PlatformStore
  let fleetWatcher: FleetWatcher
  let directory: EndpointDirectory
  let lines: DecisionLine[]
  let readable: ReadableTime
  let elapsedMs = 0
  const shiftedClock: Clock = { getMonotonicMs: () => systemClock.getMonotonicMs() + elapsedMs, getWallMs: () => systemClock.getWallMs() + elapsedMs }

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
    elapsedMs = 0
    readable = new ReadableTime({ clock: shiftedClock, getProcessorMs: () => 0, handleStandstill: () => {} })
    fleetWatcher = new FleetWatcher({
      clock: { ...shiftedClock, readable },
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
    readable.close()
    store.close()
    await server.close()
  })

  // entries that were renewed meanwhile were taken for lapsed
  it('should give a missing entry its grace in time in which a renewed one could be read', async () => {
    const backup = server.saveBackup()
    putEndpoint('joined', 'ready')
    await waitUntil('the entry', () => listReadyIds() === 'gone,joined,leaving,sound')
    server.loadBackup(backup)
    await waitUntil('the restore to be detected', () => lines.some(line => line.event === 'storeRestored'))
    elapsedMs += STANDSTILL_MS
    await new Promise(resolve => setTimeout(resolve, EXPIRY_CHECKS_MS))
    expect(listReadyIds()).to.equal('gone,joined,leaving,sound')
    await waitUntil('the end of the grace', () => listReadyIds() === 'gone,leaving,sound')
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
