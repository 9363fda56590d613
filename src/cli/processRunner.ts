import { systemClock } from '../base/clock'
import { createLogger } from '../base/logger'
import { formatFindings } from '../config/finding'
import { ConfigFollower } from '../store/configFollower'
import { HttpObjectService } from '../store/httpObjectService'
import { createConfigAnswer, GET_CONFIG_METHOD, getConfigSchema, OFFER_CONFIG_METHOD, offerConfigSchema, RpcPeerConfigSource } from '../store/peerConfig'
import { RpcServer } from '../protocol/rpcServer'
import { earlySignals } from './earlySignals'
import { EXIT_CODES } from './exitCodes'
import { callPeer } from './peerCaller'
import { ProcessLifecycle } from './processLifecycle'

import type { Result } from 'true-myth'
import type { Finding } from '../config/finding'
import type { CommonSettings } from '../config/processSettings'
import type { ProcessDependencies } from '../store/processDependencies'

/** Dependencies of a process, with the configuration follower that the runner starts and stops. */
interface RunnerDependencies<S extends CommonSettings> extends ProcessDependencies<S> {
  config: ConfigFollower
}

/** A process of the fleet that the command line can run. */
export interface RunnableProcess {
  /** Starts serving; resolves with the `host:port` in use. */
  start (): Promise<string>
  /** Finishes the requests in flight, then stops. */
  drain (): Promise<void>
}

/** Runs a process until a signal stops it, then drains it. */
export async function runProcess<S extends CommonSettings> (loaded: Result<S, Finding[]>, create: (dependencies: ProcessDependencies<S>) => RunnableProcess): Promise<void> {
  if (loaded.isErr) {
    process.stderr.write(`${formatFindings(loaded.error)}\n`)
    process.exitCode = EXIT_CODES.findings
    return
  }
  const dependencies = createDependencies(loaded.value)
  const { logger, config, settings } = dependencies
  const runnable = create(dependencies)
  process.on('uncaughtException', error => logger.error({ event: 'unexpectedError', message: String(error.stack).slice(0, 1000) }))
  process.on('unhandledRejection', error => logger.error({ event: 'unexpectedError', message: String((error as Error)?.stack ?? error).slice(0, 1000) }))
  const lifecycle = new ProcessLifecycle({
    clock: systemClock,
    signals: earlySignals,
    start: async () => {
      config.start()
      const address = await runnable.start()
      logger.info({ event: 'ready', listening: address, id: settings.id })
    },
    drain: async () => await runnable.drain(),
    end: async exitCode => {
      config.stop()
      logger.info({ event: 'stopped', id: settings.id })
      process.exit(exitCode)
    },
    writeLine: line => logger.info(line),
    handleStop: () => logger.info({ event: 'draining', id: settings.id }),
    handleError: error => logger.error({ event: 'drainFailed', message: String((error as Error | null)?.message ?? error) })
  })
  try {
    await lifecycle.run()
  } catch (error) {
    process.stderr.write(`${settings.id} cannot start: ${(error as Error).message}\n`)
    process.exit(EXIT_CODES.unavailable)
  }
}

function createDependencies<S extends CommonSettings> (settings: S): RunnerDependencies<S> {
  const logger = createLogger(settings.id, settings.logLevel)
  const service = new HttpObjectService({ baseUrl: settings.platformUrl })
  const rpc = new RpcServer({ fleetSecret: settings.fleetSecret })
  const config = new ConfigFollower({
    service,
    peerSource: new RpcPeerConfigSource((address, method, params, progress) => callPeer({ address, fleetSecret: settings.fleetSecret }, method, params, progress)),
    peers: settings.peers,
    clock: systemClock,
    getRandom: Math.random,
    logger
  })
  rpc.register(GET_CONFIG_METHOD, async params => createConfigAnswer(config, getConfigSchema.parse(params)))
  rpc.register(OFFER_CONFIG_METHOD, async params => await config.receiveOffer(offerConfigSchema.parse(params)))
  return { settings, service, config, rpc, logger }
}
