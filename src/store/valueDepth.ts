/**
 * Returns whether a parsed value is nested deeper than `maxDepth`. Writing such a value as text again would exceed
 * the stack.
 *
 * @example
 * isNestedDeeper([[1]], 1) // true
 */
export function isNestedDeeper (value: unknown, maxDepth: number): boolean {
  let level: object[] = isObject(value) ? [value] : []
  for (let depth = 1; level.length > 0; depth++) {
    if (depth > maxDepth) return true
    level = level.flatMap(parent => Object.values(parent).filter(isObject))
  }
  return false
}

function isObject (value: unknown): value is object {
  return typeof value === 'object' && value !== null
}
