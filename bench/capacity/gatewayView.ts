import { Progress } from '../../src/base/progress'
import { HttpObjectService } from '../../src/store/httpObjectService'
import { MembershipDirectory } from '../../src/membership/membershipDirectory'
import { toSidecarKey } from '../../src/membership/membershipRecords'
import { DEFAULT_RANKING_OPTIONS, rankEndpoints } from '../../src/policy/endpointRanking'
import { EndpointTable } from '../../src/policy/endpointTable'
import { createSeededRandom } from '../../standins/shared/seededRandom'
import { SocketBytes } from './socketBytes'
import { measureSteps, readMemoryMb, waitUntil } from './stepCost'

import type { EndpointLoad } from '../../src/protocol/attemptMessages'
import type { StepCost } from './stepCost'

/** Costs of the gateway's view of the sidecars at one fleet size. */
export interface GatewayViewCost {
  peers: number
  baseHeapMb: number
  heapMb: number
  residentMb: number
  instancePoll: StepCost
  watchCycle: StepCost
  sidecarChange: StepCost
  choice: StepCost
}

const POLLS = 40
const WATCHES = 10
const CHANGES = 10
const CHANGE_PAUSE_MS = 300
const CHOICES = 20_000
const SEED = 7
const FAST_MS = 5
const NEVER_MS = 3_600_000

const [baseUrl, peersText, modelsText] = process.argv.slice(2) as [string, string, string]
const peers = Number(peersText)
const models = Array.from({ length: Number(modelsText) }, (_, index) => `model-${index}`)

const sockets = new SocketBytes()
const base = readMemoryMb()
const cost = await measureView()
process.stdout.write(`${JSON.stringify(cost)}\n`)
process.exit(0)

async function measureView (): Promise<GatewayViewCost> {
  const polling = createDirectory({ instancePollMs: FAST_MS, watchMs: NEVER_MS })
  polling.directory.start()
  await waitUntil('the first view', () => polling.directory.listSidecars().length === peers && polling.service.callCounts.listInstances > 2)
  const table = createTable(polling.directory)
  const memory = readMemoryMb()
  const instancePoll = await measureSteps(sockets, async () => await runCalls(polling.service, 'listInstances', POLLS))
  await polling.directory.stop()
  const watching = createDirectory({ instancePollMs: NEVER_MS, watchMs: FAST_MS })
  watching.directory.start()
  await waitUntil('the second view', () => isSettled(watching))
  const watchCycle = await measureSteps(sockets, async () => await runCalls(watching.service, 'watch', WATCHES))
  await watching.directory.stop()
  const sidecarChange = await measureChanges()
  const choice = await measureSteps(sockets, async () => runChoices(table))
  return {
    peers,
    baseHeapMb: base.heapMb,
    heapMb: memory.heapMb - base.heapMb,
    residentMb: memory.residentMb,
    instancePoll,
    watchCycle,
    sidecarChange,
    choice
  }
}

function createDirectory (periods: { instancePollMs: number, watchMs: number }) {
  const service = new HttpObjectService({ baseUrl, callsPerSecond: 1000, callBurst: 1000 })
  return { service, directory: new MembershipDirectory({ service, getRandom: createSeededRandom(SEED), ...periods }) }
}

/** Builds the complete endpoint table, as a gateway does when the set of sidecars changes. */
function createTable (directory: MembershipDirectory): EndpointTable {
  const table = new EndpointTable()
  const sidecars = directory.listSidecars()
  table.setPlacements(sidecars.map((sidecar, index) => ({
    name: sidecar.endpointName,
    domain: sidecar.domain,
    targets: [models[index % models.length]!]
  })))
  for (const sidecar of sidecars) table.recordLoad(sidecar.endpointName, createLoad(), 0)
  return table
}

function createLoad (): EndpointLoad {
  return { running: 7, slots: 8, queuedByTier: [0, 1, 2, 3, 4, 5], waitMsByTier: [10, 20, 40, 80, 160, 320], tokenIntervalMs: 50, draining: false }
}

async function runCalls (service: HttpObjectService, kind: 'listInstances' | 'watch', count: number): Promise<number> {
  const start = service.callCounts[kind]
  await waitUntil(`${count} calls of ${kind}`, () => service.callCounts[kind] >= start + count)
  return service.callCounts[kind] - start
}

/** Measures the cost of one changed registration. The cost of the write itself is measured without a view and subtracted. */
async function measureChanges (): Promise<StepCost> {
  const writer = new HttpObjectService({ baseUrl })
  const writing = await measureSteps(sockets, async () => await runChanges(writer, 'unseen', () => true))
  const watching = createDirectory({ instancePollMs: NEVER_MS, watchMs: NEVER_MS })
  watching.directory.start()
  await waitUntil('the third view', () => isSettled(watching))
  let seen = 0
  watching.directory.watch(() => {
    seen++
    createTable(watching.directory)
  })
  const both = await measureSteps(sockets, async () => await runChanges(writer, 'seen', position => seen > position))
  await watching.directory.stop()
  return { processorMs: both.processorMs - writing.processorMs, bytes: both.bytes - writing.bytes }
}

/** Rewrites registrations with a new epoch, as restarted sidecars do. */
async function runChanges (writer: HttpObjectService, epoch: string, isSeen: (position: number) => boolean): Promise<number> {
  for (let position = 0; position < CHANGES; position++) {
    await updateRegistration(writer, `endpoint-${position}`, `${epoch}-${position}`)
    await new Promise(resolve => setTimeout(resolve, CHANGE_PAUSE_MS))
    await waitUntil('the view to receive the change', () => isSeen(position))
  }
  return CHANGES
}

/** Returns whether the view is complete and the first poll of the list of instances has ended. */
function isSettled ({ service, directory }: ReturnType<typeof createDirectory>): boolean {
  return directory.listSidecars().length === peers && service.callCounts.listInstances > 0 && sockets.isIdle()
}

async function updateRegistration (writer: HttpObjectService, endpointName: string, epoch: string): Promise<void> {
  const progress = new Progress({ title: 'changing a registration', timeoutMs: 5_000 })
  const key = toSidecarKey(endpointName)
  const current = (await writer.get(key, progress)).unwrapOr(null)
  if (current === null) throw new Error(`no registration ${key}`)
  const value = { ...current.value as object, epoch }
  const written = await writer.put(key, value, { kind: 'version', version: current.version }, progress)
  if (written.isErr) throw new Error(`the write of ${key} failed: ${JSON.stringify(written.error)}`)
}

function runChoices (table: EndpointTable): number {
  const random = createSeededRandom(SEED)
  const request = { tier: 2, betweenTokensTargetMs: 53 }
  for (let index = 0; index < CHOICES; index++) {
    const model = models[index % models.length]!
    const affinity = table.findAffinityEndpoints(model, `prefix ${index % 100}`)
    const first = rankEndpoints({ ...request, affinity }, table.getViews(model), index, random, DEFAULT_RANKING_OPTIONS).next()
    if (first.done) throw new Error(`no sidecar serves ${model}`)
    table.recordDispatch(first.value.name, request.tier)
    table.recordFirstReport(first.value.name, request.tier, createLoad(), index)
  }
  return CHOICES
}
