import type { Logger } from 'tslog'
import type { ConfigSource } from '../config/configSource'
import type { CommonSettings } from '../config/processSettings'
import type { RpcServer } from '../protocol/rpcServer'
import type { ObjectService } from './objectService'

/** What every process of the fleet is built from. */
export interface ProcessDependencies<S extends CommonSettings> {
  settings: S
  service: ObjectService
  config: ConfigSource
  rpc: RpcServer
  logger: Logger<unknown>
}
