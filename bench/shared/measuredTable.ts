/** A measured value and its optional upper bound. */
export interface Measurement {
  name: string
  value: number
  unit: string
  /** Largest value that passes; absent for a value without a bound. */
  limit?: number
}

/**
 * Prints measurements as a table and returns whether all are within their bounds.
 *
 * @example
 * process.exitCode = printMeasurements('Data path', rows) ? 0 : 1
 */
export function printMeasurements (title: string, rows: Measurement[]): boolean {
  const cells = rows.map(row => [row.name, `${formatNumber(row.value)} ${row.unit}`, formatLimit(row), describeResult(row)])
  printTable(title, ['measured', 'value', 'bound', 'result'], cells)
  return rows.every(isWithinBound)
}

/** Prints rows of text under aligned headings. */
export function printTable (title: string, headings: string[], rows: string[][]): void {
  const widths = headings.map((heading, column) => Math.max(heading.length, ...rows.map(row => row[column]?.length ?? 0)))
  const formatRow = (row: string[]) => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()
  const lines = [title, formatRow(headings), widths.map(width => '-'.repeat(width)).join('  '), ...rows.map(formatRow)]
  process.stdout.write(`\n${lines.join('\n')}\n`)
}

/** Formats a number with three significant digits, and numbers from 100 on without decimals. */
export function formatNumber (value: number): string {
  if (!Number.isFinite(value)) return String(value)
  if (Math.abs(value) >= 100) return value.toFixed(0)
  return Math.abs(value) >= 10 ? value.toFixed(1) : value.toPrecision(3)
}

function isWithinBound (row: Measurement): boolean {
  return row.limit === undefined || row.value <= row.limit
}

function formatLimit (row: Measurement): string {
  return row.limit === undefined ? '' : `at most ${formatNumber(row.limit)} ${row.unit}`
}

function describeResult (row: Measurement): string {
  if (row.limit === undefined) return ''
  return isWithinBound(row) ? 'kept' : 'FAILED'
}
