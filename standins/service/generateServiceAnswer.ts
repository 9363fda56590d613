import { hashText } from '../../src/base/identifiers'
import { createSeededRandom } from '../shared/seededRandom'

const SEED_HEX_DIGITS = 8
const MAX_LINES = 40
const LINES = ['lineage traced', 'batch weighed', 'allergen declared', 'mandrel reserved', 'blank cut', 'Grüße, Łódź']

/** The part of a service call that its answer depends on. */
export interface ServiceCall {
  method: string
  /** Path as the service receives it. */
  path: string
  body: string
}

/** Digest by which records of different processes name the same service call. */
export function hashServiceCall (call: ServiceCall): string {
  return hashText(JSON.stringify([call.method, call.path, call.body]))
}

/** Generates the JSON text that answers a service call, the same for the same call. */
export function generateServiceAnswer (call: ServiceCall): string {
  const digest = hashServiceCall(call)
  const random = createSeededRandom(parseInt(digest.slice(0, SEED_HEX_DIGITS), 16))
  const lines = Array.from({ length: 1 + Math.floor(random() * MAX_LINES) }, () => LINES[Math.floor(random() * LINES.length)])
  return JSON.stringify({ path: call.path, digest, lines })
}
