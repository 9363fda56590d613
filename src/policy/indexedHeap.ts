/**
 * Implements a binary heap that updates or removes any of its items in logarithmic time.
 *
 * @example
 * const heap = new IndexedHeap<{ dueMs: number }>((a, b) => a.dueMs < b.dueMs)
 * heap.add({ dueMs: 5 })
 * heap.getFirst() // { dueMs: 5 }
 */
export class IndexedHeap<Item> {
  readonly #items: Item[] = []
  readonly #positions = new Map<Item, number>()
  readonly #isBefore: (a: Item, b: Item) => boolean

  constructor (isBefore: (a: Item, b: Item) => boolean) {
    this.#isBefore = isBefore
  }

  /** Number of items in the heap. */
  get size (): number {
    return this.#items.length
  }

  /** Returns the item that sorts before all others. */
  getFirst (): Item | undefined {
    return this.#items[0]
  }

  /** Returns whether `item` is in the heap. */
  has (item: Item): boolean {
    return this.#positions.has(item)
  }

  /** Adds `item`. If it is already in the heap, restores its position after its sort key changed. */
  add (item: Item): void {
    const held = this.#positions.get(item)
    if (held !== undefined) return this.#update(held)
    this.#items.push(item)
    this.#positions.set(item, this.#items.length - 1)
    this.#pushUp(this.#items.length - 1)
  }

  /** Removes `item` if it is in the heap. */
  remove (item: Item): void {
    const position = this.#positions.get(item)
    if (position === undefined) return
    const last = this.#items.pop() as Item
    this.#positions.delete(item)
    if (last === item) return
    this.#put(last, position)
    this.#update(position)
  }

  #update (position: number): void {
    this.#pushDown(this.#pushUp(position))
  }

  #pushUp (from: number): number {
    let position = from
    const item = this.#items[position] as Item
    while (position > 0) {
      const parent = (position - 1) >> 1
      const above = this.#items[parent] as Item
      if (!this.#isBefore(item, above)) break
      this.#put(above, position)
      position = parent
    }
    this.#put(item, position)
    return position
  }

  #pushDown (from: number): void {
    let position = from
    const item = this.#items[position] as Item
    for (;;) {
      const child = this.#findLesserChild(position)
      if (child === undefined) break
      const below = this.#items[child] as Item
      if (!this.#isBefore(below, item)) break
      this.#put(below, position)
      position = child
    }
    this.#put(item, position)
  }

  #findLesserChild (position: number): number | undefined {
    const left = 2 * position + 1
    if (left >= this.#items.length) return undefined
    const right = left + 1
    if (right >= this.#items.length) return left
    return this.#isBefore(this.#items[right] as Item, this.#items[left] as Item) ? right : left
  }

  #put (item: Item, position: number): void {
    this.#items[position] = item
    this.#positions.set(item, position)
  }
}
