/** Where a finding was made: a file with line and column from 1, or a flag or variable. */
export type Place =
  | { kind: 'file', file: string, line: number, column: number }
  | { kind: 'input', name: string }

/** One fault of the input: where it is, what it is and what to do. */
export interface Finding {
  place: Place
  /** Keys from the root of the tree to the fault, joined by dots; empty for the whole input. */
  path: string
  message: string
  advice: string
}

/**
 * Formats findings as one report, a line each, in the order of their places.
 *
 * @example
 * formatFindings([{ place: { kind: 'file', file: '10.yaml', line: 3, column: 5 }, path: 'classes.quote.tier', message: 'is 9', advice: 'Give a whole number from 1 to 6.' }])
 * // '10.yaml:3:5: classes.quote.tier: is 9. Give a whole number from 1 to 6.'
 */
export function formatFindings (findings: Finding[]): string {
  return [...findings].sort(compareFindings).map(formatFinding).join('\n')
}

/** Formats a place as `FILE:LINE:COLUMN`, or as the name of the flag or variable. */
export function formatPlace (place: Place): string {
  switch (place.kind) {
    case 'file': return `${place.file}:${place.line}:${place.column}`
    case 'input': return place.name
  }
}

function formatFinding (finding: Finding): string {
  const subject = finding.path === '' ? '' : `${finding.path}: `
  return `${formatPlace(finding.place)}: ${subject}${finding.message}. ${finding.advice}`
}

function compareFindings (one: Finding, other: Finding): number {
  if (one.place.kind !== 'file' || other.place.kind !== 'file') return one.place.kind.localeCompare(other.place.kind)
  if (one.place.file !== other.place.file) return one.place.file < other.place.file ? -1 : 1
  return one.place.line - other.place.line || one.place.column - other.place.column
}
