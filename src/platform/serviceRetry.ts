import { Result } from 'true-myth'

import type { Progress } from '../base/progress'
import type { ObjectServiceError } from './objectService'

/**
 * Runs `call` again for as long as the object service answers that its rate limit is reached and
 * the deadline of `progress` allows the wait that the service asks for.
 *
 * @example
 * const object = await retryRateLimited(() => service.get(MANIFEST_KEY, progress), progress)
 */
export async function retryRateLimited<T> (call: () => Promise<Result<T, ObjectServiceError>>, progress: Progress): Promise<Result<T, ObjectServiceError>> {
  while (true) {
    const result = await call()
    if (result.isOk || result.error.kind !== 'rateLimited') return result
    const waitMs = result.error.retryAfterMs
    if (progress.signal.aborted || progress.getRemainingMs() <= waitMs) return result
    progress.log(`the rate limit is reached; waiting ${waitMs} ms`)
    await waitMilliseconds(waitMs, progress.signal)
  }
}

/** Runs `task` over all items, at most `limit` at once; results keep the order of the items. */
export async function runBounded<Item, Value> (items: Item[], limit: number, task: (item: Item) => Promise<Value>): Promise<Value[]> {
  const values: Value[] = []
  let next = 0
  const runWorker = async (): Promise<void> => {
    while (next < items.length) {
      const index = next++
      values[index] = await task(items[index] as Item)
    }
  }
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, runWorker))
  return values
}

/** Formats an error of the object service for a log line or a message. */
export function formatServiceError (error: ObjectServiceError): string {
  switch (error.kind) {
    case 'conflict': return 'the object was changed by another writer'
    case 'rateLimited': return `the rate limit is reached; retry after ${error.retryAfterMs} ms`
    case 'unavailable': return error.message
    case 'unknownOutcome': return error.message
  }
}

/** Waits; an abort ends the wait early. */
export async function waitMilliseconds (milliseconds: number, signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise<void>(resolve => {
    const handleEnd = (): void => {
      clearTimeout(timer)
      signal.removeEventListener('abort', handleEnd)
      resolve()
    }
    const timer = setTimeout(handleEnd, milliseconds)
    signal.addEventListener('abort', handleEnd, { once: true })
  })
}
