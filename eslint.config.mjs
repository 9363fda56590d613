import neostandard from 'neostandard'

import { fileNames } from './lint/fileNames.mjs'
import { functionVerbs } from './lint/functionVerbs.mjs'
import { buildImportBoundaries, ENUM_BAN } from './lint/importBoundaries.mjs'

const tanagerwick = { rules: { 'function-verbs': functionVerbs, 'file-names': fileNames } }

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**'] }),
  {
    files: ['**/*.ts'],
    plugins: { tanagerwick },
    rules: {
      'tanagerwick/function-verbs': 'error',
      'tanagerwick/file-names': 'error',
      'no-restricted-syntax': ['error', ENUM_BAN],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': 'off'
    }
  },
  { files: ['tests/**/*.ts'], languageOptions: { globals: { describe: 'readonly', it: 'readonly', before: 'readonly', after: 'readonly', beforeEach: 'readonly', afterEach: 'readonly' } }, rules: { 'no-unused-expressions': 'off', '@typescript-eslint/no-unused-expressions': 'off' } },
  ...buildImportBoundaries()
]
