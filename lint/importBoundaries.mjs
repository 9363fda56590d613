/**
 * What each source folder may import from the others. A folder that is absent from a list
 * must not be imported there; every folder may import itself and `base`.
 */
export const IMPORTS_BY_FOLDER = {
  base: [],
  protocol: [],
  config: ['protocol'],
  policy: ['protocol', 'config'],
  store: ['protocol', 'config'],
  gateway: ['protocol', 'config', 'policy', 'store'],
  sidecar: ['protocol', 'config', 'policy', 'store'],
  cli: ['protocol', 'config', 'policy', 'store', 'gateway', 'sidecar']
}

/** Builds one lint configuration block for each source folder. */
export function buildImportBoundaries () {
  const folders = Object.keys(IMPORTS_BY_FOLDER)
  return folders.map(folder => {
    const allowed = new Set([folder, 'base', ...IMPORTS_BY_FOLDER[folder]])
    const forbidden = folders.filter(other => !allowed.has(other))
    const patterns = [
      { group: ['**/standins/**', '**/tests/**', '**/bench/**'], message: 'The product imports no test code.' },
      ...forbidden.map(other => ({ group: [`../${other}/*`], message: `src/${folder} must not import src/${other}.` }))
    ]
    return {
      files: [`src/${folder}/**/*.ts`],
      rules: { 'no-restricted-imports': ['error', { patterns }] }
    }
  })
}
