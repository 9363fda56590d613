import { startPlatform } from '../../standins/platform/platformServer'
import { Progress } from '../../src/base/progress'
import { HttpObjectService } from '../../src/store/httpObjectService'
import { toSidecarKey } from '../../src/membership/membershipRecords'
import { formatNumber, printTable } from '../shared/measuredTable'
import { measureInChild } from './childMeasure'
import { FLEET } from './fleetSize'

import type { PlatformServer } from '../../standins/platform/platformServer'
import type { ListedInstance } from '../../src/store/objectService'
import type { GatewayViewCost } from './gatewayView'

const PEER_COUNTS = [50, 200, 600]
const MODEL_COUNTS = [6, 35, 100]
const MANY_CALLS_PER_SECOND = 1_000_000

/** Measures the costs of the gateway's view of the sidecars at several fleet sizes. */
export async function measureControlPath (): Promise<GatewayViewCost[]> {
  const costs: GatewayViewCost[] = []
  for (const peers of PEER_COUNTS) costs.push(await measureFleet(peers, FLEET.models))
  printTable('Gateway: view of the sidecars', HEADINGS, costs.map(cost => formatCost(cost, FLEET.models)))
  const byModels: string[][] = []
  for (const models of MODEL_COUNTS) byModels.push(formatCost(await measureFleet(FLEET.sidecars, models), models))
  printTable('Gateway: view of 600 sidecars by models', HEADINGS, byModels)
  return costs
}

const HEADINGS = ['sidecars', 'models', 'heap MB', 'poll ms', 'poll bytes', 'watch ms', 'watch bytes', 'change ms', 'change bytes', 'choice ms']

function formatCost (cost: GatewayViewCost, models: number): string[] {
  const { instancePoll, watchCycle, sidecarChange, choice } = cost
  const numbers = [
    cost.peers, models, cost.heapMb, instancePoll.processorMs, instancePoll.bytes, watchCycle.processorMs,
    watchCycle.bytes, sidecarChange.processorMs, sidecarChange.bytes, choice.processorMs
  ]
  return numbers.map(formatNumber)
}

async function measureFleet (peers: number, models: number): Promise<GatewayViewCost> {
  const platform = await startPlatform({ readsPerSecond: MANY_CALLS_PER_SECOND, writesPerSecond: MANY_CALLS_PER_SECOND, instancesLagMs: 0 })
  try {
    await putFleet(platform, peers)
    return await measureInChild<GatewayViewCost>('gatewayView', [platform.url, String(peers), String(models)])
  } finally {
    await platform.close()
  }
}

/** Writes the sidecars' registrations and the list of instances to the platform. The number of gateways is in proportion to the sidecars. */
async function putFleet (platform: PlatformServer, peers: number): Promise<void> {
  const service = new HttpObjectService({ baseUrl: platform.url, callsPerSecond: MANY_CALLS_PER_SECOND, callBurst: MANY_CALLS_PER_SECOND })
  const gateways = Math.round(peers * FLEET.gateways / FLEET.sidecars)
  const sidecars = Array.from({ length: peers }, (_, index) => createInstance('sidecar', index))
  platform.setInstances([...sidecars, ...Array.from({ length: gateways }, (_, index) => createInstance('gateway', index))])
  for (const [index, { instanceId, address, domain }] of sidecars.entries()) {
    const endpointName = `endpoint-${index}`
    const value = { instanceId, epoch: `epoch-${instanceId}`, address, domain, endpointName, writeId: `write-${index}` }
    const progress = new Progress({ title: 'registering', timeoutMs: 5_000 })
    await service.put(toSidecarKey(endpointName), value, { kind: 'absent' }, progress)
  }
}

function createInstance (role: string, index: number): ListedInstance {
  const address = `10.${index >> 8}.${index & 255}.${role === 'sidecar' ? 1 : 2}:7100`
  return { instanceId: `${role}-${String(index).padStart(4, '0')}`, role, address, domain: `region-1-${index % FLEET.domains}`, state: 'live' }
}
