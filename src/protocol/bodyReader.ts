import { err, ok } from 'true-myth/result'

import { ByteCollector } from './byteCollector'

import type { IncomingMessage } from 'node:http'
import type { Result } from 'true-myth'
import type { Refusal } from './errorBody'

/** Reason why a body could not be read. `hungUp` means that the caller disconnected, so no answer is needed. */
export type BodyError = { kind: 'refused', refusal: Refusal } | { kind: 'hungUp' }

/** Mean bytes of a body's parts below which it is not paused. */
const MIN_PAUSED_PART_BYTES = 512

/** Counts the bytes of a body while it is read and kept. */
export interface BodyAccount {
  /** Counts more bytes. Returns false when reading should pause. */
  add: (bytes: number) => boolean
  /** Records that the caller has sent something, also where that takes no more memory. */
  recordProgress: () => void
  /** Calls `handleRoom` once reading may go on. */
  waitForRoom: (handleRoom: () => void) => void
  /** Refuses the request at once. */
  refuse: () => void
  /** Sets what is called when the body is to be dropped, because its request is refused. */
  setDrop: (handleDrop: () => void) => void
}

/**
 * Reads a request body of at most `maxBytes`. Discards the rest of a larger body as it arrives, so
 * that the caller can still read the error response. The server's request timeout bounds this.
 * With an account, a body is counted as it arrives, and reading pauses while there is no room.
 */
export async function readBody (request: IncomingMessage, maxBytes: number, account: BodyAccount | null = null): Promise<Result<Buffer, BodyError>> {
  const declared = Number(request.headers['content-length'] ?? 0)
  if (declared > maxBytes) return rejectBody(request, maxBytes)
  return await new Promise(resolve => {
    const collector = new ByteCollector()
    let length = 0
    let isKept = true
    let parts = 0
    const drop = (result: Result<Buffer, BodyError>) => {
      isKept = false
      request.off('data', handleData)
      collector.clear()
      resolve(result)
    }
    const handleData = (part: Buffer) => {
      length += part.length
      parts += 1
      if (length > maxBytes) return drop(rejectBody(request, maxBytes))
      const addedBytes = collector.push(part)
      account?.recordProgress()
      if (account === null || addedBytes === 0 || account.add(addedBytes) || !isKept) return
      // a paused stream keeps each part that it has read as a buffer of its own
      if (parts * MIN_PAUSED_PART_BYTES > length) return account.refuse()
      request.pause()
      account.waitForRoom(() => { if (isKept) request.resume() })
    }
    request.on('data', handleData)
    request.on('end', () => { if (isKept) resolve(ok(collector.takeAll())) })
    request.on('error', () => drop(err({ kind: 'hungUp' })))
    request.on('close', () => drop(err({ kind: 'hungUp' })))
    // at once where the request gave way as soon as it was counted
    account?.setDrop(() => {
      drop(err({ kind: 'hungUp' }))
      request.resume()
    })
  })
}

/** Reads a request body and keeps nothing of it, until it ends or exceeds `maxBytes`. */
export async function dropBody (request: IncomingMessage, maxBytes: number): Promise<void> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    request.resume()
    return
  }
  await new Promise<void>(resolve => {
    let length = 0
    request.on('data', (part: Buffer) => {
      length += part.length
      if (length > maxBytes) resolve()
    })
    for (const event of ['end', 'error', 'close']) request.on(event, () => resolve())
  })
}

function rejectBody (request: IncomingMessage, maxBytes: number): Result<Buffer, BodyError> {
  request.on('error', () => {})
  request.resume()
  const message = `The body is larger than ${maxBytes} bytes.`
  return err({ kind: 'refused', refusal: { code: 'body_too_large', message, execution: 'not_run' } })
}
