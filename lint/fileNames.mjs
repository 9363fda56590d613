import path from 'node:path'

const FILE_NAME = /^[a-z][A-Za-z0-9]*(\.spec|\.d)?\.(ts|mjs)$/

/** Lint rule: source files have camelCase names, and no file is an index file. */
export const fileNames = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: {
      name: "File '{{file}}' must be named in camelCase.",
      index: "File '{{file}}' is an index file; import the modules it would gather directly."
    }
  },
  create (context) {
    return {
      Program (node) {
        const file = path.basename(context.filename)
        if (/^index\./.test(file)) context.report({ node, messageId: 'index', data: { file } })
        if (!FILE_NAME.test(file) && file !== 'eslint.config.mjs') context.report({ node, messageId: 'name', data: { file } })
      }
    }
  }
}
