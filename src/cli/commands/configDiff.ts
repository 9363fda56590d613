import { diffTrees, formatChanges } from '../../config/treeDiff'
import { readAcceptedTree } from '../../store/configReader'
import { failCommand, loadFolderOrReport, PLATFORM_OPTIONS, withPlatform } from '../configCommandInput'
import { EXIT_CODES } from '../exitCodes'

import type { CommandModule } from 'yargs'
import type { Progress } from '../../base/progress'
import type { FleetTree } from '../../config/fleetSchema'
import type { ObjectService } from '../../store/objectService'
import type { PlatformFlags } from '../configCommandInput'

interface DiffFlags extends PlatformFlags {
  folder: string
}

/** `tanagerwick config diff FOLDER`: shows what applying a folder would change. */
export const configDiffCommand: CommandModule<object, DiffFlags> = {
  command: 'diff <folder>',
  describe: 'Show what applying FOLDER would change; exit code 1 if there are changes',
  builder: argv => argv
    .positional('folder', { type: 'string', demandOption: true, describe: 'folder of YAML files' })
    .options(PLATFORM_OPTIONS),
  handler: async flags => {
    const tree = loadFolderOrReport(flags.folder)
    if (tree === null) return
    await withPlatform(flags, 'comparing with the accepted configuration', async (service, progress) => await printDiff(tree, service, progress))
  }
}

async function printDiff (tree: FleetTree, service: ObjectService, progress: Progress): Promise<void> {
  const accepted = await readAcceptedTree(service, progress)
  if (accepted.isErr) return failCommand(EXIT_CODES.unavailable, `${accepted.error}; try again once the object service responds.`)
  const { manifest, tree: current } = accepted.value
  const changes = diffTrees(current, tree)
  process.stdout.write(`generation ${manifest?.generation ?? 0} is accepted; applying would make ${changes.length} changes\n`)
  if (changes.length === 0) return
  process.stdout.write(`${formatChanges(changes)}\n`)
  process.exitCode = EXIT_CODES.findings
}
