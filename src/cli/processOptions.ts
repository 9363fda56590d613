import type { Argv, Options } from 'yargs'

import type { SettingFlags } from '../config/loadProcessSettings'

const COMMON_OPTIONS = {
  settings: { type: 'string', describe: 'YAML file with the same settings; flags override it' },
  id: { type: 'string', describe: 'name of this instance, unique in the fleet' },
  listen: { type: 'string', describe: 'IP:PORT to listen on; port 0 lets the system choose' },
  domain: { type: 'string', describe: 'failure domain of this instance' },
  platform: { type: 'string', describe: 'base URL of the object service' },
  peers: { type: 'string', describe: 'IP:PORT of processes to ask for the configuration, separated by commas' },
  'log-level': { type: 'string', describe: 'debug, info, warn, error or silent' }
} as const

const SIDECAR_OPTIONS = {
  'endpoint-name': { type: 'string', describe: 'name of the endpoint in the configuration' },
  'endpoint-address': { type: 'string', describe: 'IP:PORT on which the endpoint listens' }
} as const

const SECRET_NOTE = 'The fleet\'s secret comes from the environment variable TANAGERWICK_FLEET_SECRET.'

/**
 * Adds the flags of `tanagerwick gateway`; `loadGatewaySettings` checks their values.
 *
 * @example
 * const command: CommandModule<object, SettingFlags> = { command: 'gateway', builder: addGatewayOptions, handler }
 */
export function addGatewayOptions (argv: Argv): Argv<SettingFlags> {
  return addOptions(argv, COMMON_OPTIONS)
}

/**
 * Adds the flags of `tanagerwick sidecar`; `loadSidecarSettings` checks their values.
 *
 * @example
 * const command: CommandModule<object, SettingFlags> = { command: 'sidecar', builder: addSidecarOptions, handler }
 */
export function addSidecarOptions (argv: Argv): Argv<SettingFlags> {
  return addOptions(argv, { ...COMMON_OPTIONS, ...SIDECAR_OPTIONS })
}

/** Adds `options`. The cast is needed because the types of `Argv` omit the camelCase form of each flag. */
function addOptions (argv: Argv, options: Record<string, Options>): Argv<SettingFlags> {
  return argv.options(options).epilogue(SECRET_NOTE) as Argv<SettingFlags>
}
