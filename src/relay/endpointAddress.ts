/**
 * Splits the address of an endpoint into host and port.
 *
 * @example
 * parseAddress('10.0.0.2:8648') // ['10.0.0.2', 8648]
 */
export function parseAddress (address: string): [string, number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
}
