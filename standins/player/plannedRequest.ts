import { generateAnswer, hashChatRequest } from '../engine/generateAnswer'
import { generateServiceAnswer, hashServiceCall } from '../service/generateServiceAnswer'

import type { ServiceCall } from '../service/generateServiceAnswer'

/** Body of a chat request as a caller writes it. */
export interface ChatCallBody {
  model: string
  messages: Array<{ role: string, content: string }>
  max_tokens: number
  stream: boolean
}

/** What a caller asks for. */
export type PlannedCall =
  | { kind: 'chat', body: ChatCallBody }
  | { kind: 'service', service: string, call: ServiceCall }

/** One request of a plan; it is sent `atMs` after the plan's start. */
export interface PlannedRequest {
  id: string
  atMs: number
  /** Position of the gateway that receives its first send. */
  gateway: number
  workspace: string
  apiKey: string
  className: string
  idempotent: boolean
  idempotencyKey?: string
  call: PlannedCall
}

/** Digest under which the stand-ins record runs of `request`. */
export function hashPlannedRequest (request: PlannedRequest): string {
  switch (request.call.kind) {
    case 'chat': return hashChatRequest(request.call.body)
    case 'service': return hashServiceCall(request.call.call)
  }
}

/** The only right answer to `request`. */
export function generateExpectedAnswer (request: PlannedRequest): string {
  switch (request.call.kind) {
    case 'chat': return generateAnswer(request.call.body).join('')
    case 'service': return generateServiceAnswer(request.call.call)
  }
}
