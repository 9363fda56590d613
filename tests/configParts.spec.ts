import { expect } from 'chai'

import { compileFleetConfig } from '../src/config/compileFleetConfig'
import { ConfigAssembler } from '../src/config/configAssembler'
import { buildConfigParts, MAX_PART_BYTES } from '../src/config/configParts'
import { buildFleetTree, updateWorkspace } from './fixtures/fleetTree'

import type { ConfigPart } from '../src/config/configParts'
import type { FleetTree } from '../src/config/fleetSchema'
import type { Manifest } from '../src/config/manifest'

describe('configuration parts', () => {
  it('should rebuild the whole configuration from its parts', () => {
    const tree = buildFleetTree({ workspaceCount: 1_000 })
    const parts = buildParts(tree)
    const config = new ConfigAssembler().build(buildManifest(3, parts), listTexts(parts))
    const expected = compileFleetConfig(tree, 3)
    expect(config.isOk && config.value.workspaces.size).to.equal(1_000)
    for (const [name, workspace] of expected.workspaces) expect(config.isOk && config.value.workspaces.get(name)).to.deep.equal(workspace)
    expect(config.isOk && { ...config.value, workspaces: null }).to.deep.equal({ ...expected, workspaces: null })
  })

  it('should change one part for a change of one workspace, and keep parts below half a megabyte', () => {
    const tree = buildFleetTree({ workspaceCount: 13_000 })
    const before = new Set(buildParts(tree).map(part => part.digest))
    const after = buildParts(updateWorkspace(tree, 'workspace-7', 99))
    expect(after.filter(part => !before.has(part.digest))).to.have.length(1)
    expect(Math.max(...after.map(part => part.text.length))).to.be.below(MAX_PART_BYTES)
  })

  const corruptions: Array<{ title: string, kind: string, corrupt: (texts: Map<string, string>, digest: string) => void }> = [
    { title: 'is missing', kind: 'missingPart', corrupt: (texts, digest) => texts.delete(digest) },
    { title: 'does not match its digest', kind: 'wrongDigest', corrupt: (texts, digest) => texts.set(digest, '{}') }
  ]
  for (const { title, kind, corrupt } of corruptions) {
    it(`should build no configuration when a part ${title}, and keep the parts of the last one`, () => {
      const assembler = new ConfigAssembler()
      const first = buildParts(buildFleetTree())
      assembler.build(buildManifest(1, first), listTexts(first))
      const second = buildParts(buildFleetTree({ deadlineMs: 1_000, workspaceCount: 11 }))
      const texts = listTexts(second)
      corrupt(texts, second[0]?.digest ?? '')
      const config = assembler.build(buildManifest(2, second), texts)
      expect(config.isErr && config.error.map(error => error.kind)).to.deep.equal([kind])
      expect(assembler.listMissingDigests(buildManifest(1, first))).to.deep.equal([])
    })
  }

  it('should build no configuration from an empty set of parts', () => {
    const config = new ConfigAssembler().build(buildManifest(1, []), new Map())
    expect(config.isErr && config.error).to.deep.equal([{ kind: 'noClasses' }])
  })
})

function buildParts (tree: FleetTree): ConfigPart[] {
  const parts = buildConfigParts(tree)
  if (parts.isErr) throw new Error(JSON.stringify(parts.error))
  return parts.value
}

function buildManifest (generation: number, parts: ConfigPart[]): Manifest {
  const names = parts.map(({ name, digest }) => ({ name, digest }))
  return { generation, parts: names, dropped: [], inline: [], writeId: `w${generation}`, earlierWriteIds: [], appliedBy: 'test', appliedAtMs: 0 }
}

function listTexts (parts: ConfigPart[]): Map<string, string> {
  return new Map(parts.map(part => [part.digest, part.text]))
}
