import { buildDirectEndpoint } from '../../src/policy/directEndpoint'
import { UNLIMITED } from '../../src/policy/sendPermits'

import type { DirectChoiceRequest, DirectChooserOptions } from '../../src/policy/directChooser'
import type { DirectEndpoint, EndpointEntry } from '../../src/policy/directEndpoint'

/** Builds an entry of the endpoint list. */
export function buildEntry (id: string, overrides: Partial<EndpointEntry> = {}): EndpointEntry {
  return { id, service: 'engines', address: '127.0.0.1:1', domain: 'domain-a', version: 'v1', slots: 64, state: 'ready', bornAtMs: 1, ...overrides }
}

/** Builds a gateway's view of an endpoint. */
export function buildEndpoint (id: string, overrides: Partial<DirectEndpoint> = {}): DirectEndpoint {
  return { ...buildDirectEndpoint(buildEntry(id)), ...overrides }
}

/** Builds the request properties that the endpoint choice depends on. */
export function buildChoiceRequest (overrides: Partial<DirectChoiceRequest> = {}): DirectChoiceRequest {
  return { service: 'engines', promptParts: [], size: 'heavy', ...overrides }
}

/** Builds the options of one endpoint choice. */
export function buildChooserOptions (overrides: Partial<DirectChooserOptions> = {}): DirectChooserOptions {
  return { excludedIds: new Set(), homeEndpoints: [], transferTokensPerMs: null, reservedIds: new Set(), queuedTokens: new Map(), getPeerLoad: () => ({ inFlight: 0, pendingTokens: 0, heardAtMs: -Infinity, permittedSends: 0 }), getPermit: () => UNLIMITED, maxInFlight: Infinity, meanUniqueTokens: 0, isLate: false, prefersCapacity: false, nowMs: 0, random: () => 0, ...overrides }
}
