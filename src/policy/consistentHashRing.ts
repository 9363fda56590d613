const VIRTUAL_NODES_PER_NAME = 32
const FNV_OFFSET_BASIS = 2_166_136_261
const FNV_PRIME = 16_777_619

interface VirtualNode {
  hash: number
  name: string
}

/**
 * Maps prompt prefixes to the names of the endpoints that should have them cached, by consistent
 * hashing. Every gateway picks the same names for a prefix. Adding or removing a name remaps only the
 * prefixes of that name. A lookup takes logarithmic time, whereas rendezvous hashing scores every name.
 *
 * @example
 * const ring = new ConsistentHashRing(['engine-1', 'engine-2', 'engine-3'])
 * ring.findOwners('system prompt of the order desk', 2) // ['engine-2', 'engine-3']
 */
export class ConsistentHashRing {
  readonly #virtualNodes: VirtualNode[]
  readonly #nameCount: number

  constructor (names: readonly string[]) {
    this.#nameCount = names.length
    this.#virtualNodes = names.flatMap(name => buildVirtualNodes(name)).sort((a, b) => a.hash - b.hash)
  }

  /** Returns up to `count` distinct names for `prefix`, in order of preference. */
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

/** Returns the 32-bit FNV-1a hash of the text. A final mixing step spreads similar texts over the ring. */
function computeHash (text: string): number {
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
