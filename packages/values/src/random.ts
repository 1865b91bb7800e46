/** Source of random numbers in [0, 1). */
export interface Random {
  next(): number;
}

/** A source that is not reproducible. */
export const systemRandom: Random = { next: () => Math.random() };

/**
 * Creates a reproducible source of random numbers (the Mulberry32 generator).
 *
 * @param seed - Any integer; equal seeds give equal sequences.
 * @returns The source.
 */
export function makeRandom(seed: number): Random {
  if (!Number.isSafeInteger(seed)) throw new RangeError(`seed ${seed} is not an integer`);
  /* eslint-disable no-bitwise -- the generator is defined on 32-bit integers. */
  let state = seed >>> 0;
  return {
    next() {
      state = (state + 0x6d2b79f5) >>> 0;
      let mixed = Math.imul(state ^ (state >>> 15), state | 1);
      mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
      return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    },
  };
  /* eslint-enable no-bitwise */
}

/**
 * Picks one item at random.
 *
 * @param random - Source of random numbers.
 * @param items - At least one item.
 * @returns One of the items, all equally likely.
 */
export function pickOne<T>(random: Random, items: readonly T[]): T {
  if (items.length === 0) throw new RangeError('cannot pick from an empty list');
  return items[Math.floor(random.next() * items.length)] as T;
}

/**
 * Returns a shuffled copy of a list.
 *
 * @param random - Source of random numbers.
 * @param items - The list, which is not modified.
 * @returns The same items in random order.
 */
export function shuffle<T>(random: Random, items: readonly T[]): T[] {
  const result = [...items];
  for (let last = result.length - 1; last > 0; last--) {
    const chosen = Math.floor(random.next() * (last + 1));
    [result[last], result[chosen]] = [result[chosen] as T, result[last] as T];
  }
  return result;
}
