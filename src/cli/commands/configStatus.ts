import { SECRET_VARIABLE } from '../../config/loadProcessSettings'
import { readManifest } from '../../store/configReader'
import { GATEWAYS_PREFIX, SIDECARS_PREFIX } from '../../store/keys'
import { registrationSchema } from '../../membership/membershipRecords'
import { runBounded } from '../../store/runBounded'
import { parseAddresses, PLATFORM_OPTIONS, withPlatform } from '../configCommandInput'
import { EXIT_CODES } from '../exitCodes'
import { fetchState } from './state'

import type { CommandModule } from 'yargs'
import type { Progress } from '../../base/progress'
import type { ObjectService } from '../../store/objectService'
import type { PlatformFlags } from '../configCommandInput'

interface StatusFlags extends PlatformFlags {
  addresses: string
  json: boolean
}

/** Configuration status reported by one process. */
type ProcessStatus =
  | { kind: 'answered', address: string, name: string, generation: number }
  | { kind: 'silent', address: string, name: string, message: string }

interface AcceptedStatus {
  generation: number | null
  appliedBy: string | null
  appliedAt: string | null
  problem: string | null
}

interface NamedAddress {
  address: string
  name: string
}

const MAX_CONCURRENT_CALLS = 32

/** `tanagerwick config status`: shows the accepted generation and the one in force at each process. */
export const configStatusCommand: CommandModule<object, StatusFlags> = {
  command: 'status',
  describe: 'Show the accepted generation and the one in force at each process',
  builder: argv => argv
    .options(PLATFORM_OPTIONS)
    .option('addresses', { type: 'string', default: '', describe: 'IP:PORT of processes to query in addition to the registered ones, separated by commas' })
    .option('json', { type: 'boolean', default: false, describe: 'print JSON instead of readable text' })
    .epilogue(`The fleet's secret comes from the environment variable ${SECRET_VARIABLE}.`),
  handler: async flags => {
    await withPlatform(flags, 'reading the status of the configuration', async (service, progress) => await printStatus(flags, service, progress))
  }
}

async function printStatus (flags: StatusFlags, service: ObjectService, progress: Progress): Promise<void> {
  const accepted = await readAcceptedStatus(service, progress)
  const registered = accepted.problem === null ? await listRegisteredProcesses(service, progress) : []
  const requested = parseAddresses(flags.addresses).map(address => ({ address, name: address }))
  const byAddress = new Map([...requested, ...registered].map(process => [process.address, process]))
  const processes = await runBounded([...byAddress.values()], MAX_CONCURRENT_CALLS, fetchProcessStatus)
  process.stdout.write(flags.json ? `${JSON.stringify({ accepted, processes }, null, 2)}\n` : formatStatus(accepted, processes))
  process.exitCode = computeExitCode(accepted, processes)
}

async function readAcceptedStatus (service: ObjectService, progress: Progress): Promise<AcceptedStatus> {
  const stored = await readManifest(service, progress)
  const empty = { generation: null, appliedBy: null, appliedAt: null }
  if (stored.isErr) return { ...empty, problem: stored.error.message }
  if (stored.value === null) return { ...empty, generation: 0, problem: null }
  const { generation, appliedBy, appliedAtMs } = stored.value.manifest
  return { generation, appliedBy, appliedAt: new Date(appliedAtMs).toISOString(), problem: null }
}

async function listRegisteredProcesses (service: ObjectService, progress: Progress): Promise<NamedAddress[]> {
  const lists = await Promise.all([GATEWAYS_PREFIX, SIDECARS_PREFIX].map(prefix => service.list(prefix, progress)))
  const objects = lists.flatMap(list => list.isOk ? list.value.objects : [])
  return objects.flatMap(object => {
    const record = registrationSchema.safeParse(object.value)
    return record.success ? [{ address: record.data.address, name: record.data.instanceId }] : []
  })
}

async function fetchProcessStatus ({ address, name }: NamedAddress): Promise<ProcessStatus> {
  const state = await fetchState(address, process.env[SECRET_VARIABLE] ?? '')
  if (state.isErr) return { kind: 'silent', address, name, message: state.error }
  const generation = state.value.configGeneration
  if (typeof generation === 'number') return { kind: 'answered', address, name, generation }
  return { kind: 'silent', address, name, message: `${address} reported no generation` }
}

function formatStatus (accepted: AcceptedStatus, processes: ProcessStatus[]): string {
  const newest = findNewestGeneration(accepted, processes)
  const head = accepted.problem === null
    ? `generation ${accepted.generation} is accepted${accepted.appliedBy === null ? '' : `, applied by ${accepted.appliedBy} at ${accepted.appliedAt}`}`
    : `the accepted generation is unknown: ${accepted.problem}`
  const lines = processes.map(process => formatProcess(process, newest))
  return `${[head, ...lines].join('\n')}\n`
}

function formatProcess (process: ProcessStatus, newest: number): string {
  switch (process.kind) {
    case 'answered': return `${process.name} ${process.address}: generation ${process.generation}${process.generation < newest ? ', behind' : ''}`
    case 'silent': return `${process.name} ${process.address}: no answer: ${process.message}`
  }
}

function findNewestGeneration (accepted: AcceptedStatus, processes: ProcessStatus[]): number {
  const generations = processes.map(process => process.kind === 'answered' ? process.generation : 0)
  return Math.max(accepted.generation ?? 0, ...generations)
}

function computeExitCode (accepted: AcceptedStatus, processes: ProcessStatus[]): number {
  const newest = findNewestGeneration(accepted, processes)
  if (accepted.problem !== null || processes.some(process => process.kind === 'silent')) return EXIT_CODES.unavailable
  const isBehind = processes.some(process => process.kind === 'answered' && process.generation < newest)
  return isBehind ? EXIT_CODES.findings : EXIT_CODES.ok
}
