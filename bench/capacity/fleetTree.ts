import { hashText } from '../../src/base/identifiers'
import { fleetTreeSchema } from '../../src/config/fleetSchema'
import { FLEET } from './fleetSize'

import type { FleetTree } from '../../src/config/fleetSchema'

const CLASSES_PER_WORKSPACE = 4

/** Size of a generated configuration. */
export interface TreeSize {
  workspaces: number
  models: number
  endpoints: number
}

/** Builds a fleet configuration with one class per tier and the models spread evenly over the endpoints. */
export function buildFleetTree (size: TreeSize): FleetTree {
  const classNames = Array.from({ length: FLEET.tiers }, (_, index) => `class-of-tier-${index + 1}`)
  return fleetTreeSchema.parse({
    classes: Object.fromEntries(classNames.map((name, index) => [name, buildClass(index + 1)])),
    workspaces: buildSection(size.workspaces, 'workspace', index => buildWorkspace(index, classNames)),
    services: {},
    endpoints: buildSection(size.endpoints, 'endpoint', index => buildEndpoint(index, size.models))
  })
}

function buildSection<Entry> (count: number, name: string, build: (index: number) => Entry): Record<string, Entry> {
  return Object.fromEntries(Array.from({ length: count }, (_, index) => [`${name}-${String(index).padStart(5, '0')}`, build(index)]))
}

function buildClass (tier: number): object {
  return { tier, firstTokenTargetMs: 710, betweenTokensTargetMs: 53, deadlineMs: 60_000, share: 0.02, retryRatio: 0.1 }
}

function buildWorkspace (index: number, classNames: string[]): object {
  const classes = Array.from({ length: CLASSES_PER_WORKSPACE }, (_, offset) => classNames[(index + offset) % classNames.length]!)
  return { keyDigests: [hashText(`key-${index}`)], classes, defaultClass: classes[0], requestsPerSecond: 20, maxConcurrent: 80 }
}

function buildEndpoint (index: number, models: number): object {
  return { kind: 'engine', slots: 256, checksFencing: true, models: [`model-${index % models}`], role: 'mixed' }
}
