import { err, ok } from 'true-myth/result'

import type { Result } from 'true-myth'
import type { Refusal } from '../protocol/errorBody'

/** Path prefix of calls to plain services. */
export const SERVICES_PREFIX = '/services/'

const MAX_PATH_CHARACTERS = 4000
const MAX_NAME_CHARACTERS = 200

/** A call to a plain service, parsed from the request's URL. */
export interface ServicePath {
  service: string
  /** Path below the service, without the query; routes are matched against it. */
  path: string
  /** Path below the service with the query, as the endpoint receives it. */
  pathWithQuery: string
}

/**
 * Parses `/services/NAME/PATH?QUERY`. Rejects dot segments, empty segments and encoded separators.
 * An endpoint could resolve such a path to another one, and the call would bypass the route that
 * decides whether it is idempotent.
 *
 * @example
 * parseServicePath('/services/order-desk/jobs/42?full=1')
 */
export function parseServicePath (url: string): Result<ServicePath, Refusal> {
  if (url.length > MAX_PATH_CHARACTERS) return err(createRefusal(`The path is longer than ${MAX_PATH_CHARACTERS} characters.`))
  const queryAt = url.indexOf('?')
  const fullPath = queryAt === -1 ? url : url.slice(0, queryAt)
  const query = queryAt === -1 ? '' : url.slice(queryAt)
  const segments = fullPath.slice(SERVICES_PREFIX.length).split('/')
  const service = segments.shift() ?? ''
  if (service === '' || service.length > MAX_NAME_CHARACTERS) return err(createRefusal('Name a service: /services/NAME/PATH.'))
  if (!segments.every((segment, index) => isUnambiguousSegment(segment, index === segments.length - 1))) {
    return err(createRefusal('The path must have no dot segments, empty segments, encoded separators or bad escapes.'))
  }
  const path = `/${segments.join('/')}`
  return ok({ service, path, pathWithQuery: path + query })
}

function isUnambiguousSegment (segment: string, isLast: boolean): boolean {
  const text = decodeSegment(segment)
  if (text === null) return false
  if (text === '') return isLast
  return text !== '.' && text !== '..' && !/[/\\;#\0]/.test(text)
}

function decodeSegment (segment: string): string | null {
  try {
    return decodeURIComponent(segment)
  } catch {
    return null
  }
}

function createRefusal (message: string): Refusal {
  return { code: 'invalid_path', message, execution: 'not_run' }
}
