import { err, ok } from 'true-myth/result'

import type { IncomingMessage } from 'node:http'
import type { Result } from 'true-myth'
import type { Refusal } from './errorBody'

/** Reason why a body could not be read. `hungUp` means that the caller disconnected, so no answer is needed. */
export type BodyError = { kind: 'refused', refusal: Refusal } | { kind: 'hungUp' }

/**
 * Reads a request body of at most `maxBytes`. Discards the rest of a larger body as it arrives, so
 * that the caller can still read the error response. The server's request timeout bounds this.
 */
export async function readBody (request: IncomingMessage, maxBytes: number): Promise<Result<Buffer, BodyError>> {
  const declared = Number(request.headers['content-length'] ?? 0)
  if (declared > maxBytes) return rejectBody(request, maxBytes)
  return await new Promise(resolve => {
    const parts: Buffer[] = []
    let length = 0
    const handleData = (part: Buffer) => {
      length += part.length
      parts.push(part)
      if (length <= maxBytes) return
      request.off('data', handleData)
      resolve(rejectBody(request, maxBytes))
    }
    request.on('data', handleData)
    request.on('end', () => resolve(ok(parts.length === 1 ? parts[0]! : Buffer.concat(parts))))
    request.on('error', () => resolve(err({ kind: 'hungUp' })))
    request.on('close', () => resolve(err({ kind: 'hungUp' })))
  })
}

function rejectBody (request: IncomingMessage, maxBytes: number): Result<Buffer, BodyError> {
  request.on('error', () => {})
  request.resume()
  const message = `The body is larger than ${maxBytes} bytes.`
  return err({ kind: 'refused', refusal: { code: 'body_too_large', message, execution: 'not_run' } })
}
