import { Progress } from '../base/progress'

import { addJitter } from './backoff'
import { BackgroundTask } from './backgroundTask'

import type { Lease } from './lease'

/** A maintenance job that one process of the fleet runs at a time. */
export interface MaintenanceJob {
  title: string
  /** Runs one bounded step; resolves to the milliseconds to wait before the next one. */
  runStep (progress: Progress): Promise<number>
}

export interface MaintenanceOptions {
  /** Lease that selects the process. The caller stops it. */
  lease: Lease
  jobs: MaintenanceJob[]
  getRandom?: () => number
  onError?: (error: unknown) => void
}

const STEP_TIMEOUT_MS = 5_000
const LEASE_POLL_MS = 10_000

/**
 * Runs maintenance jobs while this process holds the maintenance lease. The lease limits the load.
 * Two processes that run jobs at the same time by mistake do no harm, because every write of a job is
 * conditional.
 *
 * @example
 * const maintenance = new Maintenance({ lease, jobs: [new ClaimSweeper({ service, listWorkspaces, getRetentionMs })] })
 * maintenance.start()
 */
export class Maintenance {
  readonly #options: MaintenanceOptions
  readonly #tasks: BackgroundTask[]

  constructor (options: MaintenanceOptions) {
    this.#options = options
    this.#tasks = options.jobs.map(job => new BackgroundTask({
      runStep: async signal => await this.#runJob(job, signal),
      onError: options.onError
    }))
  }

  start (): void {
    this.#tasks.forEach(task => task.start())
  }

  async stop (): Promise<void> {
    await Promise.all(this.#tasks.map(task => task.stop()))
  }

  async #runJob (job: MaintenanceJob, signal: AbortSignal): Promise<number> {
    if (!this.#options.lease.isHeld(STEP_TIMEOUT_MS)) return addJitter(LEASE_POLL_MS, this.#options.getRandom ?? Math.random)
    return await job.runStep(new Progress({ title: job.title, timeoutMs: STEP_TIMEOUT_MS, signal }))
  }
}
