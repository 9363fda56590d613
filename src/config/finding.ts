/** Location of a finding: a file with line and column, counted from 1, or a flag or environment variable. */
export type SourceLocation =
  | { kind: 'file', file: string, line: number, column: number }
  | { kind: 'input', name: string }

/** One problem in the input: its location, a description and advice. */
export interface Finding {
  location: SourceLocation
  /** Keys from the root of the tree to the problem, joined by dots; empty for the whole input. */
  path: string
  message: string
  advice: string
}

/**
 * Formats findings as a report, one line each, sorted by location.
 *
 * @example
 * formatFindings([{ location: { kind: 'file', file: '10.yaml', line: 3, column: 5 }, path: 'classes.quote.tier', message: 'is 9', advice: 'Give a whole number from 1 to 6.' }])
 * // '10.yaml:3:5: classes.quote.tier: is 9. Give a whole number from 1 to 6.'
 */
export function formatFindings (findings: Finding[]): string {
  return [...findings].sort(compareFindings).map(formatFinding).join('\n')
}

/** Formats a location as `FILE:LINE:COLUMN`, or as the name of the flag or environment variable. */
export function formatLocation (location: SourceLocation): string {
  switch (location.kind) {
    case 'file': return `${location.file}:${location.line}:${location.column}`
    case 'input': return location.name
  }
}

function formatFinding (finding: Finding): string {
  const subject = finding.path === '' ? '' : `${finding.path}: `
  return `${formatLocation(finding.location)}: ${subject}${finding.message}. ${finding.advice}`
}

function compareFindings (one: Finding, other: Finding): number {
  if (one.location.kind !== 'file' || other.location.kind !== 'file') return one.location.kind.localeCompare(other.location.kind)
  if (one.location.file !== other.location.file) return one.location.file < other.location.file ? -1 : 1
  return one.location.line - other.location.line || one.location.column - other.location.column
}
