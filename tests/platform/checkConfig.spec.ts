import { execFile } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'

import { expect } from 'chai'

import { findRoutingProblems } from '../../src/config/routingFindings'
import { buildConfig, configSchema } from '../../platform/storeDecoder'
import { buildPlatformConfig, buildRoute, KEY } from '../relay/relayFixture'

describe('the check of a configuration before it is sent', () => {
  let folder: string

  beforeEach(() => { folder = mkdtempSync(path.join(tmpdir(), 'tanagerwick-')) })

  function write (name: string, config: unknown): string {
    const file = path.join(folder, name)
    writeFileSync(file, typeof config === 'string' ? config : JSON.stringify(config, null, 1))
    return file
  }

  it('should find nothing in a sound configuration, and say that nothing differs from itself', async () => {
    const file = write('a.json', buildPlatformConfig({ version: 8 }))
    const inForce = write('b.json', buildPlatformConfig())
    expect(await runCheck([file, '--in-force', inForce])).to.deep.equal({ code: 0, output: 'no findings\n0 changes to the configuration in force\n' })
  })

  it('should report errors by field with their place, in JSON and in YAML', async () => {
    const json = await runCheck([write('a.json', { ...buildPlatformConfig(), version: 'seven' })])
    expect(json.code).to.equal(1)
    expect(json.output).to.match(/a\.json:2:13: version: error: /)
    const yaml = await runCheck([write('a.yaml', 'version: 1\nroutes: []\nservices: []\n')])
    expect(yaml.output).to.match(/a\.yaml:1:1: limits: error: is missing/)
  })

  it('should report entries that can never match, and limits that contradict each other, without showing keys', async () => {
    const config = buildPlatformConfig({
      routes: [buildRoute(), buildRoute({ name: 'r-2', targetLatencyMs: 9000 }), buildRoute({ name: 'r-3', pathPrefix: '/b/', service: 'nowhere' })],
      services: [{ name: 'archive', maxConnections: 10, engine: { slots: 64, kvCapacity: 1000 } }, { name: 'unused', maxConnections: 5 }],
      tenants: [{ name: 'archivists', apiKeys: [KEY] }, { name: 'others', apiKeys: [KEY] }, { name: 'keyless', apiKeys: [] }]
    })
    const { code, output } = await runCheck([write('a.json', config)])
    expect(code).to.equal(1)
    expect(output).to.include("routes.1: unreachable: 'r-2' never matches").and.to.include('routes.1.targetLatencyMs: contradiction: 9000 is above the time limit of 2000')
    expect(output).to.include("error: 'nowhere' is not among the services").and.to.include("services.1: unreachable: no route leads to 'unused'")
    expect(output).to.include('10 connections cannot fill 64 slots').and.to.include("is a key of 'archivists' already").and.to.include("no request can belong to 'keyless'")
    expect(output).to.not.include(KEY)
  })

  it('should show what differs from the configuration in force and what that does, and refuse an older version', async () => {
    const inForce = write('b.json', buildPlatformConfig({ version: 9 }))
    const next = write('a.json', buildPlatformConfig({ version: 9, routes: [buildRoute({ timeoutMs: 1000 })], tenants: [{ name: 'archivists', apiKeys: ['another-key'] }] }))
    const { code, output } = await runCheck([next, '--in-force', inForce, '--json'])
    const report = JSON.parse(output)
    expect(code).to.equal(1)
    expect(report.findings.map((finding: { path: string }) => finding.path)).to.deep.equal(['version'])
    expect(report.changes).to.deep.include({ kind: 'changed', section: 'routes', name: 'r-1', detail: 'timeoutMs: 2000 -> 1000', effect: 'requests on their way keep the time limit with which they arrived' })
    expect(report.changes.map(({ detail }: { detail: string }) => detail)).to.include.members(['1 keys added', '1 keys removed'])
  })

  it('should find a prefix, a weight and a bound that cannot work', () => {
    const config = buildConfig(configSchema.parse(buildPlatformConfig({
      routes: [buildRoute({ pathPrefix: '/archive', priority: 12 }), buildRoute({ name: 'r-2', pathPrefix: '/c/', service: undefined, trafficSplit: [{ service: 'archive', weight: 0 }] })],
      limits: { maxHeaderBytes: 100_000, maxBodyBytes: 0, headerTimeoutMs: 1000, idleTimeoutMs: 5000 }
    })))
    expect(findRoutingProblems(config).map(finding => finding.path.join('.'))).to.include.members(['routes.0.prefix', 'routes.0.rank', 'routes.1.shares', 'bounds.maxHeaderBytes', 'bounds.maxBodyBytes'])
  })
})

async function runCheck (flags: string[]): Promise<{ code: number, output: string }> {
  return await new Promise(resolve => {
    execFile(process.execPath, ['--import=tsx', 'platform/checkConfig.ts', ...flags], (error, stdout, stderr) => resolve({ code: error === null ? 0 : Number(error.code), output: stdout + stderr }))
  })
}
