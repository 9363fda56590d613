/**
 * Returns whether a status is that of a final answer (RFC 9110, section 15). No other may reach a caller as an answer.
 *
 * @example
 * isFinalStatus(101) // false
 */
export function isFinalStatus (status: number): boolean {
  return status >= 200 && status <= 599
}
