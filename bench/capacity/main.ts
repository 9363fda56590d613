import { printMeasurements } from '../shared/measuredTable'
import { measureConfigPath } from './configPath'
import { measureControlPath } from './controlPath'
import { measureMessageBytes } from './messageBytes'
import { listGatewayBudget, listSidecarBudget } from './nodeBudget'
import { listPlatformBounds, measurePlatformCalls } from './platformCalls'

const messages = measureMessageBytes()
const config = (await measureConfigPath()).at(-1)!
const view = (await measureControlPath()).at(-1)!
const calls = await measurePlatformCalls()
const isWithinBounds = printMeasurements('Control at the full size: slopes times counts', [
  ...listGatewayBudget(view, config, messages),
  ...listSidecarBudget(config, messages),
  ...listPlatformBounds(calls)
])
process.exitCode = isWithinBounds ? 0 : 1
