import type { Endpoint } from '../config/fleetConfig'

/** One order to an endpoint. Orders are idempotent. */
export type EndpointOrder =
  | { kind: 'loadModel', model: string }
  | { kind: 'unloadModel', model: string }
  | { kind: 'setRole', role: Endpoint['role'] }

/** The models and role that an endpoint reports. */
export interface EndpointPlacement {
  models: string[]
  role: string
}

/**
 * Lists the orders that turn `placement` into the desired state. Models are unloaded before others
 * are loaded, since an engine's memory may not hold both. For an unknown placement it returns only
 * the `setRole` order, because the response to it reports the placement.
 *
 * @example
 * listOrders({ models: ['small'], role: 'mixed' }, endpoint) // [{ kind: 'unloadModel', model: 'small' }, ...]
 */
export function listOrders (placement: EndpointPlacement | null, desired: Endpoint): EndpointOrder[] {
  if (desired.kind === 'service') return []
  const setRole: EndpointOrder = { kind: 'setRole', role: desired.role }
  if (placement === null) return [setRole]
  const orders: EndpointOrder[] = placement.role === desired.role ? [] : [setRole]
  for (const model of placement.models) {
    if (!desired.models.includes(model)) orders.push({ kind: 'unloadModel', model })
  }
  for (const model of desired.models) {
    if (!placement.models.includes(model)) orders.push({ kind: 'loadModel', model })
  }
  return orders
}
