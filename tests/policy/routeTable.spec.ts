import { expect } from 'chai'

import { chooseService, computeRank, RouteTable } from '../../src/policy/routeTable'

import type { Route, RoutingConfig } from '../../src/config/routingConfig'

function buildRoute (overrides: Partial<Route> = {}): Route {
  return {
    name: 'r-1',
    host: 'archive.example',
    prefix: '/a/',
    kind: 'idempotent',
    isResumable: false,
    isPublic: false,
    timeoutMs: 800,
    targetMs: 300,
    betweenEventsTargetMs: 800,
    rank: 1,
    maxAttempts: 1,
    shares: [{ service: 'archive', weight: 1 }],
    ...overrides
  }
}

function buildConfig (overrides: Partial<RoutingConfig> = {}): RoutingConfig {
  return {
    version: 1,
    routes: [buildRoute()],
    services: [{ name: 'archive', maxConnections: 100, engine: null }],
    workspaces: [{ name: 'archivists', keys: ['k-1', 'k-2'], rank: null }],
    bounds: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    ...overrides
  }
}

describe('RouteTable', () => {
  it('should find the longest matching prefix of the host, with a case-insensitive host', () => {
    const table = new RouteTable(buildConfig({ routes: [buildRoute(), buildRoute({ name: 'r-2', prefix: '/a/b/' })] }))
    expect(table.findRoute('ARCHIVE.example', '/a/b/c')?.name).to.equal('r-2')
    expect(table.findRoute('archive.example', '/a/bc')?.name).to.equal('r-1')
    expect(table.findRoute('archive.example', '/b/')).to.equal(null)
    expect(table.findRoute('other.example', '/a/b/')).to.equal(null)
  })

  it('should match a key with its workspace, and require none on a public route', () => {
    const table = new RouteTable(buildConfig())
    expect(table.matchKey(buildRoute(), 'k-2')).to.deep.include({ kind: 'workspace' })
    expect(table.matchKey(buildRoute(), 'k-9')).to.deep.equal({ kind: 'unknown' })
    expect(table.matchKey(buildRoute(), null)).to.deep.equal({ kind: 'missing' })
    expect(table.matchKey(buildRoute({ isPublic: true }), null)).to.deep.equal({ kind: 'notNeeded' })
  })

  it('should split requests by weight', () => {
    const route = buildRoute({ shares: [{ service: 'old', weight: 90 }, { service: 'new', weight: 10 }] })
    const chosen = Array.from({ length: 100 }, (_, index) => chooseService(route, index / 100))
    expect(chosen.filter(service => service === 'new')).to.have.length(10)
  })

  it('should rank by workspace first, then by route', () => {
    const urgent = { name: 'w', keys: [], rank: 0 }
    const usual = { name: 'w', keys: [], rank: 1 }
    const ranks = [computeRank(buildRoute({ rank: 2 }), urgent), computeRank(buildRoute({ rank: 0 }), usual), computeRank(buildRoute({ rank: 1 }), usual), computeRank(buildRoute({ rank: 2 }), null)]
    expect(ranks).to.deep.equal([...ranks].sort((a, b) => a - b))
    expect(new Set(ranks).size).to.equal(4)
  })
})
