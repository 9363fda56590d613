import { hostname, userInfo } from 'node:os'

import { systemClock } from '../../base/clock'
import { SECRET_VARIABLE } from '../../config/loadProcessSettings'
import { diffTrees, formatChanges } from '../../config/treeDiff'
import { ConfigPublisher } from '../../store/configPublisher'
import { readAcceptedTree, readManifest } from '../../store/configReader'
import { formatOfferError, offerConfig } from '../../store/offerConfig'
import { runBounded } from '../../store/runBounded'
import { failCommand, loadFolderOrReport, parseAddresses, PLATFORM_OPTIONS, withPlatform } from '../configCommandInput'
import { EXIT_CODES } from '../exitCodes'
import { callPeer } from '../peerCaller'

import type { Argv, CommandModule } from 'yargs'
import type { Progress } from '../../base/progress'
import type { FleetTree } from '../../config/fleetSchema'
import type { Manifest } from '../../config/manifest'
import type { Publication, PublishError } from '../../store/configPublisher'
import type { ObjectService } from '../../store/objectService'
import type { PlatformFlags } from '../configCommandInput'

interface ApplyFlags extends PlatformFlags {
  folder: string
  by?: string
  baseGeneration?: number
  gateways: string
}

const MAX_CONCURRENT_OFFERS = 16

/** `tanagerwick config apply FOLDER`: makes a folder the accepted configuration. */
export const configApplyCommand: CommandModule<object, ApplyFlags> = {
  command: 'apply <folder>',
  describe: 'Make FOLDER the accepted configuration of the fleet',
  builder: argv => argv
    .positional('folder', { type: 'string', demandOption: true, describe: 'folder of YAML files' })
    .options(PLATFORM_OPTIONS)
    .option('by', { type: 'string', describe: 'name shown to other operators; by default USER@HOST' })
    .option('base-generation', { type: 'number', describe: 'generation that the folder is based on; required if another operator applied it, rejected if it is not the accepted one' })
    .option('gateways', { type: 'string', default: '', describe: 'IP:PORT of processes to send the configuration to immediately, separated by commas' })
    .epilogue(`For --gateways the fleet's secret comes from the environment variable ${SECRET_VARIABLE}.`) as Argv<ApplyFlags>,
  handler: async flags => {
    if (flags.baseGeneration !== undefined && !Number.isInteger(flags.baseGeneration)) {
      return failCommand(EXIT_CODES.usage, '--base-generation: must be a whole number, as printed by config diff.')
    }
    const tree = loadFolderOrReport(flags.folder)
    if (tree === null) return
    await withPlatform(flags, 'applying the configuration', async (service, progress) => await applyTree(tree, flags, service, progress))
  }
}

async function applyTree (tree: FleetTree, flags: ApplyFlags, service: ObjectService, progress: Progress): Promise<void> {
  const appliedBy = flags.by ?? readUserName()
  const baseGeneration = flags.baseGeneration ?? await resolveBaseGeneration(tree, appliedBy, service, progress)
  if (baseGeneration === null) return
  const publisher = new ConfigPublisher(service, { appliedBy, clock: systemClock })
  const handleAccepted = async (publication: Publication) => {
    process.stdout.write(`${describePublication(publication)}\n`)
    await offerToGateways(parseAddresses(flags.gateways), publication, progress)
  }
  const result = await publisher.publish(tree, progress, { baseGeneration, onAccepted: handleAccepted })
  if (result.isErr) reportFailure(result.error)
  else if (result.value.kind === 'unchanged') await handleAccepted(result.value)
}

/**
 * Returns the generation that the apply is based on. A folder that is older than another operator's
 * apply would silently undo it. So when another operator's generation is accepted and the folder
 * differs from it, reports a conflict and returns `null`; `--base-generation` confirms the apply.
 */
async function resolveBaseGeneration (tree: FleetTree, appliedBy: string, service: ObjectService, progress: Progress): Promise<number | null> {
  const stored = await readManifest(service, progress)
  if (stored.isErr) {
    failCommand(EXIT_CODES.unavailable, `Nothing was accepted: ${stored.error.message}. Apply again once the object service responds.`)
    return null
  }
  const manifest = stored.value?.manifest
  if (manifest === undefined || manifest.appliedBy === appliedBy) return manifest?.generation ?? 0
  const accepted = await readAcceptedTree(service, progress)
  const changes = accepted.map(({ tree: current }) => diffTrees(current, tree))
  if (changes.isOk && changes.value.length === 0) return manifest.generation
  failCommand(EXIT_CODES.conflict, describeOperatorConflict(manifest, changes.isOk ? formatChanges(changes.value) : `(${changes.error})`))
  return null
}

function describeOperatorConflict ({ generation, appliedBy, appliedAtMs }: Manifest, changes: string): string {
  return [
    `Nothing was accepted: generation ${generation} is by ${appliedBy}, applied at ${new Date(appliedAtMs).toISOString()}. Your folder would make these changes:`,
    changes,
    `If your folder includes the changes of ${appliedBy}, apply again with --base-generation ${generation}.`
  ].join('\n')
}

function describePublication (publication: Publication): string {
  const { generation } = publication.manifest
  switch (publication.kind) {
    case 'accepted': return `generation ${generation} is accepted; ${publication.writtenParts} parts of ${publication.parts.length} written, ${publication.writtenBytes} bytes`
    case 'unchanged': return `generation ${generation} is accepted already; nothing changed`
  }
}

/** Offers the configuration to each address; a process that rejects it still gets it from the object service or its peers. */
async function offerToGateways (addresses: string[], publication: Publication, progress: Progress): Promise<void> {
  const fleetSecret = process.env[SECRET_VARIABLE] ?? ''
  await runBounded(addresses, MAX_CONCURRENT_OFFERS, async address => {
    const offered = await offerConfig((peer, method, params) => callPeer({ address: peer, fleetSecret }, method, params, progress), address, publication, progress)
    process.stdout.write(offered.isOk
      ? `${address}: generation ${offered.value} in force\n`
      : `${address}: offer failed: ${formatOfferError(offered.error)}\n`)
  })
}

function reportFailure (error: PublishError): void {
  switch (error.kind) {
    case 'conflict': return failCommand(EXIT_CODES.conflict, describeGenerationConflict(error))
    case 'unavailable': return failCommand(EXIT_CODES.unavailable, `Nothing was accepted: ${error.message}. Apply again once the object service responds.`)
    case 'malformedManifest': return failCommand(EXIT_CODES.unavailable, `Nothing was accepted: ${error.message}. Restore that object first.`)
    case 'unknownOutcome': return failCommand(EXIT_CODES.unavailable,
      `It is not known whether generation ${error.generation} was accepted: ${error.message}. Run 'config diff' once the object service responds; applying again is safe.`)
    case 'partTooLarge': return failCommand(EXIT_CODES.findings,
      `Nothing was accepted: part ${error.name} has ${error.bytes} bytes, above ${error.limitBytes}. Shorten the lists of its entries.`)
  }
}

function describeGenerationConflict (error: Extract<PublishError, { kind: 'conflict' }>): string {
  const { current, baseGeneration, changes } = error
  const when = new Date(current.appliedAtMs).toISOString()
  const summary = `Nothing was accepted: generation ${current.generation} by ${current.appliedBy} at ${when} is in force, not ${baseGeneration}.`
  const list = changes === null ? 'Its changes are no longer stored in full.' : `It changed:\n${formatChanges(changes)}`
  return `${summary}\n${list}\nRun 'config diff', merge its changes into your folder and apply again.`
}

function readUserName (): string {
  try {
    return `${userInfo().username}@${hostname()}`
  } catch {
    return 'unknown'
  }
}
