import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'

import { DEPLOYMENTS } from './player/deploymentProfiles'
import { DEMO_FAULTS } from './demo/demoFaults'
import { runDemo } from './demo/runDemo'
import { startPlatform } from './platform/platformServer'
import { endpointSpecsSchema, startEndpoint } from './shared/endpointSpec'
import { parseListen, reportListening } from './shared/listenOption'

yargs(hideBin(process.argv))
  .scriptName('standin')
  .strict()
  .demandCommand(1)
  .command('platform', "start the platform's object service", {
    listen: { type: 'string', default: '127.0.0.1:0', describe: 'HOST:PORT; port 0 selects a free port' },
    'reads-per-second': { type: 'number', default: 2000 },
    'writes-per-second': { type: 'number', default: 400 },
    'instances-lag-ms': { type: 'number', default: 1000 }
  }, async argv => {
    const platform = await startPlatform({
      ...parseListen(argv.listen),
      readsPerSecond: argv.readsPerSecond,
      writesPerSecond: argv.writesPerSecond,
      instancesLagMs: argv.instancesLagMs
    })
    reportListening('platform', platform.address)
  })
  .command('endpoints', 'start model engines and plain services in one process', {
    spec: { type: 'string', demandOption: true, describe: 'JSON array, for example [{"kind":"engine","name":"engine-1","port":0}]' }
  }, async argv => {
    for (const spec of endpointSpecsSchema.parse(JSON.parse(argv.spec))) reportListening(spec.name, await startEndpoint(spec))
  })
  .command('demo', 'run a lunch burst against a fleet of processes', {
    deployment: { choices: DEPLOYMENTS, default: DEPLOYMENTS[0] },
    seed: { type: 'number', default: 1 },
    seconds: { type: 'number', default: 20, describe: 'length of the burst' },
    fault: { type: 'array', choices: DEMO_FAULTS, default: [], describe: 'faults injected during the burst' },
    logs: { type: 'string', describe: 'folder for the process logs and the record of the run' },
    overload: { type: 'number', default: 2, describe: "requested tokens, as a multiple of the engines' capacity" }
  }, async argv => {
    const isPassed = await runDemo({
      deployment: argv.deployment,
      seed: argv.seed,
      durationMs: argv.seconds * 1000,
      overload: argv.overload,
      faults: argv.fault,
      logFolder: argv.logs
    })
    process.exitCode = isPassed ? 0 : 1
  })
  .fail((message, error) => { throw error ?? new Error(message) })
  .parseAsync()
  .catch((error: Error) => {
    process.stderr.write(`${error.message}\n`)
    process.exitCode = 1
  })
