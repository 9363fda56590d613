import { tmpdir } from 'node:os'
import path from 'node:path'

import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'

import { runSoak } from './runSoak'

const MS_PER_MINUTE = 60_000

yargs(hideBin(process.argv))
  .scriptName('soak')
  .strict()
  .command('$0', 'gateways as processes, under faults from outside, with their promises checked', {
    seed: { type: 'number', default: 1, describe: 'the same seed gives the same plan' },
    minutes: { type: 'number', default: 1 },
    gateways: { type: 'number', default: 4, describe: 'processes; each takes about 70 MB' },
    endpoints: { type: 'number', default: 6 },
    callers: { type: 'number', default: 24 },
    logs: { type: 'string', describe: 'folder for logs, settings and clocks of the processes' }
  }, async argv => {
    const summary = await runSoak({
      seed: argv.seed,
      durationMs: argv.minutes * MS_PER_MINUTE,
      gateways: argv.gateways,
      endpoints: argv.endpoints,
      callers: argv.callers,
      folder: argv.logs ?? path.join(tmpdir(), `tanagerwick-soak-${process.pid}`),
      report: line => process.stdout.write(`${line}\n`)
    })
    const { findings, requests, actions, ends } = summary
    process.stdout.write(`seed ${argv.seed}: ${findings.length} findings, ${requests} requests, ${actions} actions; ${JSON.stringify(ends)}\n`)
    process.exitCode = findings.length === 0 ? 0 : 1
  })
  .fail((message, error) => { throw error ?? new Error(message) })
  .parseAsync()
  .catch((error: Error) => {
    process.stderr.write(`${error.stack ?? error.message}\n`)
    process.exitCode = 1
  })
