/**
 * Adds an item to a sorted list, after the items that are equal to it.
 *
 * @param items - Items in the order of `compare`.
 * @param item - The item.
 * @param compare - Negative when the first argument comes before the second.
 */
export function addSorted<T>(items: T[], item: T, compare: (a: T, b: T) => number): void {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (compare(items[middle] as T, item) <= 0) low = middle + 1;
    else high = middle;
  }
  items.splice(low, 0, item);
}
