import { Result } from 'true-myth'

import { MemoryObjectService } from '../fakes/memoryObjectService'

import type { Progress } from '../../src/base/progress'
import type { ObjectServiceError, WriteCondition } from '../../src/store/objectService'

/** What happens to one write. */
export type WriteFate = 'answered' | 'answerLost' | 'writeLost' | 'delayed' | 'refused'

interface DelayedWrite {
  key: string
  value: unknown
  condition: WriteCondition
}

/** A connection whose next writes have chosen fates. Delayed writes arrive when `applyDelayed` is called. */
export class FaultyObjectService extends MemoryObjectService {
  readonly fates: WriteFate[] = []
  readonly #delayed: DelayedWrite[] = []

  override async put (key: string, value: unknown, condition: WriteCondition, progress: Progress): Promise<Result<{ version: number }, ObjectServiceError>> {
    await Promise.resolve()
    if (this.faults.outage) return await super.put(key, value, condition, progress)
    switch (this.fates.shift() ?? 'answered') {
      case 'answered': return await super.put(key, value, condition, progress)
      case 'answerLost':
        await super.put(key, value, condition, progress)
        return createUnknownOutcome()
      case 'writeLost': return createUnknownOutcome()
      case 'delayed':
        this.#delayed.push({ key, value: structuredClone(value), condition })
        return createUnknownOutcome()
      case 'refused': return Result.err({ kind: 'unavailable', message: 'refused' })
    }
  }

  /** Applies the delayed writes. */
  async applyDelayed (progress: Progress): Promise<void> {
    const { outage } = this.faults
    this.faults.outage = false
    for (const { key, value, condition } of this.#delayed.splice(0)) await super.put(key, value, condition, progress)
    this.faults.outage = outage
  }
}

function createUnknownOutcome<T> (): Result<T, ObjectServiceError> {
  return Result.err({ kind: 'unknownOutcome', message: 'no response' })
}
