import { systemClock } from '../base/clock'

import { parseClaimRecord, toWorkspacePrefix } from './claimRecord'

import type { Clock } from '../base/clock'
import type { Progress } from '../base/progress'
import type { MaintenanceJob } from './maintenance'
import type { ObjectService, StoredObject } from './objectService'

export interface ClaimSweeperOptions {
  service: ObjectService
  /** Returns the workspaces whose claims are swept. */
  listWorkspaces: () => string[]
  /** Returns the milliseconds for which a claim is kept. */
  getRetentionMs: () => number
  clock?: Clock
  /** Largest number of calls per second. */
  callsPerSecond?: number
}

const DEFAULT_CALLS_PER_SECOND = 5
const SWEEP_PERIOD_MS = 600_000
const LIST_RETRY_DELAY_MS = 10_000
const MAX_PAGE_SPLITS = 3
const HEX_DIGITS = [...'0123456789abcdef']

interface Page {
  prefix: string
  /** How many times the page was split because it could not be listed. */
  splits: number
}

/**
 * Deletes expired claims, one call per step and one page at a time. A workspace is one page. A page
 * that cannot be listed is split by the next digit of the key's hash.
 *
 * @example
 * const sweeper = new ClaimSweeper({ service, listWorkspaces: () => [...config.workspaces.keys()], getRetentionMs })
 */
export class ClaimSweeper implements MaintenanceJob {
  readonly title = 'removing expired claims'
  readonly #options: ClaimSweeperOptions
  readonly #clock: Clock
  readonly #stepMs: number
  #pages: Page[] = []
  #expired: StoredObject[] = []
  #removedCount = 0

  constructor (options: ClaimSweeperOptions) {
    this.#options = options
    this.#clock = options.clock ?? systemClock
    this.#stepMs = 1_000 / (options.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND)
  }

  /** Returns the number of claims deleted so far. */
  getRemovedCount (): number {
    return this.#removedCount
  }

  async runStep (progress: Progress): Promise<number> {
    const object = this.#expired.pop()
    if (object !== undefined) return await this.#remove(object, progress)
    const page = this.#pages.pop()
    if (page !== undefined) return await this.#listPage(page, progress)
    this.#pages = this.#options.listWorkspaces().map(workspace => ({ prefix: toWorkspacePrefix(workspace), splits: 0 }))
    return SWEEP_PERIOD_MS
  }

  async #remove ({ key, version }: StoredObject, progress: Progress): Promise<number> {
    const removed = await this.#options.service.delete(key, version, progress)
    if (removed.isOk) this.#removedCount += 1
    return this.#stepMs
  }

  async #listPage (page: Page, progress: Progress): Promise<number> {
    const listed = await this.#options.service.list(page.prefix, progress)
    if (listed.isErr) {
      if (page.splits < MAX_PAGE_SPLITS) this.#pages.push(...listSubpages(page))
      return LIST_RETRY_DELAY_MS
    }
    this.#expired = listed.value.objects.filter(object => this.#isExpired(object))
    return this.#stepMs
  }

  #isExpired (object: StoredObject): boolean {
    const record = parseClaimRecord(object)
    return record !== null && this.#clock.getWallMs() - record.claimedAtMs > this.#options.getRetentionMs()
  }
}

function listSubpages ({ prefix, splits }: Page): Page[] {
  return HEX_DIGITS.map(digit => ({ prefix: prefix + digit, splits: splits + 1 }))
}
