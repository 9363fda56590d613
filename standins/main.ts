import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'

import { startEngine } from './engine/engineServer'
import { startPlatform } from './platform/platformServer'
import { startService } from './service/serviceServer'
import { parseListen, reportListening } from './shared/listenOption'

const LISTEN = { type: 'string', default: '127.0.0.1:0', describe: 'HOST:PORT; port 0 lets the system choose' } as const
const ENDPOINT_OPTIONS = {
  listen: { type: 'array', string: true, default: ['127.0.0.1:0'], describe: 'HOST:PORT of each endpoint' },
  name: { type: 'array', string: true, demandOption: true, describe: 'name of each endpoint, in the order of --listen' },
  slots: { type: 'number', default: 8 },
  'restart-ms': { type: 'number', default: 1500 }
} as const

yargs(hideBin(process.argv))
  .scriptName('standin')
  .strict()
  .demandCommand(1)
  .command('platform', "the platform's object service", {
    listen: LISTEN,
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
  .command('engine', 'one or more model engines', {
    ...ENDPOINT_OPTIONS,
    model: { type: 'array', string: true, default: [], describe: 'model that is loaded at each boot' },
    'step-ms': { type: 'number', default: 20 },
    'step-ms-per-request': { type: 'number', default: 1 },
    'speed-factor': { type: 'number', default: 1 },
    'load-lag-ms': { type: 'number', default: 500 },
    'checks-fencing': { type: 'boolean', default: true }
  }, async argv => {
    for (const [position, name] of argv.name.entries()) {
      const engine = await startEngine({
        ...parseListen(argv.listen[position] ?? '127.0.0.1:0'),
        name,
        slots: argv.slots,
        restartMs: argv.restartMs,
        models: argv.model,
        stepMs: argv.stepMs,
        stepMsPerRequest: argv.stepMsPerRequest,
        speedFactor: argv.speedFactor,
        loadLagMs: argv.loadLagMs,
        checksFencing: argv.checksFencing
      })
      reportListening(name, engine.host.address)
    }
  })
  .command('service', 'one or more plain services', {
    ...ENDPOINT_OPTIONS,
    'service-ms': { type: 'number', default: 50 }
  }, async argv => {
    for (const [position, name] of argv.name.entries()) {
      const service = await startService({
        ...parseListen(argv.listen[position] ?? '127.0.0.1:0'),
        name,
        slots: argv.slots,
        restartMs: argv.restartMs,
        serviceMs: argv.serviceMs
      })
      reportListening(name, service.host.address)
    }
  })
  .parseAsync()
  .catch((error: Error) => {
    process.stderr.write(`${error.message}\n`)
    process.exitCode = 1
  })
