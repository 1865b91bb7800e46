/**
 * Adds an item to a sorted list, after the items that are equal to it.
 *
 * @param items - Items in the order of `compare`.
 * @param item - The item.
 * @param compare - Negative when the first argument comes before the second.
 */
export function addSorted<T>(items: T[], item: T, compare: (a: T, b: T) => number): void {
  items.splice(
    countWhile(items, (other) => compare(other, item) <= 0),
    0,
    item,
  );
}

/**
 * Removes an item from a sorted list.
 *
 * @returns Whether the list had the item.
 */
export function removeSorted<T>(items: T[], item: T, compare: (a: T, b: T) => number): boolean {
  let index = countWhile(items, (other) => compare(other, item) < 0);
  while (index < items.length && items[index] !== item) index += 1;
  if (index === items.length) return false;
  items.splice(index, 1);
  return true;
}

/** Counts the items at the start of a list that meet a condition which no item after them meets. */
function countWhile<T>(items: readonly T[], meets: (item: T) => boolean): number {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (meets(items[middle] as T)) low = middle + 1;
    else high = middle;
  }
  return low;
}
