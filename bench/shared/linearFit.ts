/**
 * Fits `y = c0 + c1 x1 + c2 x2 + ...` by least squares and returns the coefficients, the constant first.
 *
 * @example
 * computeLinearFit([[1], [2], [3]], [3, 5, 7]) // [1, 2]
 */
export function computeLinearFit (inputs: number[][], outputs: number[]): number[] {
  const rows = inputs.map(input => [1, ...input])
  const size = rows[0]!.length
  const matrix = Array.from({ length: size }, (_, i) => [
    ...Array.from({ length: size }, (_, j) => computeSum(rows, row => row[i]! * row[j]!)),
    rows.reduce((sum, row, index) => sum + row[i]! * outputs[index]!, 0)
  ])
  return computeSolution(matrix)
}

function computeSum (rows: number[][], compute: (row: number[]) => number): number {
  return rows.reduce((sum, row) => sum + compute(row), 0)
}

/** Solves a linear system by Gaussian elimination with pivoting. The last column of the matrix is the right-hand side. */
function computeSolution (matrix: number[][]): number[] {
  const size = matrix.length
  for (let column = 0; column < size; column++) {
    const pivot = matrix.slice(column).reduce((best, row) => Math.abs(row[column]!) > Math.abs(best[column]!) ? row : best)
    matrix.splice(matrix.indexOf(pivot), 1)
    matrix.splice(column, 0, pivot)
    for (const row of matrix) if (row !== pivot) updateRow(row, pivot, column)
  }
  return matrix.map((row, index) => row[size]! / row[index]!)
}

function updateRow (row: number[], pivot: number[], column: number): void {
  const factor = row[column]! / pivot[column]!
  for (let index = column; index < row.length; index++) row[index]! -= factor * pivot[index]!
}
