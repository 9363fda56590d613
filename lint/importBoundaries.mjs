/**
 * Source folders that each source folder may import. Every folder may also import itself and `base`; all
 * other folders are forbidden.
 */
export const IMPORTS_BY_FOLDER = {
  base: [],
  protocol: [],
  config: ['protocol'],
  policy: ['protocol', 'config'],
  store: ['protocol', 'config'],
  membership: ['protocol', 'config', 'store'],
  gateway: ['protocol', 'config', 'policy', 'store', 'membership'],
  sidecar: ['protocol', 'config', 'policy', 'store', 'membership'],
  duties: ['protocol', 'config', 'store'],
  relay: ['protocol', 'config', 'policy', 'store', 'duties'],
  cli: ['protocol', 'config', 'policy', 'store', 'membership', 'gateway', 'sidecar', 'relay', 'duties']
}

/** Literals of the platform's wire protocol, which only `platform/` may contain. */
const PLATFORM_LITERAL = 'Literal[value=/^(tanagerwick-|api-key|kv-)|^[/]tanagerwick[/]/i]'

/** Ban of enums in all code. Each folder's block repeats it, because the block replaces the general rule. */
export const ENUM_BAN = { selector: 'TSEnumDeclaration', message: 'Use a string union.' }

/** Builds one lint configuration block for each source folder. */
export function buildImportBoundaries () {
  const folders = Object.keys(IMPORTS_BY_FOLDER)
  return folders.map(folder => {
    const allowed = new Set([folder, 'base', ...IMPORTS_BY_FOLDER[folder]])
    const forbidden = folders.filter(other => !allowed.has(other))
    const patterns = [
      { group: ['**/standins/**', '**/tests/**', '**/bench/**'], message: 'The product must not import test code.' },
      { group: ['**/platform/**'], message: 'The product must not depend on the platform that it runs on.' },
      ...forbidden.map(other => ({ group: [`../${other}/*`], message: `src/${folder} must not import src/${other}.` }))
    ]
    return {
      files: [`src/${folder}/**/*.ts`],
      rules: {
        'no-restricted-imports': ['error', { patterns }],
        'no-restricted-syntax': ['error', ENUM_BAN, { selector: PLATFORM_LITERAL, message: 'Names of the platform\'s protocol belong in platform/ only.' }]
      }
    }
  })
}
