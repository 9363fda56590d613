import { alts, buffers, chan, go, offer, take } from 'js-csp'

import { Backoff } from './backoff'
import { openTimer, toChannel, waitFor } from './channels'
import { ConfigOwner } from './configOwner'
import { DEFAULT_FOLLOWER_TIMING } from './followerTiming'
import { KnownPeers } from './knownPeers'
import { ManifestWatcher } from './manifestWatcher'
import { OperationScope } from './operationScope'

import type { Channel, Process } from 'js-csp'
import type { Logger } from 'tslog'

import type { Clock } from '../base/clock'
import type { Progress } from '../base/progress'
import type { ConfigSource } from '../config/configSource'
import type { FleetConfig } from '../config/fleetConfig'
import type { Manifest } from '../config/manifest'
import type { OwnedConfigState } from './configOwner'
import type { FollowerTiming } from './followerTiming'
import type { ObjectService } from './objectService'
import type { ConfigHolder, OfferAnswer, OfferConfigParams, PeerConfigError, PeerConfigSource } from './peerConfig'

export interface ConfigFollowerOptions {
  service: ObjectService
  peerSource: PeerConfigSource
  /** `host:port` of peers to query while the platform is unavailable. */
  peers: string[]
  clock: Clock
  /** Returns random numbers from 0 up to 1, for jitter and the choice of peers. */
  getRandom: () => number
  logger: Logger<unknown>
  timing?: Partial<FollowerTiming>
}

/** State of a follower, for the state dump. */
export interface ConfigFollowerState extends OwnedConfigState {
  platformFailuresInRow: number
  lastPlatformFailure: string | null
}

interface GenerationHint {
  generation: number
  address: string
}

type PlatformSyncOutcome =
  | { kind: 'followed' }
  | { kind: 'failed', message: string }

const MAX_PENDING_HINTS = 4
const MAX_LEARNED_PEERS = 8
const PEERS_QUERIED_AT_START = 8
const PEERS_QUERIED_AFTER_START = 1
/**
 * Largest number of missing parts to read from the platform without querying peers first. It bounds the
 * platform's load when many processes start at once.
 */
const MAX_PARTS_FROM_PLATFORM = 16

/**
 * Keeps the accepted configuration of one process up to date. It watches the manifest at the
 * platform, and fetches a higher generation from any peer that reports one. A process never goes
 * back to a lower generation and never applies an incomplete configuration.
 *
 * @example
 * const follower = new ConfigFollower({ service, peerSource, peers, clock, getRandom: Math.random, logger })
 * follower.start()
 * const config = await follower.waitForConfig(progress)
 */
export class ConfigFollower implements ConfigHolder, ConfigSource {
  readonly #options: ConfigFollowerOptions
  readonly #timing: FollowerTiming
  readonly #owner: ConfigOwner
  readonly #scope = new OperationScope()
  readonly #watcher: ManifestWatcher
  readonly #knownPeers: KnownPeers
  readonly #hints: Channel<GenerationHint> = chan(buffers.sliding(MAX_PENDING_HINTS))
  readonly #stopped: Channel<never> = chan()
  #platformFailuresInRow = 0
  #lastPlatformFailure: string | null = null

  constructor (options: ConfigFollowerOptions) {
    const { service, getRandom, clock, logger, peers } = options
    this.#options = options
    this.#timing = { ...DEFAULT_FOLLOWER_TIMING, ...options.timing }
    this.#owner = new ConfigOwner(clock, logger)
    this.#watcher = new ManifestWatcher({ service, scope: this.#scope, timing: this.#timing, getRandom })
    this.#knownPeers = new KnownPeers(peers, getRandom, MAX_LEARNED_PEERS)
  }

  /** Starts to watch the configuration. The first one arrives later; see `waitForConfig`. */
  start (): void {
    const follower = this
    this.#owner.start()
    go(function * () { yield * follower.#runPlatformSync() })
    go(function * () { yield * follower.#runPeerSync() })
  }

  /** Stops watching; the configuration in force stays. */
  stop (): void {
    this.#scope.close()
    this.#stopped.close()
    this.#hints.close()
    this.#owner.stop()
  }

  /** Returns the configuration in force; `null` before the first one. */
  getCurrent (): FleetConfig | null {
    return this.#owner.getConfig()
  }

  /** Returns the generation in force; 0 before the first configuration. */
  getGeneration (): number {
    return this.#owner.getGeneration()
  }

  getManifest (): Manifest | null {
    return this.#owner.getManifest()
  }

  getPartText (digest: string): string | null {
    return this.#owner.getPartText(digest)
  }

  getState (): ConfigFollowerState {
    return {
      ...this.#owner.getState(),
      platformFailuresInRow: this.#platformFailuresInRow,
      lastPlatformFailure: this.#lastPlatformFailure
    }
  }

  /** Calls `listener` with each configuration that comes into force; returns a function that removes the listener. */
  watchConfig (listener: (config: FleetConfig) => void): () => void {
    return this.#owner.watch(listener)
  }

  /**
   * Waits for a configuration of at least `generation`.
   *
   * @throws TimeoutError when none arrives before the deadline of `progress`
   */
  async waitForConfig (progress: Progress, generation = 1): Promise<FleetConfig> {
    let stopWatch = (): void => {}
    const newConfig = new Promise<FleetConfig>(resolve => {
      stopWatch = this.watchConfig(config => { if (config.generation >= generation) resolve(config) })
      const config = this.getCurrent()
      if (config !== null && config.generation >= generation) resolve(config)
    })
    try {
      return await progress.wait(`configuration generation ${generation} from the platform or a peer`, newConfig)
    } finally {
      stopWatch()
    }
  }

  /** Records that the process at `address` has `generation` in force; fetches it from there if it is higher. */
  notifyGeneration (generation: number, address: string): void {
    if (generation <= this.getGeneration() || this.#hints.isClosed()) return
    this.#knownPeers.add(address)
    offer(this.#hints, { generation, address })
  }

  /** Handles an accepted configuration that its publisher offers. */
  async receiveOffer ({ manifest, parts }: OfferConfigParams): Promise<OfferAnswer> {
    const texts = new Map(parts.map(part => [part.digest, part.text]))
    const missing = this.#owner.listMissing(manifest).filter(digest => !texts.has(digest))
    if (missing.length === 0) await this.#owner.submit({ manifest, texts }, 'its publisher')
    return { generation: this.getGeneration(), missing }
  }

  * #runPlatformSync (): Process<void> {
    const backoff = this.#createBackoff()
    while (!this.#scope.signal.aborted) {
      const outcome: PlatformSyncOutcome = yield take(toChannel(this.#syncFromPlatform()))
      this.#recordPlatformOutcome(outcome)
      if (outcome.kind === 'followed') {
        backoff.reset()
        continue
      }
      this.#watcher.reset()
      yield take(toChannel(this.#fetchFromPeers()))
      yield * this.#runBackoff(backoff)
    }
  }

  * #runPeerSync (): Process<void> {
    const backoff = this.#createBackoff()
    while (true) {
      const hint: GenerationHint | null = yield take(this.#hints)
      if (hint === null) return
      if (hint.generation <= this.getGeneration()) continue
      yield take(toChannel(this.#fetchFromPeer(hint.address)))
      if (hint.generation <= this.getGeneration()) backoff.reset()
      else yield * this.#runBackoff(backoff)
    }
  }

  /** Waits for the backoff delay, or until the follower is stopped. */
  * #runBackoff (backoff: Backoff): Process<void> {
    const timer = openTimer(backoff.advance())
    yield alts([this.#stopped, timer.channel])
    timer.stop()
  }

  /** Applies the platform's next update of the manifest. */
  async #syncFromPlatform (): Promise<PlatformSyncOutcome> {
    try {
      return await this.#syncManifest()
    } catch (error) {
      return { kind: 'failed', message: (error as Error).message }
    }
  }

  async #syncManifest (): Promise<PlatformSyncOutcome> {
    const step = await this.#watcher.readNext()
    if (step.kind === 'failed') return step
    const { manifest } = step
    if (manifest === null || manifest.generation <= this.getGeneration()) return { kind: 'followed' }
    const texts = await this.#fetchMissing(manifest)
    const outcome = await this.#owner.submit({ manifest, texts }, 'the platform')
    return outcome.kind === 'refused' ? { kind: 'failed', message: outcome.message } : { kind: 'followed' }
  }

  async #fetchMissing (manifest: Manifest): Promise<Map<string, string>> {
    const missingCount = this.#owner.listMissing(manifest).length
    if (missingCount === 0) return new Map()
    if (missingCount > MAX_PARTS_FROM_PLATFORM) await this.#fetchFromPeers()
    else if (this.getCurrent() !== null) await waitFor(this.#timing.fetchJitterMs * this.#options.getRandom(), this.#scope.signal)
    if (manifest.generation <= this.getGeneration()) return new Map()
    return await this.#watcher.fetchParts(this.#owner.listMissing(manifest))
  }

  async #fetchFromPeers (): Promise<void> {
    const addresses = this.#knownPeers.choose(this.getCurrent() === null ? PEERS_QUERIED_AT_START : PEERS_QUERIED_AFTER_START)
    const generation = this.getGeneration()
    for (const address of addresses) {
      if (this.#scope.signal.aborted || this.getGeneration() > generation) return
      await this.#fetchFromPeer(address)
    }
  }

  async #fetchFromPeer (address: string): Promise<void> {
    const { logger } = this.#options
    try {
      const failure = await this.#fetchBundle(address)
      if (failure !== null) logger.debug('could not fetch the configuration from a peer', failure)
    } catch (error) {
      logger.debug('could not fetch the configuration from a peer', { address, message: (error as Error).message })
    }
  }

  async #fetchBundle (address: string): Promise<PeerConfigError | null> {
    const listMissing = (manifest: Manifest) => this.#owner.listMissing(manifest)
    const bundle = await this.#scope.run(`fetching the configuration from ${address}`, this.#timing.fetchTimeoutMs,
      progress => this.#options.peerSource.fetchConfig(address, this.getGeneration(), listMissing, progress))
    if (bundle.isErr) return bundle.error
    if (bundle.value !== null) await this.#owner.submit(bundle.value, `peer ${address}`)
    return null
  }

  #recordPlatformOutcome (outcome: PlatformSyncOutcome): void {
    if (outcome.kind === 'followed') {
      this.#platformFailuresInRow = 0
      return
    }
    this.#platformFailuresInRow += 1
    this.#lastPlatformFailure = outcome.message
    if (this.#platformFailuresInRow === 1) this.#options.logger.warn('could not read the configuration from the platform; retrying', { message: outcome.message })
  }

  #createBackoff (): Backoff {
    const { minBackoffMs, maxBackoffMs } = this.#timing
    return new Backoff({ baseMs: minBackoffMs, capMs: maxBackoffMs, getRandom: this.#options.getRandom })
  }
}
