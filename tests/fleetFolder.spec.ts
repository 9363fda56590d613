import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'

import { expect } from 'chai'
import fc from 'fast-check'

import { hashText } from '../src/base/identifiers'
import { formatFindings } from '../src/config/finding'
import { mergeLayers } from '../src/config/layerMerge'
import { loadFleetFolder } from '../src/config/loadFleetFolder'
import { buildPlainValue, findLocation, parseSource } from '../src/config/sourceTree'

const SEED = 71

const VALID_CONFIG = `classes:
  quote: { tier: 1, firstTokenTargetMs: 710, betweenTokensTargetMs: 53, deadlineMs: 30000, share: 0.5 }
workspaces:
  shop: { keyDigests: [${hashText('k')}], classes: [quote], defaultClass: quote }
`

describe('configuration folder', () => {
  for (const deployment of ['wonsowicz', 'spunform']) {
    it(`should accept the example of ${deployment}`, () => {
      const loaded = loadFleetFolder(`examples/${deployment}`)
      expect(loaded.isErr ? formatFindings(loaded.error) : '').to.equal('')
      expect(loaded.isOk && Object.keys(loaded.value.workspaces)).to.have.length(10)
      expect(loaded.isOk && loaded.value.workspaces['order-office']?.keyDigests).to.deep.equal(deployment === 'spunform' ? [hashText('example-key-order-office')] : undefined)
    })
  }

  it('should let a later file override a key and a null remove it', () => {
    const loaded = loadFleetFolder(writeFolder({
      '10-base.yaml': VALID_CONFIG,
      '15-more.yaml': 'workspaces: { other: { requestsPerSecond: 1 } }\n',
      '20-team.yaml': 'classes: { quote: { tier: 2 } }\nworkspaces: { other: null }\n'
    }))
    expect(loaded.isOk && loaded.value.classes.quote).to.deep.include({ tier: 2, deadlineMs: 30_000 })
    expect(loaded.isOk && Object.keys(loaded.value.workspaces)).to.deep.equal(['shop'])
  })

  it('should merge as a plain object merge does, with the location of the winning layer', () => {
    const value = fc.letrec(tie => ({
      node: fc.oneof({ maxDepth: 3 }, fc.constant(null), fc.integer(), fc.array(fc.integer(), { maxLength: 2 }), tie('map')),
      map: fc.dictionary(fc.constantFrom('a', 'b', 'c'), tie('node'))
    })).map
    fc.assert(fc.property(fc.array(value, { minLength: 1, maxLength: 4 }), layers => {
      const merged = mergeLayers(layers.map((layer, index) => parseSource(`${index}.yaml`, JSON.stringify(layer)).root))
      expect(buildPlainValue(merged)).to.deep.equal(layers.reduce<unknown>(mergePlainObjects, {}))
      for (const key of merged.entries.keys()) {
        const winner = layers.findLastIndex(layer => Object.hasOwn(layer as object, key))
        expect(findLocation(merged, [key])).to.deep.include({ file: `${winner}.yaml` })
      }
    }), { seed: SEED })
  })

  it('should report all findings of all files at once, with locations and advice', () => {
    const loaded = loadFleetFolder(writeFolder({
      '10-good.yaml': VALID_CONFIG,
      '20-keys.yaml': 'classes:\n  quote:\n    teir: 3\n    tier: 9\n  quote: {}\n',
      '30-names.yaml': `workspaces:\n  second:\n    keyDigests: [${hashText('k')}]\n    classes: [quote, gone]\n    defaultClass: none\n  third: { keyDigests: [short] }\n`,
      '40-ends.yaml': 'endpoints:\n  desk: { kind: service, slots: 4,\n    service: nowhere }\n',
      '50-not-yaml.yaml': 'classes: [\n  {{ not yaml',
      '60-binary.yaml': Buffer.from([0xff, 0xfe, 0x00, 0x80])
    }))
    const report = loaded.isErr ? formatFindings(loaded.error) : 'no finding'
    const expected = [
      /20-keys.yaml:3:5: classes.quote.teir: is not a known key. Known keys here: tier, /,
      /20-keys.yaml:4:11: classes.quote.tier: .*<=6. Give a whole number from 1/,
      /20-keys.yaml:5:3: classes.quote: is a duplicate key in this map/,
      /30-names.yaml:3:18: workspaces.second.keyDigests.0: is a key of workspace 'shop' already/,
      /30-names.yaml:4:22: workspaces.second.classes.1: 'gone' is not defined under classes. Define it, or use one of: quote/,
      /30-names.yaml:5:19: workspaces.second.defaultClass: 'none' is not among/,
      /30-names.yaml:6:25: workspaces.third.keyDigests.0: is not a SHA-256 digest/,
      /30-names.yaml:6:10: workspaces.third.classes: is missing. Give a list/,
      /40-ends.yaml:3:14: endpoints.desk.service: 'nowhere' is not defined under services/,
      /50-not-yaml.yaml:\d+:\d+: /,
      /60-binary.yaml:1:1: cannot be read as text/
    ]
    for (const line of expected) expect(report).to.match(line)
    expect(report).to.not.match(/'quote' is not defined/)
  })

  it('should reject shares above 1 or of 0, a route that is never reached and excessive nesting', () => {
    const loaded = loadFleetFolder(writeFolder({
      '10.yaml': VALID_CONFIG,
      '20.yaml': 'classes: { second: { tier: 1, firstTokenTargetMs: 9, betweenTokensTargetMs: 1, deadlineMs: 5, share: 0.6 } }\n',
      '30.yaml': 'services: { s: { routes: [{ method: "*", path: /a, idempotent: true }, { method: POST, path: /a/b, idempotent: false }] } }\n',
      '35.yaml': 'classes: { third: { tier: 6, firstTokenTargetMs: 9, betweenTokensTargetMs: 1, deadlineMs: 9, share: 0 } }\n',
      '40.yaml': `settings: ${'['.repeat(400)}`
    }))
    const report = loaded.isErr ? formatFindings(loaded.error) : ''
    expect(report).to.match(/the shares of all classes sum up to 1.100/)
    expect(report).to.match(/firstTokenTargetMs: is above deadlineMs/)
    expect(report).to.match(/routes.1: is never reached/)
    expect(report).to.match(/35.yaml:.*classes.third.share: .*with none the class could starve/)
    expect(report).to.match(/40.yaml:/)
  })

  it('should reject a folder without files, and one that does not exist', () => {
    expect(loadFleetFolder(writeFolder({ 'README.md': '# x' })).isErr).to.equal(true)
    expect(loadFleetFolder('examples/absent').isErr).to.equal(true)
  })
})

function writeFolder (files: Record<string, string | Buffer>): string {
  const folder = mkdtempSync(path.join(tmpdir(), 'tanagerwick-'))
  for (const [name, content] of Object.entries(files)) writeFileSync(path.join(folder, name), content)
  return folder
}

/** Merges plain values by the rule of `mergeLayers`, as a reference for the property test. */
function mergePlainObjects (earlier: unknown, later: unknown): unknown {
  if (!isMap(later)) return later
  const merged: Record<string, unknown> = isMap(earlier) ? { ...earlier } : {}
  for (const [key, value] of Object.entries(later)) {
    if (value === null) delete merged[key]
    else merged[key] = mergePlainObjects(merged[key], value)
  }
  return merged
}

function isMap (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
