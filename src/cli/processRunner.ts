import { systemClock } from '../base/clock'
import { createLogger } from '../base/logger'
import { formatFindings } from '../config/finding'
import { ConfigFollower } from '../store/configFollower'
import { HttpObjectService } from '../store/httpObjectService'
import { createConfigAnswer, GET_CONFIG_METHOD, getConfigSchema, OFFER_CONFIG_METHOD, offerConfigSchema, RpcPeerConfigSource } from '../store/peerConfig'
import { RpcServer } from '../protocol/rpcServer'
import { EXIT_CODES } from './exitCodes'
import { callPeer } from './peerCaller'

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

/** Runs a process until SIGTERM or SIGINT, then drains it. */
export async function runProcess<S extends CommonSettings> (loaded: Result<S, Finding[]>, create: (dependencies: ProcessDependencies<S>) => RunnableProcess): Promise<void> {
  if (loaded.isErr) {
    process.stderr.write(`${formatFindings(loaded.error)}\n`)
    process.exitCode = EXIT_CODES.findings
    return
  }
  const dependencies = createDependencies(loaded.value)
  const { logger, config } = dependencies
  const runnable = create(dependencies)
  installSignalHandlers(runnable, dependencies)
  config.start()
  try {
    const address = await runnable.start()
    logger.info({ event: 'ready', listening: address, id: dependencies.settings.id })
  } catch (error) {
    process.stderr.write(`${dependencies.settings.id} cannot start: ${(error as Error).message}\n`)
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

function installSignalHandlers<S extends CommonSettings> (runnable: RunnableProcess, dependencies: RunnerDependencies<S>): void {
  let isStopping = false
  const stop = () => {
    if (isStopping) return
    isStopping = true
    dependencies.logger.info({ event: 'draining', id: dependencies.settings.id })
    runnable.drain().then(() => {
      dependencies.config.stop()
      dependencies.logger.info({ event: 'stopped', id: dependencies.settings.id })
      process.exit(EXIT_CODES.ok)
    }, (error: Error) => {
      dependencies.logger.error({ event: 'drainFailed', message: error.message })
      process.exit(EXIT_CODES.unavailable)
    })
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  process.on('uncaughtException', error => dependencies.logger.error({ event: 'unexpectedError', message: String(error.stack).slice(0, 1000) }))
  process.on('unhandledRejection', error => dependencies.logger.error({ event: 'unexpectedError', message: String((error as Error)?.stack ?? error).slice(0, 1000) }))
}
