import { chan, go, putAsync, take } from 'js-csp'

import { ConfigAssembler, formatAssemblyErrors } from '../config/configAssembler'

import type { Channel, Process } from 'js-csp'
import type { Logger } from 'tslog'

import type { Clock } from '../base/clock'
import type { FleetConfig } from '../config/fleetConfig'
import type { Manifest } from '../config/manifest'
import type { ConfigBundle, ConfigHolder } from './peerConfig'

/** Outcome of a submitted bundle: it is in force, or the reason why not. */
export type AdoptOutcome =
  | { kind: 'adopted', generation: number }
  | { kind: 'notNewer', generation: number }
  | { kind: 'refused', message: string }
  | { kind: 'stopped' }

/** The configuration in force and where it came from, for the state dump. */
export interface OwnedConfigState {
  generation: number
  appliedBy: string | null
  appliedAtMs: number | null
  adoptedAtMs: number | null
  /** Where the configuration in force came from. */
  source: string | null
  partCount: number
}

interface Submission {
  bundle: ConfigBundle
  source: string
  reply: (outcome: AdoptOutcome) => void
}

const MAX_PENDING_BUNDLES = 4
const EMPTY_STATE: OwnedConfigState = { generation: 0, appliedBy: null, appliedAtMs: null, adoptedAtMs: null, source: null, partCount: 0 }

/**
 * Owns the configuration in force. All changes run in one csp process, one after another. It adopts
 * only a higher generation whose parts are complete and valid.
 *
 * @example
 * const owner = new ConfigOwner(systemClock, logger)
 * owner.start()
 * const outcome = await owner.submit({ manifest, texts }, 'the platform')
 */
export class ConfigOwner implements ConfigHolder {
  readonly #clock: Clock
  readonly #logger: Logger<unknown>
  readonly #assembler = new ConfigAssembler()
  readonly #submissions: Channel<Submission> = chan(MAX_PENDING_BUNDLES)
  readonly #listeners = new Set<(config: FleetConfig) => void>()
  #config: FleetConfig | null = null
  #manifest: Manifest | null = null
  #state = EMPTY_STATE

  constructor (clock: Clock, logger: Logger<unknown>) {
    this.#clock = clock
    this.#logger = logger
  }

  start (): void {
    const owner = this
    go(function * () { yield * owner.#run() })
  }

  /** Accepts no further bundles; the configuration in force stays. */
  stop (): void {
    this.#submissions.close()
  }

  getConfig (): FleetConfig | null {
    return this.#config
  }

  getManifest (): Manifest | null {
    return this.#manifest
  }

  /** Returns the generation in force; 0 before the first configuration. */
  getGeneration (): number {
    return this.#manifest?.generation ?? 0
  }

  getPartText (digest: string): string | null {
    return this.#assembler.getPartText(digest)
  }

  getState (): OwnedConfigState {
    return { ...this.#state }
  }

  /** Lists the digests of a manifest whose parts are neither stored here nor inline in the manifest. */
  listMissing (manifest: Manifest): string[] {
    return this.#assembler.listMissingDigests(manifest)
  }

  /** Calls `listener` with each configuration that comes into force; returns a function that removes the listener. */
  watch (listener: (config: FleetConfig) => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Submits a bundle to the owner's csp process and waits for the outcome. */
  async submit (bundle: ConfigBundle, source: string): Promise<AdoptOutcome> {
    return await new Promise(resolve => {
      if (this.#submissions.isClosed()) return resolve({ kind: 'stopped' })
      const submission: Submission = { bundle, source, reply: resolve }
      putAsync(this.#submissions, submission, accepted => { if (!accepted) resolve({ kind: 'stopped' }) })
    })
  }

  * #run (): Process<void> {
    while (true) {
      const submission: Submission | null = yield take(this.#submissions)
      if (submission === null) return
      submission.reply(this.#adopt(submission))
    }
  }

  #adopt ({ bundle, source }: Submission): AdoptOutcome {
    const { manifest, texts } = bundle
    const generation = this.getGeneration()
    if (manifest.generation <= generation) return { kind: 'notNewer', generation }
    const config = this.#assembler.build(manifest, texts)
    if (config.isErr) {
      const message = `generation ${manifest.generation} from ${source}: ${formatAssemblyErrors(config.error)}`
      this.#logger.warn('rejected an invalid configuration', { message })
      return { kind: 'refused', message }
    }
    this.#config = config.value
    this.#manifest = manifest
    this.#recordAdoption(manifest, source)
    this.#notifyListeners(config.value)
    return { kind: 'adopted', generation: manifest.generation }
  }

  #recordAdoption (manifest: Manifest, source: string): void {
    const { generation, appliedBy, appliedAtMs, parts } = manifest
    this.#state = { generation, appliedBy, appliedAtMs, adoptedAtMs: this.#clock.getWallMs(), source, partCount: parts.length }
    this.#logger.info('a new configuration is in force', { generation, source })
  }

  #notifyListeners (config: FleetConfig): void {
    for (const listener of [...this.#listeners]) {
      try {
        listener(config)
      } catch (error) {
        this.#logger.error('a configuration listener failed', error)
      }
    }
  }
}
