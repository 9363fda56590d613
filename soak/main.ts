import { tmpdir } from 'node:os'
import path from 'node:path'

import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'

import { SOAK_REGRESSIONS } from './regressions'
import { runSoak } from './runSoak'

const MS_PER_MINUTE = 60_000

interface SoakFlags {
  gateways: number
  endpoints: number
  callers: number
  logs: string | undefined
  program: string | undefined
  stopsAlone: boolean
}

yargs(hideBin(process.argv))
  .scriptName('soak')
  .strict()
  .command('$0', 'runs gateway processes under injected faults and checks their guarantees', {
    seed: { type: 'number', default: 1, describe: 'seed of the plan; the same seed gives the same plan' },
    minutes: { type: 'number', default: 1 },
    regressions: { type: 'boolean', default: false, describe: 'run the seeds that found a fault before, instead of one seed' },
    gateways: { type: 'number', default: 4, describe: 'number of gateway processes; each uses about 70 MB' },
    endpoints: { type: 'number', default: 6 },
    callers: { type: 'number', default: 24 },
    'stops-alone': { type: 'boolean', default: false, describe: 'plan disturbed stops and pauses alone, without any fault' },
    logs: { type: 'string', describe: 'folder for logs, settings and clocks of the processes' },
    program: { type: 'string', describe: 'path of the built gateway, such as one of an older commit; target/gateway.cjs by default' }
  }, async argv => {
    const runs = argv.regressions ? SOAK_REGRESSIONS : [{ seed: argv.seed, minutes: argv.minutes }]
    let findings = 0
    for (const { seed, minutes } of runs) findings += await playSeed(seed, minutes, argv)
    // sockets that a proxy reset before they connected never close and would keep the process alive
    process.stdout.write('', () => process.exit(findings === 0 ? 0 : 1))
  })
  .fail((message, error) => { throw error ?? new Error(message) })
  .parseAsync()
  .catch((error: Error) => {
    process.stderr.write(`${error.stack ?? error.message}\n`)
    process.exitCode = 1
  })

/** Runs one seed, prints its findings and returns their number. */
async function playSeed (seed: number, minutes: number, flags: SoakFlags): Promise<number> {
  const { gateways, endpoints, callers, logs, program, stopsAlone } = flags
  const { findings, requests, actions, ends } = await runSoak({
    seed,
    durationMs: minutes * MS_PER_MINUTE,
    gateways,
    endpoints,
    callers,
    program,
    hasStopsAlone: stopsAlone,
    folder: logs ?? path.join(tmpdir(), `tanagerwick-soak-${process.pid}-${seed}`),
    report: line => process.stdout.write(`${line}\n`)
  })
  process.stdout.write(`seed ${seed}: ${findings.length} findings, ${requests} requests, ${actions} actions; ${JSON.stringify(ends)}\n`)
  return findings.length
}
