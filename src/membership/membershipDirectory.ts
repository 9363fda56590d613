import { Progress } from '../base/progress'
import { Backoff, addJitter } from '../store/backoff'
import { BackgroundTask } from '../store/backgroundTask'
import { SIDECARS_PREFIX } from '../store/keys'
import { PrefixWatcher } from '../store/prefixWatcher'
import { registrationSchema } from './membershipRecords'

import type { SidecarRecord } from './membershipRecords'
import type { ListedInstance, ObjectService, StoredObject, WatchEvent } from '../store/objectService'

export interface MembershipDirectoryOptions {
  service: ObjectService
  getRandom?: () => number
  /** Milliseconds between two polls of the platform's list of instances. */
  instancePollMs?: number
  /** Maximum milliseconds that one watch call waits for changes. */
  watchMs?: number
  onError?: (error: unknown) => void
}

/** Status of the directory's view. */
export interface MembershipStatus {
  /** Whether the view is in sync with the object service; false during an outage. */
  following: boolean
  sidecarCount: number
  leavingCount: number
  /** Number of objects skipped because they were not valid registrations. */
  invalidCount: number
}

interface RegistrationEntry {
  version: number
  /** Null after the registration was removed. The entry keeps its version to reject late events. */
  record: SidecarRecord | null
}

const DEFAULT_INSTANCE_POLL_MS = 3_000
const INSTANCES_TIMEOUT_MS = 3_000
const MAX_BACKOFF_MS = 10_000
const MAX_ENTRIES = 20_000

/**
 * Maintains a gateway's view of the sidecars. It watches their registrations and polls the platform's
 * list of instances, which lags, for instances that are leaving. The last known view remains during
 * an outage of the object service. The directory does not know whether a sidecar is alive; the data
 * path and probes detect that.
 *
 * @example
 * const directory = new MembershipDirectory({ service })
 * const detach = directory.watch(() => update(directory.listSidecars()))
 * directory.start()
 * await directory.stop()
 */
export class MembershipDirectory {
  readonly #options: MembershipDirectoryOptions
  readonly #getRandom: () => number
  readonly #watcher: PrefixWatcher
  readonly #instancePoll: BackgroundTask
  readonly #instancePollBackoff: Backoff
  readonly #entries = new Map<string, RegistrationEntry>()
  readonly #listeners = new Set<() => void>()
  #instances: ListedInstance[] = []
  #sidecars: readonly SidecarRecord[] = []
  #invalidCount = 0

  constructor (options: MembershipDirectoryOptions) {
    this.#options = options
    this.#getRandom = options.getRandom ?? Math.random
    const { service, getRandom, watchMs, onError } = options
    this.#instancePollBackoff = new Backoff({ baseMs: this.#getPollMs(), capMs: MAX_BACKOFF_MS, getRandom: this.#getRandom })
    this.#instancePoll = new BackgroundTask({ runStep: async signal => await this.#fetchInstances(signal), onError })
    this.#watcher = new PrefixWatcher({
      service,
      getRandom,
      timing: watchMs === undefined ? {} : { watchMs },
      onError,
      prefix: SIDECARS_PREFIX,
      handleList: objects => this.#handleList(objects),
      handleEvents: events => this.#handleEvents(events)
    })
  }

  /** Starts watching registrations and polling instances. */
  start (): void {
    this.#watcher.start()
    this.#instancePoll.start()
  }

  /** Stops watching and polling. The last view stays readable. */
  async stop (): Promise<void> {
    await Promise.all([this.#watcher.stop(), this.#instancePoll.stop()])
  }

  /** Returns the sidecars of the last known view, one per endpoint, ordered by endpoint name. */
  listSidecars (): readonly SidecarRecord[] {
    return this.#sidecars
  }

  /**
   * Calls `listener` after each change of the view.
   *
   * @returns a function that removes the listener
   */
  watch (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Returns the status of the view, for state dumps and tests. */
  getStatus (): MembershipStatus {
    return {
      following: this.#watcher.isSynced(),
      sidecarCount: this.#sidecars.length,
      leavingCount: this.#sidecars.filter(sidecar => sidecar.leaving).length,
      invalidCount: this.#invalidCount
    }
  }

  #handleList (objects: StoredObject[]): void {
    const listed = new Set(objects.map(object => object.key))
    for (const [key, entry] of this.#entries) {
      if (!listed.has(key)) this.#entries.set(key, { version: entry.version, record: null })
    }
    for (const object of objects) this.#putObject(object)
    this.#update()
  }

  #handleEvents (events: WatchEvent[]): void {
    for (const event of events) {
      switch (event.kind) {
        case 'put':
          this.#putObject(event.object)
          break
        case 'delete':
          this.#deleteObject(event.key, event.version)
          break
      }
    }
    this.#update()
  }

  #putObject ({ key, version, value }: StoredObject): void {
    const known = this.#entries.get(key)
    if (known !== undefined && version <= known.version) return
    const parsed = registrationSchema.safeParse(value)
    if (!parsed.success || parsed.data.endpointName === null) {
      this.#invalidCount += 1
      return
    }
    if (known === undefined && this.#entries.size >= MAX_ENTRIES) return
    const { instanceId, epoch, address, domain, endpointName } = parsed.data
    const record = { sidecarId: instanceId, epoch, address, domain, endpointName, registrationVersion: version, leaving: false }
    this.#entries.set(key, { version, record })
  }

  #deleteObject (key: string, version: number): void {
    const known = this.#entries.get(key)
    if (known !== undefined && version >= known.version) this.#entries.set(key, { version, record: null })
  }

  async #fetchInstances (signal: AbortSignal): Promise<number> {
    const progress = new Progress({ title: 'listing the instances', timeoutMs: INSTANCES_TIMEOUT_MS, signal })
    const result = await this.#options.service.listInstances(progress)
    if (result.isErr) return this.#instancePollBackoff.advance()
    this.#instancePollBackoff.reset()
    if (result.value !== this.#instances) {
      this.#instances = result.value
      this.#update()
    }
    return addJitter(this.#getPollMs(), this.#getRandom)
  }

  #update (): void {
    const isLeaving = buildLeavingCheck(this.#instances)
    const records = [...this.#entries.values()].flatMap(entry => entry.record ?? [])
    const sidecars = records.map(record => ({ ...record, leaving: isLeaving(record) }))
    sidecars.sort((one, other) => one.endpointName < other.endpointName ? -1 : 1)
    if (JSON.stringify(sidecars) === JSON.stringify(this.#sidecars)) return
    this.#sidecars = sidecars
    for (const listener of [...this.#listeners]) listener()
  }

  #getPollMs (): number {
    return this.#options.instancePollMs ?? DEFAULT_INSTANCE_POLL_MS
  }
}

/** Builds a function that returns whether a sidecar's instance is leaving. Matches by instance id, and by address only if the list lacks the id. */
function buildLeavingCheck (instances: ListedInstance[]): (record: SidecarRecord) => boolean {
  const byId = new Map(instances.map(instance => [instance.instanceId, instance]))
  const byAddress = new Map(instances.map(instance => [instance.address, instance]))
  return record => {
    const instance = byId.get(record.sidecarId) ?? byAddress.get(record.address)
    return instance?.state === 'leaving'
  }
}
