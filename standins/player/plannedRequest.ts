import { generateAnswer, hashChatRequest } from '../engine/generateAnswer'
import { generateServiceAnswer, hashServiceCall } from '../service/generateServiceAnswer'

import type { ServiceCall } from '../service/generateServiceAnswer'

/** Body of a chat request from a caller. */
export interface ChatCallBody {
  model: string
  messages: Array<{ role: string, content: string }>
  max_tokens: number
  stream: boolean
}

/** Call that a caller makes. */
export type PlannedCall =
  | { kind: 'chat', body: ChatCallBody }
  | { kind: 'service', service: string, call: ServiceCall }

/** One request of a plan, sent `atMs` milliseconds after the plan's start. */
export interface PlannedRequest {
  id: string
  atMs: number
  /** Index of the gateway that receives the first send. */
  gateway: number
  workspace: string
  apiKey: string
  className: string
  idempotent: boolean
  idempotencyKey?: string
  call: PlannedCall
}

/** Computes the digest with which the stand-ins record runs of `request`. */
export function hashPlannedRequest (request: PlannedRequest): string {
  switch (request.call.kind) {
    case 'chat': return hashChatRequest(request.call.body)
    case 'service': return hashServiceCall(request.call.call)
  }
}

/** Generates the only correct answer to `request`. */
export function generateExpectedAnswer (request: PlannedRequest): string {
  switch (request.call.kind) {
    case 'chat': return generateAnswer(request.call.body).join('')
    case 'service': return generateServiceAnswer(request.call.call)
  }
}
