import { err, ok } from 'true-myth/result'

import type { Result } from 'true-myth'
import type { FleetConfig, PlainService, ServiceClass, Workspace } from '../config/fleetConfig'
import type { Refusal } from '../protocol/errorBody'

/** Header that selects the class of a request. */
export const REQUEST_CLASS_HEADER = 'x-tanagerwick-class'

const ANY_METHOD = '*'

/**
 * Chooses the class of a request: the class that its header names, or the workspace's default.
 *
 * @example
 * chooseClass(config, workspace, 'panel')
 */
export function chooseClass (config: FleetConfig, workspace: Workspace, requested: string | undefined): Result<ServiceClass, Refusal> {
  const name = requested ?? workspace.defaultClass
  const serviceClass = config.classes.get(name)
  if (serviceClass === undefined) return err(createRefusal('unknown_class', `There is no class '${name.slice(0, 100)}'.`))
  if (!workspace.classes.includes(name)) return err(createRefusal('class_not_allowed', `Workspace '${workspace.name}' may not use class '${name}'.`))
  return ok(serviceClass)
}

/**
 * Returns whether a call to a plain service is idempotent. The first matching route decides. A call
 * without a matching route counts as not idempotent.
 *
 * @example
 * isIdempotentCall(orderDesk, 'GET', '/jobs/42')
 */
export function isIdempotentCall (service: PlainService, method: string, path: string): boolean {
  const route = service.routes.find(candidate => {
    return (candidate.method === ANY_METHOD || candidate.method === method) && isAtOrBelow(path, candidate.path)
  })
  return route?.idempotent ?? false
}

function isAtOrBelow (path: string, prefix: string): boolean {
  const trimmed = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix
  return path === trimmed || path.startsWith(`${trimmed}/`)
}

function createRefusal (code: Refusal['code'], message: string): Refusal {
  return { code, message, execution: 'not_run' }
}
