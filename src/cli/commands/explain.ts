import { readFileSync } from 'node:fs'

import { EXIT_CODES } from '../exitCodes'
import { formatTimeline, parseLogLines, selectTimeline } from '../requestTimeline'

import type { CommandModule } from 'yargs'

interface ExplainFlags {
  requestId: string
  files?: string[]
}

const STANDARD_INPUT_FD = 0

/** `tanagerwick explain`: shows from the logs of several processes how a request was handled. */
export const explainCommand: CommandModule<object, ExplainFlags> = {
  command: 'explain <request-id> [files..]',
  describe: 'Show from log files, or standard input, how a request was handled',
  builder: argv => argv
    .positional('request-id', { type: 'string', demandOption: true, describe: 'id of the request, as in its log lines' })
    .positional('files', { type: 'string', array: true, describe: 'log files of all processes that may have seen it' }) as never,
  handler: ({ requestId, files }) => {
    const sources = files === undefined || files.length === 0 ? [STANDARD_INPUT_FD] : files
    const timeline = selectTimeline(sources.flatMap(source => parseLogLines(readFileSync(source, 'utf8'))), requestId)
    process.stdout.write(`${formatTimeline(timeline)}\n`)
    if (timeline.decisions.length === 0) process.exitCode = EXIT_CODES.findings
  }
}
