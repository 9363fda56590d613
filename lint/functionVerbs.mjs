import { readFileSync } from 'node:fs'

const VERBS_PAGE = new URL('../docs/VERBS.md', import.meta.url)
const ALLOWED_NAMES = new Set(['constructor', 'toString', 'toJSON', 'next', 'return', 'throw', 'then'])

/** Lint rule: the name of a function begins with a verb listed in docs/VERBS.md. */
export const functionVerbs = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { verb: "Function '{{name}}' must begin with a verb listed in docs/VERBS.md." }
  },
  create (context) {
    const verbs = readVerbs()
    const check = (node, name) => {
      if (typeof name !== 'string' || ALLOWED_NAMES.has(name) || verbs.has(getFirstWord(name))) return
      context.report({ node, messageId: 'verb', data: { name } })
    }
    return {
      FunctionDeclaration: node => check(node, node.id?.name),
      MethodDefinition: node => {
        if (node.kind === 'method' && !node.override) check(node, node.key.name)
      },
      VariableDeclarator: node => {
        const isFunction = node.init?.type === 'ArrowFunctionExpression' || node.init?.type === 'FunctionExpression'
        if (isFunction) check(node, node.id.name)
      }
    }
  }
}

function readVerbs () {
  const page = readFileSync(VERBS_PAGE, 'utf8')
  const lists = page.slice(page.indexOf('## Queries'))
  return new Set([...lists.matchAll(/`([a-z]+)`/g)].map(match => match[1]))
}

function getFirstWord (name) {
  return /^#?([a-z]+)/.exec(name)?.[1]
}
