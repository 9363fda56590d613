import { chan, go, putAsync, take } from 'js-csp'

import { ConfigAssembler, formatAssemblyFaults } from '../config/configAssembler'

import type { Channel, Process } from 'js-csp'
import type { Logger } from 'tslog'

import type { Clock } from '../base/clock'
import type { FleetConfig } from '../config/fleetConfig'
import type { Manifest } from '../config/manifest'
import type { ConfigBundle, ConfigHolder } from './peerConfig'

/** What became of a bundle: it is in force, or why not. */
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
 * Owns the configuration in force. Its process is the only one that changes it, and takes only a
 * higher generation whose parts are all there and right.
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

  /** Takes no further bundles; the configuration in force stays. */
  stop (): void {
    this.#submissions.close()
  }

  getConfig (): FleetConfig | null {
    return this.#config
  }

  getManifest (): Manifest | null {
    return this.#manifest
  }

  /** Gets the generation in force; 0 before the first. */
  getGeneration (): number {
    return this.#manifest?.generation ?? 0
  }

  getPartText (digest: string): string | null {
    return this.#assembler.getText(digest)
  }

  getState (): OwnedConfigState {
    return { ...this.#state }
  }

  /** Lists the digests of a manifest that are neither held nor in the manifest itself. */
  listMissing (manifest: Manifest): string[] {
    return this.#assembler.listMissing(manifest)
  }

  /** Calls `listener` with each configuration that comes in force; returns the function that ends this. */
  watch (listener: (config: FleetConfig) => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Hands a bundle to the owner's process and waits for what becomes of it. */
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
      const message = `generation ${manifest.generation} from ${source}: ${formatAssemblyFaults(config.error)}`
      this.#logger.warn('a configuration was not adopted', { message })
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
    this.#logger.info('a configuration came in force', { generation, source })
  }

  #notifyListeners (config: FleetConfig): void {
    for (const listener of [...this.#listeners]) {
      try {
        listener(config)
      } catch (error) {
        this.#logger.error('a listener for the configuration failed', error)
      }
    }
  }
}
