const POINTS_PER_NAME = 32
const FNV_OFFSET = 2_166_136_261
const FNV_PRIME = 16_777_619

interface RingPoint {
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
export class AffinityRing {
  readonly #points: RingPoint[]
  readonly #nameCount: number

  constructor (names: readonly string[]) {
    this.#nameCount = names.length
    this.#points = names.flatMap(name => buildPoints(name)).sort((a, b) => a.hash - b.hash)
  }

  /** Finds the first `count` names for `prefix`, the preferred one first. */
  findHolders (prefix: string, count: number): string[] {
    const wanted = Math.min(count, this.#nameCount)
    const holders: string[] = []
    let index = this.#findFirstPoint(hashToNumber(prefix))
    while (holders.length < wanted) {
      const { name } = this.#points[index % this.#points.length] as RingPoint
      if (!holders.includes(name)) holders.push(name)
      index += 1
    }
    return holders
  }

  #findFirstPoint (hash: number): number {
    let low = 0
    let high = this.#points.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.#points[middle] as RingPoint).hash < hash) low = middle + 1
      else high = middle
    }
    return low
  }
}

function buildPoints (name: string): RingPoint[] {
  return Array.from({ length: POINTS_PER_NAME }, (_, index) => ({ hash: hashToNumber(`${name}#${index}`), name }))
}

/** FNV-1a over the text, then mixed so that near texts land far apart. */
function hashToNumber (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
