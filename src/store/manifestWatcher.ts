import { parseManifest } from '../config/manifest'
import { MANIFEST_KEY } from './keys'
import { fetchParts } from './partStore'
import { waitFor } from './channels'
import { describeServiceError, isRateLimited, retryCall } from './retryCall'

import type { Manifest } from '../config/manifest'
import type { FollowerTiming } from './followerTiming'
import type { ObjectService, StoredObject } from './objectService'
import type { OperationScope } from './operationScope'

/** Result of one read or watch: the newest manifest that it returned, if any. */
export type ManifestWatchResult =
  | { kind: 'advanced', manifest: Manifest | null }
  | { kind: 'failed', message: string }

export interface ManifestWatcherOptions {
  service: ObjectService
  scope: OperationScope
  timing: FollowerTiming
  getRandom: () => number
}

const MIN_WATCH_FRACTION = 0.75

/** Watches the manifest at the platform step by step: one read first, then watches. */
export class ManifestWatcher {
  readonly #options: ManifestWatcherOptions
  #revision: number | null = null
  /** Delay before the next watch, so that the fleet does not call again all at once after a change. */
  #nextWatchDelayMs = 0

  constructor (options: ManifestWatcherOptions) {
    this.#options = options
  }

  /** Reads the current manifest at first and after a failure, and waits for its next change otherwise. */
  async readNext (): Promise<ManifestWatchResult> {
    try {
      return this.#revision === null ? await this.#readManifest() : await this.#watchManifest(this.#revision)
    } catch (error) {
      return this.#fail((error as Error).message)
    }
  }

  /** Makes the next step read the current manifest again. */
  reset (): void {
    this.#revision = null
  }

  /** Fetches the parts with the given digests; parts that cannot be read are missing in the result. */
  async fetchParts (digests: string[]): Promise<Map<string, string>> {
    const { service, scope, timing } = this.#options
    if (digests.length === 0) return new Map()
    return await scope.run('reading parts', timing.fetchTimeoutMs, progress => fetchParts(service, digests, progress))
  }

  async #readManifest (): Promise<ManifestWatchResult> {
    const { service, scope, timing, getRandom } = this.#options
    const listed = await scope.run('reading the manifest', timing.readTimeoutMs, progress =>
      retryCall(() => service.list(MANIFEST_KEY, progress), progress, { isRetriable: isRateLimited, getRandom }))
    if (listed.isErr) return this.#fail(describeServiceError(listed.error))
    this.#revision = listed.value.revision
    return { kind: 'advanced', manifest: selectNewestManifest(listed.value.objects) }
  }

  async #watchManifest (revision: number): Promise<ManifestWatchResult> {
    const { service, scope, timing, getRandom } = this.#options
    await waitFor(this.#nextWatchDelayMs, scope.signal)
    const waitMs = timing.watchMs * (MIN_WATCH_FRACTION + (1 - MIN_WATCH_FRACTION) * getRandom())
    const batch = await scope.run('watching the manifest', waitMs + timing.watchGraceMs, progress =>
      retryCall(() => service.watch(MANIFEST_KEY, revision, waitMs, progress), progress, { isRetriable: isRateLimited, getRandom }))
    if (batch.isErr) return this.#fail(describeServiceError(batch.error))
    this.#revision = batch.value.revision
    const puts = batch.value.events.flatMap(event => event.kind === 'put' ? [event.object] : [])
    this.#nextWatchDelayMs = puts.length > 0 ? timing.watchJitterMs * getRandom() : 0
    return { kind: 'advanced', manifest: selectNewestManifest(puts) }
  }

  #fail (message: string): ManifestWatchResult {
    this.reset()
    return { kind: 'failed', message }
  }
}

function selectNewestManifest (objects: StoredObject[]): Manifest | null {
  const manifests = objects.filter(object => object.key === MANIFEST_KEY).flatMap(object => parseManifest(object.value) ?? [])
  return manifests.sort((one, other) => other.generation - one.generation)[0] ?? null
}
