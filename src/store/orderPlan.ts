import type { Endpoint } from '../config/fleetConfig'

/** One order to an endpoint; carrying it out twice has the effect of once. */
export type EndpointOrder =
  | { kind: 'loadModel', model: string }
  | { kind: 'unloadModel', model: string }
  | { kind: 'setRole', role: Endpoint['role'] }

/** What an endpoint says is in force on it. */
export interface EndpointPlacement {
  models: string[]
  role: string
}

/**
 * Orders that turn `placement` into what is desired, models that go before models that come, since
 * an engine's memory may not hold both. An unknown placement is asked for by the order of the role,
 * whose answer states it.
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
