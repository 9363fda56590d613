import { hashText } from '../../src/base/identifiers'
import { createSeededRandom } from '../shared/seededRandom'

const SEED_HEX_DIGITS = 8
const MAX_LINES = 40
const LINES = ['lineage traced', 'batch weighed', 'allergen declared', 'mandrel reserved', 'blank cut', 'Grüße, Łódź']

/** The fields of a service call that determine its answer. */
export interface ServiceCall {
  method: string
  /** Path that the service receives. */
  path: string
  body: string
}

/** Computes the digest that identifies a service call across the records of all processes. */
export function hashServiceCall (call: ServiceCall): string {
  return hashText(JSON.stringify([call.method, call.path, call.body]))
}

/** Generates the JSON answer to a service call. The same call always gets the same answer. */
export function generateServiceAnswer (call: ServiceCall): string {
  const digest = hashServiceCall(call)
  const random = createSeededRandom(parseInt(digest.slice(0, SEED_HEX_DIGITS), 16))
  const lines = Array.from({ length: 1 + Math.floor(random() * MAX_LINES) }, () => LINES[Math.floor(random() * LINES.length)])
  return JSON.stringify({ path: call.path, digest, lines })
}
