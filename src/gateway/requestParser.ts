import { createHash } from 'node:crypto'

import { err, ok } from 'true-myth/result'
import * as z from 'zod'

import type { Result } from 'true-myth'
import type { FleetConfig } from '../config/fleetConfig'
import type { AttemptTarget } from '../protocol/attemptMessages'
import type { Refusal } from '../protocol/errorBody'

const MAX_JSON_DEPTH = 100
const MAX_REPORTED_ISSUES = 5
const MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]+$/

const chatBodySchema = z.looseObject({
  model: z.string().min(1).max(200),
  messages: z.array(z.looseObject({ role: z.string().min(1).max(50) })).min(1),
  stream: z.boolean().nullish(),
  n: z.literal(1, { error: 'only one answer a request is given' }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish()
})

/** A validated chat completion request. */
export interface ChatRequest {
  target: AttemptTarget & { kind: 'chat' }
  stream: boolean
}

/**
 * Parses the body of a chat completion request. Fields that the router does not use pass through
 * unchecked.
 *
 * @example
 * parseChatBody(Buffer.from('{"model":"m","messages":[{"role":"user","content":"hi"}]}'), config)
 */
export function parseChatBody (bytes: Buffer, config: FleetConfig): Result<ChatRequest, Refusal> {
  const json = parseJson(bytes)
  if (json.isErr) return err(json.error)
  const parsed = chatBodySchema.safeParse(json.value)
  if (!parsed.success) return err(createRefusal('invalid_request', describeIssues(parsed.error)))
  const { model, stream } = parsed.data
  if (!config.models.has(model)) return err(createRefusal('model_not_found', `There is no model '${model}'; GET /v1/models lists them.`))
  const body = json.value as Record<string, unknown>
  delete body.resume
  return ok({ target: { kind: 'chat', model, body }, stream: stream ?? false })
}

/**
 * Checks the value of an `Idempotency-Key` header.
 *
 * @example
 * parseIdempotencyKey('order-42') // ok
 */
export function parseIdempotencyKey (value: string | undefined): Result<string | undefined, Refusal> {
  if (value === undefined) return ok(undefined)
  if (value.length <= MAX_IDEMPOTENCY_KEY_CHARACTERS && IDEMPOTENCY_KEY_PATTERN.test(value)) return ok(value)
  return err(createRefusal('invalid_header', `Idempotency-Key must be 1 to ${MAX_IDEMPOTENCY_KEY_CHARACTERS} printable ASCII characters without spaces.`))
}

/**
 * Computes the fingerprint of a request. Equal requests of one workspace have the same fingerprint,
 * whether streamed or not. Requests of different workspaces have different fingerprints.
 *
 * @example
 * computeFingerprint('wonsowicz-lab', target)
 */
export function computeFingerprint (workspace: string, target: AttemptTarget): string {
  const hash = createHash('sha256').update(JSON.stringify([workspace, target.kind]))
  switch (target.kind) {
    case 'chat': {
      const { stream, ...body } = target.body
      const fields = Object.entries(body).sort(([a], [b]) => a < b ? -1 : 1)
      return hash.update(JSON.stringify(fields)).digest('hex')
    }
    case 'service':
      return hash.update(JSON.stringify([target.service, target.method, target.path, target.contentType])).update(target.bodyBase64).digest('hex')
  }
}

function parseJson (bytes: Buffer): Result<unknown, Refusal> {
  let value: unknown
  try {
    value = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes))
  } catch {
    return err(createRefusal('invalid_json', 'The body is not JSON in UTF-8.'))
  }
  if (hasDepthAtMost(value, MAX_JSON_DEPTH)) return ok(value)
  return err(createRefusal('invalid_json', `The body is nested deeper than ${MAX_JSON_DEPTH} levels.`))
}

/**
 * Returns whether `value` has at most `maxDepth` levels of nesting. Walks level by level, because
 * recursion would overflow the stack on the values to be rejected.
 */
function hasDepthAtMost (value: unknown, maxDepth: number): boolean {
  let level: unknown[] = [value]
  for (let depth = 0; depth <= maxDepth; depth++) {
    const next: unknown[] = []
    for (const item of level) {
      if (typeof item !== 'object' || item === null) continue
      for (const child of Object.values(item)) if (typeof child === 'object' && child !== null) next.push(child)
    }
    if (next.length === 0) return true
    level = next
  }
  return false
}

function describeIssues (error: z.ZodError): string {
  const issues = error.issues.slice(0, MAX_REPORTED_ISSUES).map(issue => {
    const path = issue.path.map(part => String(part).slice(0, 40)).join('.')
    return path === '' ? issue.message : `${path}: ${issue.message}`
  })
  return `The request does not fit the chat form: ${issues.join('; ')}.`
}

function createRefusal (code: Refusal['code'], message: string): Refusal {
  return { code, message, execution: 'not_run' }
}
