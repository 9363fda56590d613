import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'

import { expect } from 'chai'
import yargs from 'yargs'

import { addSidecarOptions } from '../src/cli/processOptions'
import { formatFindings } from '../src/config/finding'
import { loadGatewaySettings, loadSidecarSettings } from '../src/config/loadProcessSettings'

const SECRET = { TANAGERWICK_FLEET_SECRET: 'a-secret-for-tests' }
const FLAGS = { id: 'gateway-1', listen: '127.0.0.1:0', domain: 'a', platform: 'http://127.0.0.1:7000/' }

describe('process settings', () => {
  it('should let flags override the file', () => {
    const settings = writeSettings('id: from-file\nlisten: 127.0.0.1:7100\ndomain: b\nplatform: http://127.0.0.1:7000\npeers: [127.0.0.1:1]\n')
    const loaded = loadGatewaySettings({ settings, listen: '[::1]:7200', peers: '127.0.0.1:2, 127.0.0.1:3' }, SECRET)
    expect(loaded.isOk && loaded.value).to.deep.include({
      role: 'gateway', id: 'from-file', listen: { host: '::1', port: 7200 }, domain: 'b', peers: ['127.0.0.1:2', '127.0.0.1:3'], logLevel: 'info'
    })
  })

  it('should report all findings of file, flags and environment at once', () => {
    const settings = writeSettings('id: gateway-1\nlisten: 127.0.0.1\nlogLevel: loud\nplatfrom: x\n')
    const loaded = loadGatewaySettings({ settings, platform: 'ftp://x' }, {})
    const report = loaded.isErr ? formatFindings(loaded.error) : ''
    expect(report).to.match(/settings.yaml:2:9: listen: is not an IP address and a port/)
    expect(report).to.match(/settings.yaml:3:11: logLevel: /)
    expect(report).to.match(/settings.yaml:4:1: platfrom: is not a known key. Known keys here: id, listen/)
    expect(report).to.match(/--platform: platform: is not an http URL/)
    expect(report).to.match(/--domain: domain: is missing. Give the failure domain/)
    expect(report).to.match(/TANAGERWICK_FLEET_SECRET: fleetSecret: is missing/)
  })

  it('should reject a secret in a file without showing it', () => {
    const loaded = loadGatewaySettings({ ...FLAGS, settings: writeSettings('fleetSecret: hidden-value\n') }, SECRET)
    const report = loaded.isErr ? formatFindings(loaded.error) : ''
    expect(report).to.match(/:1:1: fleetSecret: must not be in a file/).and.not.match(/hidden-value/)
  })

  it('should read a sidecar\'s flags as the command line gives them', async () => {
    const words = ['--id', 's1', '--listen', '127.0.0.1:0', '--domain', 'a', '--platform', 'http://127.0.0.1:7000', '--endpoint-name', 'e1', '--endpoint-address', '127.0.0.1:8000', '--log-level', 'warn']
    const flags = await addSidecarOptions(yargs(words)).strict().parseAsync()
    const loaded = loadSidecarSettings(flags, SECRET)
    expect(loaded.isOk && loaded.value).to.deep.include({ role: 'sidecar', endpointName: 'e1', endpointAddress: '127.0.0.1:8000', logLevel: 'warn' })
  })
})

function writeSettings (text: string): string {
  const file = path.join(mkdtempSync(path.join(tmpdir(), 'tanagerwick-')), 'settings.yaml')
  writeFileSync(file, text)
  return file
}
