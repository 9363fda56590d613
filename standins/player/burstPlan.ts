import { generateAnswer } from '../engine/generateAnswer'

import type { FleetConfig, Workspace } from '../../src/config/fleetConfig'
import type { ClassProfile } from './deploymentProfiles'
import type { PlannedCall, PlannedRequest } from './plannedRequest'

const PEAK_FRACTION = 0.4
const WITHOUT_KEY_FRACTION = 0.2
const STREAM_FRACTION = 0.85
const SHARED_PROMPT_WORDS = 160

export interface BurstPlanOptions {
  config: Pick<FleetConfig, 'workspaces'>
  profiles: ClassProfile[]
  random: () => number
  durationMs: number
  /** Minimum total tokens of all answers of the plan. */
  tokens: number
  /** Minimum number of requests in the plan. */
  minRequests?: number
  gatewayCount: number
  /** Prefix of each request identifier. */
  idPrefix?: string
}

/**
 * Builds the requests of a lunch burst, sorted by time. The request rate peaks in the middle of the burst.
 *
 * @example
 * buildBurstPlan({ config, profiles: CLASS_PROFILES.spunform, random, durationMs: 20_000, tokens: 50_000, gatewayCount: 3 })
 */
export function buildBurstPlan (options: BurstPlanOptions): PlannedRequest[] {
  const plan: PlannedRequest[] = []
  for (let tokens = 0; tokens < options.tokens || plan.length < (options.minRequests ?? 0);) {
    const request = buildRequest(plan.length, options)
    if (request.call.kind === 'chat') tokens += generateAnswer(request.call.body).length
    plan.push(request)
  }
  return plan.sort((left, right) => left.atMs - right.atMs)
}

function buildRequest (position: number, options: BurstPlanOptions): PlannedRequest {
  const { random } = options
  const profile = sampleWeighted(options.profiles, random, candidate => candidate.weight)
  const workspace = sampleWorkspace(profile.className, options)
  const id = `${options.idPrefix ?? 'burst'}-${position}`
  const idempotent = profile.call.kind === 'chat' || profile.call.idempotent
  const hasKey = !idempotent && random() >= WITHOUT_KEY_FRACTION
  return {
    id,
    atMs: sampleArrivalMs(options.durationMs, random),
    gateway: Math.floor(random() * options.gatewayCount),
    workspace: workspace.name,
    apiKey: `example-key-${workspace.name}`,
    className: profile.className,
    idempotent,
    ...(hasKey ? { idempotencyKey: `key-${id}` } : {}),
    call: buildCall(id, workspace, profile, random)
  }
}

function buildCall (id: string, workspace: Workspace, profile: ClassProfile, random: () => number): PlannedCall {
  const { call } = profile
  switch (call.kind) {
    case 'chat': {
      const shared = Array.from({ length: SHARED_PROMPT_WORDS }, (_, word) => `${workspace.name}${word}`).join(' ')
      const messages = [
        { role: 'system', content: `${profile.className} ${shared}` },
        { role: 'user', content: `question ${id}` }
      ]
      return { kind: 'chat', body: { model: call.model, messages, max_tokens: call.maxTokens, stream: random() < STREAM_FRACTION } }
    }
    case 'service': {
      const isRead = call.method === 'GET'
      const path = isRead ? `${call.path}/${id}` : call.path
      return { kind: 'service', service: call.service, call: { method: call.method, path, body: isRead ? '' : JSON.stringify({ id }) } }
    }
  }
}

function sampleWorkspace (className: string, options: BurstPlanOptions): Workspace {
  const allowed = [...options.config.workspaces.values()].filter(workspace => workspace.classes.includes(className))
  if (allowed.length === 0) throw new Error(`no workspace may use class '${className}'; change the class profile or the configuration folder`)
  return sampleWeighted(allowed, options.random, workspace => workspace.requestsPerSecond)
}

function sampleArrivalMs (durationMs: number, random: () => number): number {
  const isPeak = random() < PEAK_FRACTION
  return durationMs * (isPeak ? (random() + random()) / 2 : random())
}

function sampleWeighted<T> (values: T[], random: () => number, getWeight: (value: T) => number): T {
  const total = values.reduce((sum, value) => sum + getWeight(value), 0)
  let remaining = random() * total
  for (const value of values) {
    remaining -= getWeight(value)
    if (remaining < 0) return value
  }
  return values.at(-1)!
}
