const VIRTUAL_NODES_PER_NAME = 32
const FNV_OFFSET_BASIS = 2_166_136_261
const FNV_PRIME = 16_777_619

interface VirtualNode {
  hash: number
  name: string
}

/**
 * Maps a prompt prefix to the names that should hold it in their cache, so that every gateway
 * picks the same ones and a change of one name moves only that name's prefixes. A lookup takes
 * logarithmic time, unlike rendezvous hashing, which weighs every name.
 *
 * @example
 * const ring = new AffinityRing(['engine-1', 'engine-2', 'engine-3'])
 * ring.findHolders('system prompt of the order desk', 2) // ['engine-3', 'engine-1']
 */
export class ConsistentHashRing {
  readonly #virtualNodes: VirtualNode[]
  readonly #nameCount: number

  constructor (names: readonly string[]) {
    this.#nameCount = names.length
    this.#virtualNodes = names.flatMap(name => buildVirtualNodes(name)).sort((a, b) => a.hash - b.hash)
  }

  /** Finds the first `count` names for `prefix`, the preferred one first. */
  findOwners (prefix: string, count: number): string[] {
    const wanted = Math.min(count, this.#nameCount)
    const owners: string[] = []
    let index = this.#findFirstAtOrAfter(computeHash(prefix))
    while (owners.length < wanted) {
      const { name } = this.#virtualNodes[index % this.#virtualNodes.length] as VirtualNode
      if (!owners.includes(name)) owners.push(name)
      index += 1
    }
    return owners
  }

  #findFirstAtOrAfter (hash: number): number {
    let low = 0
    let high = this.#virtualNodes.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.#virtualNodes[middle] as VirtualNode).hash < hash) low = middle + 1
      else high = middle
    }
    return low
  }
}

function buildVirtualNodes (name: string): VirtualNode[] {
  return Array.from({ length: VIRTUAL_NODES_PER_NAME }, (_, index) => ({ hash: computeHash(`${name}#${index}`), name }))
}

/** FNV-1a over the text, then mixed so that near texts land far apart. */
function computeHash (text: string): number {
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
