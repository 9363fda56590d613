import { Result } from 'true-myth'
import * as z from 'zod'

import { manifestSchema } from '../config/manifest'

import type { Progress } from '../base/progress'
import type { Manifest } from '../config/manifest'

/** A manifest and texts of its parts by digest. Parts that the receiver already has may be absent. */
export interface ConfigBundle {
  manifest: Manifest
  texts: ReadonlyMap<string, string>
}

/** Calls a JSON-RPC method of the process at `address` and resolves to its result; rejects on failure. */
export type PeerCaller = (address: string, method: string, params: unknown, progress: Progress) => Promise<unknown>

/** Provides the configuration that a process serves to its peers. */
export interface ConfigHolder {
  getManifest (): Manifest | null
  getPartText (digest: string): string | null
}

/** Fetches the configuration from peers, for a process whose generation is outdated. */
export interface PeerConfigSource {
  /** Fetches a configuration newer than `haveGeneration`; returns `null` when the peer has none. */
  fetchConfig (address: string, haveGeneration: number, listMissing: (manifest: Manifest) => string[], progress: Progress): Promise<Result<ConfigBundle | null, PeerConfigError>>
}

export type PeerConfigError =
  | { kind: 'peerUnavailable', address: string, message: string }
  | { kind: 'malformedAnswer', address: string, message: string }
  | { kind: 'incompleteAnswer', address: string, missingParts: number }

/** JSON-RPC method by which a process requests the configuration from a peer. */
export const GET_CONFIG_METHOD = 'getConfig'
/** JSON-RPC method by which a publisher offers an accepted configuration to a process. */
export const OFFER_CONFIG_METHOD = 'offerConfig'
/** Largest total length of the part texts in one message, in UTF-16 units. A single part may be longer. */
export const MAX_MESSAGE_TEXT_LENGTH = 700_000

const MAX_FETCH_ROUNDS = 64
const partsSchema = z.array(z.object({ digest: z.string().max(100), text: z.string() })).max(4_000)

/** Parameters of `getConfig`. */
export const getConfigSchema = z.object({
  haveGeneration: z.number().int().nonnegative(),
  /** Digests of the parts that the response should contain. */
  wantParts: z.array(z.string().max(100)).max(4_000)
})
export type GetConfigParams = z.infer<typeof getConfigSchema>

/** Result of `getConfig`. */
export const configAnswerSchema = z.object({
  generation: z.number().int().nonnegative(),
  /** The peer's manifest, if it is newer than `haveGeneration`. */
  manifest: manifestSchema.nullable(),
  /** The requested parts that the peer has, as many as fit into one message. */
  parts: partsSchema
})
export type ConfigAnswer = z.infer<typeof configAnswerSchema>

/** Parameters of `offerConfig`. */
export const offerConfigSchema = z.object({ manifest: manifestSchema, parts: partsSchema })
export type OfferConfigParams = z.infer<typeof offerConfigSchema>

/** Result of `offerConfig`: the generation in force afterwards, and the digests of the missing parts. */
export const offerAnswerSchema = z.object({ generation: z.number().int().nonnegative(), missing: z.array(z.string()) })
export type OfferAnswer = z.infer<typeof offerAnswerSchema>

/**
 * Creates the response to a peer's `getConfig` call.
 *
 * @example
 * rpc.register(GET_CONFIG_METHOD, async params => createConfigAnswer(follower, getConfigSchema.parse(params)))
 */
export function createConfigAnswer (holder: ConfigHolder, params: GetConfigParams): ConfigAnswer {
  const manifest = holder.getManifest()
  const generation = manifest?.generation ?? 0
  return {
    generation,
    manifest: generation > params.haveGeneration ? manifest : null,
    parts: selectParts(holder, params.wantParts)
  }
}

/** Fetches the configuration from peers by JSON-RPC. */
export class RpcPeerConfigSource implements PeerConfigSource {
  readonly #callPeer: PeerCaller

  constructor (callPeer: PeerCaller) {
    this.#callPeer = callPeer
  }

  async fetchConfig (address: string, haveGeneration: number, listMissing: (manifest: Manifest) => string[], progress: Progress): Promise<Result<ConfigBundle | null, PeerConfigError>> {
    const texts = new Map<string, string>()
    let manifest: Manifest | null = null
    let missing: string[] = []
    for (let round = 0; round < MAX_FETCH_ROUNDS; round++) {
      const answer = await this.#fetchAnswer(address, { haveGeneration: manifest?.generation ?? haveGeneration, wantParts: missing }, progress)
      if (answer.isErr) return Result.err(answer.error)
      const textCountBefore = texts.size
      for (const part of answer.value.parts) texts.set(part.digest, part.text)
      const isNewer = answer.value.manifest !== null
      manifest = answer.value.manifest ?? manifest
      if (manifest === null) return Result.ok(null)
      missing = listMissing(manifest).filter(digest => !texts.has(digest))
      if (missing.length === 0) return Result.ok({ manifest, texts })
      if (!isNewer && texts.size === textCountBefore) break
    }
    return Result.err({ kind: 'incompleteAnswer', address, missingParts: missing.length })
  }

  async #fetchAnswer (address: string, params: GetConfigParams, progress: Progress): Promise<Result<ConfigAnswer, PeerConfigError>> {
    try {
      const answer = await progress.wait(`the configuration from ${address}`, this.#callPeer(address, GET_CONFIG_METHOD, params, progress))
      const parsed = configAnswerSchema.safeParse(answer)
      if (parsed.success) return Result.ok(parsed.data)
      return Result.err({ kind: 'malformedAnswer', address, message: 'the response to getConfig is invalid' })
    } catch (error) {
      return Result.err({ kind: 'peerUnavailable', address, message: (error as Error).message })
    }
  }
}

function selectParts (holder: ConfigHolder, digests: string[]): ConfigAnswer['parts'] {
  const parts: ConfigAnswer['parts'] = []
  let size = 0
  for (const digest of digests) {
    const text = holder.getPartText(digest)
    if (text === null) continue
    size += text.length
    if (parts.length > 0 && size > MAX_MESSAGE_TEXT_LENGTH) break
    parts.push({ digest, text })
  }
  return parts
}
