import { setTimeout as sleep } from 'node:timers/promises'

import type { FleetConfig } from '../../src/config/fleetConfig'
import type { FleetProcesses } from './fleetProcesses'

/** Faults that a demo can inject during its burst. */
export const DEMO_FAULTS = ['crash', 'slow', 'freeze', 'outage', 'lostWrites'] as const
export type DemoFault = typeof DEMO_FAULTS[number]

const SLOWDOWN_FACTOR = 10
const OUTAGE_MS = 5000
const LOST_WRITE_COUNT = 20

/** Injects `faults` at even intervals over `durationMs`. */
export async function applyDemoFaults (faults: readonly DemoFault[], fleet: FleetProcesses, config: FleetConfig, durationMs: number): Promise<void> {
  const engines = [...config.endpoints.values()].filter(endpoint => endpoint.kind === 'engine').map(endpoint => endpoint.name)
  for (const [position, fault] of faults.entries()) {
    await sleep(durationMs / (faults.length + 1))
    await applyDemoFault(fault, fleet, engines[position % engines.length]!)
  }
}

async function applyDemoFault (fault: DemoFault, fleet: FleetProcesses, engine: string): Promise<void> {
  process.stdout.write(`fault: ${fault}\n`)
  switch (fault) {
    case 'crash': return await fleet.setEndpointFaults(engine, { crash: true })
    case 'slow': return await fleet.setEndpointFaults(engine, { slowFactor: SLOWDOWN_FACTOR })
    case 'freeze': return await fleet.setEndpointFaults(engine, { freeze: true })
    case 'outage': return await fleet.setPlatformFaults({ outage: 'answer503', outageMs: OUTAGE_MS })
    case 'lostWrites': return await fleet.setPlatformFaults({ applyThenLoseAnswer: LOST_WRITE_COUNT, applyThenLoseAnswerPrefix: 'claims/' })
  }
}
