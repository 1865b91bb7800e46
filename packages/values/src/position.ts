/**
 * Position in the history of a store. A store that is restored from a copy starts a new epoch, in
 * which it assigns revisions again, so revisions of different epochs cannot be compared.
 */
export interface StorePosition {
  readonly epoch: number;
  readonly revision: number;
}

/** Before every position of a store. */
export const beforeFirstPosition: StorePosition = { epoch: -1, revision: -1 };

/**
 * Compares two positions: first by epoch, then by revision.
 *
 * @returns A negative number when `a` is earlier, 0 when both are equal, and a positive number when
 * `a` is later.
 */
export function comparePositions(a: StorePosition, b: StorePosition): number {
  return a.epoch - b.epoch || a.revision - b.revision;
}
