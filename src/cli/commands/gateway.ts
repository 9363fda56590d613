import { loadGatewaySettings } from '../../config/loadProcessSettings'
import { GatewayProcess } from '../../gateway/gatewayProcess'
import { addGatewayOptions } from '../processOptions'
import { runProcess } from '../processRunner'

import type { CommandModule } from 'yargs'
import type { SettingFlags } from '../../config/loadProcessSettings'

/** `tanagerwick gateway`: serves callers until SIGTERM, then drains. */
export const gatewayCommand: CommandModule<object, SettingFlags> = {
  command: 'gateway',
  describe: 'Run a gateway that serves callers',
  builder: addGatewayOptions,
  handler: async flags => {
    await runProcess(loadGatewaySettings(flags, process.env), dependencies => new GatewayProcess(dependencies))
  }
}
