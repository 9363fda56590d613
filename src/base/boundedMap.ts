/**
 * A map that drops its oldest entry when a new one exceeds `maxSize`. Setting a key again makes it the newest.
 *
 * @example
 * const lastSeen = new BoundedMap<string, number>(2)
 * lastSeen.set('a', 1).set('b', 2).set('a', 3).set('c', 4)
 * [...lastSeen.keys()] // ['a', 'c']
 */
export class BoundedMap<Key, Value> extends Map<Key, Value> {
  readonly #maxSize: number

  constructor (maxSize: number) {
    super()
    this.#maxSize = maxSize
  }

  override set (key: Key, value: Value): this {
    this.delete(key)
    super.set(key, value)
    const [oldest] = this.keys()
    if (this.size > this.#maxSize) this.delete(oldest as Key)
    return this
  }
}
