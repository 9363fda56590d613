import { Progress } from '../base/progress'
import { SharedCall } from '../base/sharedCall'
import { streamOriginsSchema } from '../protocol/streamOriginRecord'
import { BackgroundTask } from '../store/backgroundTask'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { StreamOrigin } from '../policy/streamOrigins'
import type { StreamOriginRecord } from '../protocol/streamOriginRecord'
import type { ObjectService, WriteCondition } from '../store/objectService'

/** A stream that another process reported: service, key of the attempt that began it, version. */
export type ReportedOrigin = Pick<StreamOrigin, 'service' | 'key' | 'version'>

export interface StreamOriginStoreOptions {
  clock: Clock
  service: ObjectService
  log: DecisionLog
  /** Failure domain of this gateway; the gateways of each one write an object of their own. */
  domain: string
  /** Returns whether this gateway writes for those of its failure domain. */
  isWriter: () => boolean
  /** Lists the streams whose version the assignment does not say for certain, the latest last. */
  listOrigins: () => StreamOrigin[]
  mergeOrigins: (origins: ReportedOrigin[]) => void
}

const ORIGINS_PREFIX = 'stream-origins/'
/** Milliseconds between two writes, and so the most that an end of all gateways loses beside the delay of reports. */
const WRITE_INTERVAL_MS = 500
const CALL_TIMEOUT_MS = 600
/** Maximum number of stored streams; the latest are kept. */
const MAX_STORED_ORIGINS = 2000

/**
 * Stores the streams whose version the assignment does not say for certain, so that it is known after all gateways have
 * ended at once. There are such streams only for some seconds after a change of the versions.
 */
export class StreamOriginStore {
  readonly #options: StreamOriginStoreOptions
  readonly #writer: BackgroundTask
  readonly #key: string
  readonly #shared = new SharedCall(async () => await this.#read())
  /** Condition for the next write; null until the stored streams were read. */
  #condition: WriteCondition | null = null
  #writtenAtMs = -Infinity

  constructor (options: StreamOriginStoreOptions) {
    this.#options = options
    this.#key = `${ORIGINS_PREFIX}${encodeURIComponent(options.domain)}`
    this.#writer = new BackgroundTask({ runStep: async signal => await this.#runStep(signal), onError: error => options.log.writeError(error) })
  }

  start (): void {
    this.#writer.start(WRITE_INTERVAL_MS)
  }

  async stop (): Promise<void> {
    await this.#writer.stop()
  }

  /** Reads the stored streams. Returns whether that was possible. */
  async read (): Promise<boolean> {
    return await this.#shared.run()
  }

  async #read (): Promise<boolean> {
    const { service, clock, mergeOrigins } = this.#options
    const listed = await service.list(ORIGINS_PREFIX, new Progress({ title: 'reading the origins of streams', timeoutMs: CALL_TIMEOUT_MS, clock }))
    if (listed.isErr) return false
    const own = listed.value.objects.find(({ key }) => key === this.#key)
    this.#condition = own === undefined ? { kind: 'absent' } : { kind: 'version', version: own.version }
    for (const { value } of listed.value.objects) {
      const stored = streamOriginsSchema.safeParse(value)
      if (stored.success) mergeOrigins(stored.data.streams.flatMap(([service, version, keys]) => keys.map(key => ({ service, version, key }))))
    }
    return true
  }

  async #runStep (signal: AbortSignal): Promise<number> {
    const { service, log, isWriter, listOrigins, clock } = this.#options
    const newest = isWriter() ? listOrigins().at(-1) : undefined
    if (newest === undefined || newest.learnedAtMs <= this.#writtenAtMs) return WRITE_INTERVAL_MS
    // what another gateway stored must not be lost
    if (this.#condition === null && !await this.read()) return WRITE_INTERVAL_MS
    const startedAtMs = clock.getMonotonicMs()
    const origins = listOrigins().slice(-MAX_STORED_ORIGINS)
    const progress = new Progress({ title: 'writing the origins of streams', timeoutMs: CALL_TIMEOUT_MS, signal, clock })
    const written = await service.put(this.#key, buildRecord(origins), this.#condition ?? { kind: 'absent' }, progress)
    this.#condition = written.isOk ? { kind: 'version', version: written.value.version } : null
    if (written.isOk) this.#writtenAtMs = startedAtMs
    log.write('routine', { event: 'streamOriginsWritten', streams: origins.length, outcome: written.isOk ? 'written' : written.error.kind })
    return WRITE_INTERVAL_MS
  }
}

/** Groups streams by service and version. */
export function collectByVersion (origins: readonly ReportedOrigin[]): StreamOriginRecord['streams'] {
  const groups = new Map<string, StreamOriginRecord['streams'][number]>()
  for (const { service, version, key } of origins) {
    const id = JSON.stringify([service, version])
    const group = groups.get(id) ?? [service, version, []]
    group[2].push(key)
    groups.set(id, group)
  }
  return [...groups.values()]
}

function buildRecord (origins: readonly ReportedOrigin[]): StreamOriginRecord {
  return { streams: collectByVersion(origins) }
}
