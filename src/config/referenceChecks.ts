import { findKeyLocation, findLocation, findNode } from './sourceTree'

import type { Finding } from './finding'
import type { FleetTree } from './fleetSchema'
import type { SourceMap } from './sourceTree'

type Path = Array<string | number>

const MAX_NAMES_SHOWN = 20

/**
 * Checks rules that span several keys: undefined names, duplicates, sums and order. A name counts as
 * defined when `root` has it, even if its entry is invalid and therefore absent from `tree`.
 *
 * @example
 * const findings = checkReferences(tree, root)
 */
export function checkReferences (tree: FleetTree, root: SourceMap): Finding[] {
  const checker = new ReferenceChecker(tree, root)
  return checker.run()
}

class ReferenceChecker {
  readonly #tree: FleetTree
  readonly #root: SourceMap
  readonly #findings: Finding[] = []

  constructor (tree: FleetTree, root: SourceMap) {
    this.#tree = tree
    this.#root = root
  }

  run (): Finding[] {
    this.#checkClasses()
    this.#checkWorkspaces()
    this.#checkKeyDigests()
    this.#checkServices()
    this.#checkEndpoints()
    return this.#findings
  }

  #checkClasses (): void {
    const classes = Object.entries(this.#tree.classes)
    if (this.#listDefined('classes').length === 0) this.#addFinding(['classes'], 'defines no class', 'Define at least one class.')
    for (const [name, { firstTokenTargetMs, deadlineMs }] of classes) {
      if (firstTokenTargetMs <= deadlineMs) continue
      this.#addFinding(['classes', name, 'firstTokenTargetMs'], `is above deadlineMs, ${deadlineMs}`, 'Set a target within the deadline.')
    }
    const sum = classes.reduce((total, [, { share }]) => total + share, 0)
    if (sum <= 1 + Number.EPSILON * classes.length) return
    this.#addFinding(['classes'], `the shares of all classes sum up to ${sum.toFixed(3)}`, 'Lower them to a sum of at most 1.')
  }

  #checkWorkspaces (): void {
    for (const [name, { classes, defaultClass }] of Object.entries(this.#tree.workspaces)) {
      const path = ['workspaces', name]
      classes.forEach((className, index) => this.#checkName([...path, 'classes', index], className, 'classes'))
      this.#checkDuplicates([...path, 'classes'], classes)
      if (classes.includes(defaultClass)) continue
      this.#addFinding([...path, 'defaultClass'], `'${defaultClass}' is not among the workspace's classes`, `Choose one of: ${classes.join(', ')}.`)
    }
  }

  #checkKeyDigests (): void {
    const owners = new Map<string, string>()
    for (const [name, { keyDigests }] of Object.entries(this.#tree.workspaces)) {
      keyDigests.forEach((digest, index) => {
        const owner = owners.get(digest)
        if (owner !== undefined) this.#addFinding(['workspaces', name, 'keyDigests', index], `is a key of workspace '${owner}' already`, 'Give each workspace its own keys, each once.')
        owners.set(digest, owner ?? name)
      })
    }
  }

  #checkServices (): void {
    for (const [name, { routes }] of Object.entries(this.#tree.services)) {
      routes.forEach((route, index) => {
        const earlier = routes.slice(0, index).find(other => (other.method === '*' || other.method === route.method) && isAtOrBelow(route.path, other.path))
        if (earlier === undefined) return
        this.#addFinding(['services', name, 'routes', index], `is never reached, because ${earlier.method} ${earlier.path} precedes it`, 'Put the longer path first, or remove one.')
      })
    }
  }

  #checkEndpoints (): void {
    for (const [name, endpoint] of Object.entries(this.#tree.endpoints)) {
      const path = ['endpoints', name]
      switch (endpoint.kind) {
        case 'engine':
          if (endpoint.service !== undefined) this.#addFinding([...path, 'service'], 'an engine runs no plain service', 'Remove it, or set kind to service.')
          this.#checkDuplicates([...path, 'models'], endpoint.models)
          break
        case 'service':
          if (endpoint.models.length > 0) this.#addFinding([...path, 'models'], 'a plain service serves no model', 'Remove it, or set kind to engine.')
          if (endpoint.service === undefined) this.#addFinding(path, 'names no service', 'Set the key service to the name of an entry under services.')
          else this.#checkName([...path, 'service'], endpoint.service, 'services')
          break
      }
    }
  }

  #checkName (path: Path, name: string, section: 'classes' | 'services'): void {
    if (this.#isDefined(section, name)) return
    const known = this.#listDefined(section).slice(0, MAX_NAMES_SHOWN).join(', ')
    this.#addFinding(path, `'${name}' is not defined under ${section}`, `Define it, or use one of: ${known || 'none is defined'}.`)
  }

  #isDefined (section: 'classes' | 'services', name: string): boolean {
    return findNode(this.#root, [section, name]) !== undefined
  }

  #listDefined (section: 'classes' | 'services'): string[] {
    const node = findNode(this.#root, [section])
    return node?.kind === 'map' ? [...node.entries.keys()] : []
  }

  #checkDuplicates (path: Path, names: string[]): void {
    names.forEach((name, index) => {
      if (names.indexOf(name) < index) this.#addFinding([...path, index], `'${name}' is listed twice`, 'List it once.')
    })
  }

  #addFinding (path: Path, message: string, advice: string): void {
    const location = path.length <= 2 ? findKeyLocation(this.#root, path) : findLocation(this.#root, path)
    this.#findings.push({ location, path: path.join('.'), message, advice })
  }
}

function isAtOrBelow (path: string, prefix: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
}
