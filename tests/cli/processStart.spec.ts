import { createServer } from 'node:net'

import { expect } from 'chai'

import { EXIT_CODES } from '../../src/cli/exitCodes'
import { FleetProcess } from '../fleet/fleetProcess'

import type { AddressInfo } from 'node:net'

describe('process start', () => {
  it('should exit with an error code when its address is in use', async () => {
    const other = createServer()
    await new Promise<void>(resolve => other.listen(0, '127.0.0.1', resolve))
    const { port } = other.address() as AddressInfo
    const gateway = new FleetProcess(['gateway', '--id', 'late', '--listen', `127.0.0.1:${port}`, '--domain', 'a', '--platform', 'http://127.0.0.1:1'], 'secret-of-a-test-fleet')
    try {
      expect(await gateway.waitForExit()).to.equal(EXIT_CODES.unavailable)
    } finally {
      await gateway.stop()
      other.close()
    }
  })
})
