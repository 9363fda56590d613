import { loadSidecarSettings } from '../../config/loadProcessSettings'
import { SidecarProcess } from '../../sidecar/sidecarProcess'
import { addSidecarOptions } from '../processOptions'
import { runProcess } from '../processRunner'

import type { CommandModule } from 'yargs'
import type { SettingFlags } from '../../config/loadProcessSettings'

/** `tanagerwick sidecar`: runs the sidecar of one endpoint until SIGTERM, then drains. */
export const sidecarCommand: CommandModule<object, SettingFlags> = {
  command: 'sidecar',
  describe: 'Run the sidecar of one endpoint',
  builder: addSidecarOptions,
  handler: async flags => {
    await runProcess(loadSidecarSettings(flags, process.env), dependencies => new SidecarProcess(dependencies))
  }
}
