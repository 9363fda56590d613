import { err, ok } from 'true-myth/result'

import { isIdempotentCall } from './classifier'
import { CompletionAnswer } from './completionAnswer'
import { computeFingerprint, parseChatBody, parseIdempotencyKey } from './requestParser'
import { ServiceAnswer } from './serviceAnswer'
import { parseServicePath, SERVICES_PREFIX } from './servicePath'
import { StreamAnswer } from './streamAnswer'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Result } from 'true-myth'
import type { Clock } from '../base/clock'
import type { FleetConfig, ServiceClass, Workspace } from '../config/fleetConfig'
import type { CallerAnswer } from './callerAnswer'
import type { CallerRequest } from './callerRequest'
import type { Refusal } from '../protocol/errorBody'

const MAX_CONTENT_TYPE_CHARACTERS = 200
const MAX_METHOD_CHARACTERS = 20
const MS_PER_SECOND = 1000

/** A request of an authenticated, admitted caller whose body has arrived. */
export interface ReceivedRequest {
  requestId: string
  request: IncomingMessage
  body: Buffer
  config: FleetConfig
  workspace: Workspace
  serviceClass: ServiceClass
  arrivedAtMs: number
}

/** Builds the caller's request from the received HTTP request, or a refusal that says what is wrong with it. */
export function buildCallerRequest (received: ReceivedRequest): Result<CallerRequest, Refusal> {
  const key = parseIdempotencyKey(received.request.headers['idempotency-key'] as string | undefined)
  if (key.isErr) return err(key.error)
  const content = received.request.url?.startsWith(SERVICES_PREFIX) ? buildServiceContent(received) : buildChatContent(received)
  if (content.isErr) return err(content.error)
  const { requestId, workspace, serviceClass, arrivedAtMs } = received
  const fingerprint = computeFingerprint(workspace.name, content.value.target)
  return ok({ requestId, workspace, serviceClass, arrivedAtMs, fingerprint, idempotencyKey: key.value, ...content.value })
}

/** Creates the answer in the form that the request asks for. */
export function createAnswer (request: CallerRequest, response: ServerResponse, clock: Clock): CallerAnswer {
  const { requestId, target } = request
  if (target.kind === 'service') return new ServiceAnswer({ requestId, response })
  const createdSeconds = Math.floor(clock.getWallMs() / MS_PER_SECOND)
  const options = { requestId, response, model: target.model, createdSeconds }
  return request.stream ? new StreamAnswer(options) : new CompletionAnswer(options)
}

type Content = Pick<CallerRequest, 'target' | 'idempotent' | 'stream'>

function buildChatContent (received: ReceivedRequest): Result<Content, Refusal> {
  return parseChatBody(received.body, received.config).map(chat => ({ ...chat, idempotent: true }))
}

function buildServiceContent (received: ReceivedRequest): Result<Content, Refusal> {
  const parsed = parseServicePath(received.request.url ?? '')
  if (parsed.isErr) return err(parsed.error)
  const { service: name, path, pathWithQuery } = parsed.value
  const service = received.config.services.get(name)
  if (service === undefined) return err(createRefusal('service_not_found', `There is no service '${name.slice(0, 100)}'.`))
  const method = received.request.method ?? ''
  if (method.length > MAX_METHOD_CHARACTERS) return err(createRefusal('method_not_allowed', 'The method is not known.'))
  const contentType = received.request.headers['content-type'] ?? ''
  if (contentType.length > MAX_CONTENT_TYPE_CHARACTERS) return err(createRefusal('invalid_header', 'Content-Type is too long.'))
  const bodyBase64 = received.body.toString('base64')
  return ok({
    target: { kind: 'service', service: name, method, path: pathWithQuery, contentType, bodyBase64 },
    idempotent: isIdempotentCall(service, method, path),
    stream: false
  })
}

function createRefusal (code: Refusal['code'], message: string): Refusal {
  return { code, message, execution: 'not_run' }
}
