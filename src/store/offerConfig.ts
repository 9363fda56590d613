import { Result } from 'true-myth'

import { OFFER_CONFIG_METHOD, offerAnswerSchema } from './peerConfig'

import type { Progress } from '../base/progress'
import type { ConfigPart } from '../config/configParts'
import type { Manifest } from '../config/manifest'
import type { OfferAnswer, OfferConfigParams, PeerCaller } from './peerConfig'

/** An accepted configuration as its publisher has it. */
export interface AcceptedConfig {
  manifest: Manifest
  parts: ConfigPart[]
}

export type OfferError =
  | { kind: 'peerUnavailable', message: string }
  | { kind: 'malformedAnswer', message: string }
  /** The peer is missing more parts than fit into one message; it fetches them from the platform. */
  | { kind: 'tooManyParts', missingParts: number }

const MAX_OFFER_TEXT_LENGTH = 4_000_000

/**
 * Offers an accepted configuration to the process at `address`: first the manifest, then the parts
 * that the process is missing. Returns the generation in force there afterwards.
 *
 * @example
 * const generation = await offerConfig(callPeer, '127.0.0.1:7100', publication, progress)
 */
export async function offerConfig (callPeer: PeerCaller, address: string, accepted: AcceptedConfig, progress: Progress): Promise<Result<number, OfferError>> {
  const first = await sendOffer(callPeer, address, { manifest: accepted.manifest, parts: [] }, progress)
  if (first.isErr) return Result.err(first.error)
  if (first.value.missing.length === 0) return Result.ok(first.value.generation)
  const missing = new Set(first.value.missing)
  const parts = accepted.parts.filter(part => missing.has(part.digest)).map(({ digest, text }) => ({ digest, text }))
  const size = parts.reduce((sum, part) => sum + part.text.length, 0)
  if (size > MAX_OFFER_TEXT_LENGTH) return Result.err({ kind: 'tooManyParts', missingParts: parts.length })
  const second = await sendOffer(callPeer, address, { manifest: accepted.manifest, parts }, progress)
  return second.map(answer => answer.generation)
}

/** Formats the reason why an offer was not accepted. */
export function formatOfferError (error: OfferError): string {
  switch (error.kind) {
    case 'peerUnavailable': return error.message
    case 'malformedAnswer': return error.message
    case 'tooManyParts': return `it is missing ${error.missingParts} parts and fetches them from the platform`
  }
}

async function sendOffer (callPeer: PeerCaller, address: string, offer: OfferConfigParams, progress: Progress): Promise<Result<OfferAnswer, OfferError>> {
  try {
    const answer = offerAnswerSchema.safeParse(await callPeer(address, OFFER_CONFIG_METHOD, offer, progress))
    if (answer.success) return Result.ok(answer.data)
    return Result.err({ kind: 'malformedAnswer', message: `${address} sent an invalid response to an offer; expected a gateway or sidecar` })
  } catch (error) {
    return Result.err({ kind: 'peerUnavailable', message: (error as Error).message })
  }
}
