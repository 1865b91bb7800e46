/**
 * Hashes a string to 32 bits (FNV-1a with a final mix). The hash distributes keys evenly; it is
 * not cryptographically secure.
 *
 * @param text - Any string.
 * @returns An integer from 0 to 2^32 - 1.
 */
export function hashText(text: string): number {
  /* eslint-disable no-bitwise -- the hash is defined on 32-bit integers. */
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  // Plain FNV-1a distributes short names with a common prefix unevenly.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
}

/**
 * Ranks candidates for a key by rendezvous hashing: when a candidate is removed, only the keys
 * that it owned move to another owner.
 *
 * @param key - The key that needs an owner.
 * @param candidates - Names of the candidates, in any order.
 * @returns The candidates by decreasing rank; the first is the owner of the key.
 */
export function rankByHash<Name extends string>(key: string, candidates: readonly Name[]): Name[] {
  return candidates
    .map((name) => ({ name, score: hashText(`${name}|${key}`) }))
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}
