import { formatNumber, printTable } from '../shared/measuredTable'
import { measureInChild } from './childMeasure'
import { FLEET } from './fleetSize'

import type { ConfigSizeCost } from './configSize'

const WORKSPACE_COUNTS = [100, 1_000, FLEET.workspaces]

/** Measures the costs of a configuration per process at several numbers of workspaces. */
export async function measureConfigPath (): Promise<ConfigSizeCost[]> {
  const costs: ConfigSizeCost[] = []
  for (const workspaces of WORKSPACE_COUNTS) {
    costs.push(await measureInChild<ConfigSizeCost>('configSize', [String(workspaces), String(FLEET.models), String(FLEET.sidecars)]))
  }
  const headings = ['workspaces', 'parts', 'largest B', 'all B', 'manifest B', 'heap MB', 'keys MB', 'whole ms', 'change ms', 'keys ms', 'change B']
  printTable('Configuration held by each process', headings, costs.map(formatCost))
  return costs
}

function formatCost (cost: ConfigSizeCost): string[] {
  const numbers = [
    cost.workspaces, cost.parts, cost.largestPartBytes, cost.totalBytes, cost.manifestBytes, cost.configHeapMb,
    cost.keysHeapMb, cost.wholeMs, cost.changeMs, cost.keysMs, cost.changeBytes
  ]
  return numbers.map(formatNumber)
}
