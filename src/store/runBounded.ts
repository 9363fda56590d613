/**
 * Runs `task` for all items, at most `limit` at a time. Returns the results in the order of the items.
 *
 * @example
 * const objects = await runBounded(keys, 8, async key => await readObject(key))
 */
export async function runBounded<Item, Value> (items: Item[], limit: number, task: (item: Item) => Promise<Value>): Promise<Value[]> {
  const values: Value[] = []
  let next = 0
  const runWorker = async (): Promise<void> => {
    while (next < items.length) {
      const index = next++
      values[index] = await task(items[index] as Item)
    }
  }
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, runWorker))
  return values
}
