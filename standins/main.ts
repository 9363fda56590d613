import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'

import { startPlatform } from './platform/platformServer'
import { parseListen, reportListening } from './shared/listenOption'

const LISTEN = { type: 'string', default: '127.0.0.1:0', describe: 'HOST:PORT; port 0 lets the system choose' } as const

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
  .parseAsync()
  .catch((error: Error) => {
    process.stderr.write(`${error.message}\n`)
    process.exitCode = 1
  })
