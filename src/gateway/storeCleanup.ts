import { Progress } from '../base/progress'
import { ClaimSweeper } from '../store/claimSweeper'
import { Lease } from '../store/lease'
import { Maintenance } from '../store/maintenance'

import type { FleetConfig } from '../config/fleetConfig'
import type { MaintenanceJob } from '../store/maintenance'
import type { ObjectService } from '../store/objectService'
import type { PoisonRegistry } from '../store/poisonRegistry'

const LEASE_NAME = 'upkeep'
const LEASE_TERM_MS = 120_000
const CRASH_SWEEP_PERIOD_MS = 600_000
const CRASH_SWEEP_MAX = 50
const RELEASE_TIMEOUT_MS = 2000
const DEFAULT_RETENTION_MS = 86_400_000

export interface StoreCleanupOptions {
  service: ObjectService
  /** Id and epoch of this process. */
  holder: string
  getConfig: () => FleetConfig | null
  crashes: PoisonRegistry
  onError: (error: unknown) => void
}

/** Removes expired claims and crash records from the object service, on one gateway of the fleet at a time. */
export class StoreCleanup {
  readonly #lease: Lease
  readonly #maintenance: Maintenance

  constructor (options: StoreCleanupOptions) {
    const { service, holder, getConfig, crashes, onError } = options
    this.#lease = new Lease({ service, name: LEASE_NAME, holder, termMs: LEASE_TERM_MS, onError })
    const claimSweeper = new ClaimSweeper({
      service,
      listWorkspaces: () => [...getConfig()?.workspaces.keys() ?? []],
      getRetentionMs: () => getConfig()?.settings.claimRetentionMs ?? DEFAULT_RETENTION_MS
    })
    this.#maintenance = new Maintenance({ lease: this.#lease, jobs: [claimSweeper, createCrashSweep(crashes)], onError })
  }

  start (): void {
    this.#lease.start()
    this.#maintenance.start()
  }

  async stop (): Promise<void> {
    await this.#maintenance.stop()
    await this.#lease.stop(new Progress({ title: 'releasing the upkeep lease', timeoutMs: RELEASE_TIMEOUT_MS }))
  }
}

function createCrashSweep (poisonRegistry: PoisonRegistry): MaintenanceJob {
  return {
    title: 'removing expired crash records',
    runStep: async progress => {
      await poisonRegistry.removeExpired(CRASH_SWEEP_MAX, progress)
      return CRASH_SWEEP_PERIOD_MS
    }
  }
}
