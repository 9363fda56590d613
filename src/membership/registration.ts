import { createId } from '../base/identifiers'
import { Progress } from '../base/progress'
import { Backoff } from '../store/backoff'
import { BackgroundTask } from '../store/backgroundTask'
import { toGatewayKey, toSidecarKey } from './membershipRecords'

import type { RegistrationRecord } from './membershipRecords'
import type { ObjectService, StoredObject } from '../store/objectService'

export interface RegistrationOptions {
  service: ObjectService
  /** Registration of this process. `endpointName` is null for a gateway. */
  instance: Omit<RegistrationRecord, 'writeId'>
  getRandom?: () => number
  onError?: (error: unknown) => void
}

const WRITE_TIMEOUT_MS = 3_000
const BACKOFF_BASE_MS = 200
const BACKOFF_CAP_MS = 10_000
const REGISTERED_DELAY_MS = 3_600_000

/**
 * Writes this process's registration once, in the background, with retries during outages. Removes it
 * at a graceful stop, unless another process has replaced it.
 *
 * @example
 * const registration = new Registration({ service, instance })
 * registration.start()
 * await registration.stop(new Progress({ title: 'leaving', timeoutMs: 2_000 }))
 */
export class Registration {
  readonly #options: RegistrationOptions
  readonly #key: string
  readonly #value: RegistrationRecord
  readonly #backoff: Backoff
  readonly #task: BackgroundTask
  #version: number | null = null

  constructor (options: RegistrationOptions) {
    const { instance, getRandom, onError } = options
    this.#options = options
    this.#key = instance.endpointName === null ? toGatewayKey(instance.instanceId) : toSidecarKey(instance.endpointName)
    this.#value = { ...instance, writeId: createId('write') }
    this.#backoff = new Backoff({ baseMs: BACKOFF_BASE_MS, capMs: BACKOFF_CAP_MS, getRandom })
    this.#task = new BackgroundTask({ runStep: async signal => await this.#register(signal), onError })
  }

  /** Starts writing the registration. Retries with back-off until the write has succeeded. */
  start (): void {
    this.#task.start()
  }

  /** Returns the version of the registration; null until the write is confirmed. */
  getVersion (): number | null {
    return this.#version
  }

  /** Stops writing and removes the registration if it still belongs to this process. */
  async stop (progress: Progress): Promise<void> {
    await this.#task.stop()
    const current = await this.#options.service.get(this.#key, progress)
    if (current.isErr || !this.#isOwn(current.value)) return
    await this.#options.service.delete(this.#key, current.value.version, progress)
    this.#version = null
  }

  async #register (signal: AbortSignal): Promise<number> {
    if (this.#version !== null) return REGISTERED_DELAY_MS
    const { service } = this.#options
    const progress = new Progress({ title: `registering as ${this.#key}`, timeoutMs: WRITE_TIMEOUT_MS, signal })
    const current = await service.get(this.#key, progress)
    if (current.isErr) return this.#backoff.advance()
    if (this.#isOwn(current.value)) return this.#recordRegistered(current.value.version)
    const result = await service.put(this.#key, this.#value, toPutCondition(current.value), progress)
    return result.isOk ? this.#recordRegistered(result.value.version) : this.#backoff.advance()
  }

  #recordRegistered (version: number): number {
    this.#version = version
    return REGISTERED_DELAY_MS
  }

  #isOwn (object: StoredObject | null): object is StoredObject {
    return (object?.value as Partial<RegistrationRecord> | undefined)?.writeId === this.#value.writeId
  }
}

function toPutCondition (current: StoredObject | null) {
  return current === null ? { kind: 'absent' } as const : { kind: 'version', version: current.version } as const
}
