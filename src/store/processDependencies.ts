import type { Logger } from 'tslog'
import type { ConfigSource } from '../config/configSource'
import type { CommonSettings } from '../config/processSettings'
import type { RpcServer } from '../protocol/rpcServer'
import type { ObjectService } from './objectService'

/** Shared dependencies of every process of the fleet. */
export interface ProcessDependencies<S extends CommonSettings> {
  settings: S
  service: ObjectService
  config: ConfigSource
  rpc: RpcServer
  logger: Logger<unknown>
}
