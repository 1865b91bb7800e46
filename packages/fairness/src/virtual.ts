import type { WorkspaceId } from '@dotterelpass/values';

/** Number of workspaces from which on those without a lead are dropped. */
const minPrunedSize = 128;

/**
 * Start-time fair queueing (Goyal, Vin, Cheng) over the endpoint time of the calls of one priority.
 * The next call of a workspace starts, in virtual time, when its last one ends, but not before the
 * present, which is the start of the last call that was sent.
 *
 * Exponentially decaying sums of past service were weighed. With them, a workspace that begins to
 * ask gets all capacity until it has caught up with the others' past, so that one which asks for less
 * than its share was refused; and capacity that nobody else wanted counted against its user.
 */
export class VirtualTime {
  /** Virtual ends of the last calls of workspaces, in milliseconds of endpoint time. */
  readonly #ends = new Map<WorkspaceId | undefined, number>();

  #now = 0;

  #pruneAt = minPrunedSize;

  /** @returns The virtual start of the next call of a workspace; the lowest is next. */
  getStart(workspace: WorkspaceId | undefined): number {
    return Math.max(this.#now, this.#ends.get(workspace) ?? 0);
  }

  /** @returns Endpoint time that a workspace has got ahead of the present, in milliseconds. */
  getLeadMs(workspace: WorkspaceId | undefined): number {
    return this.getStart(workspace) - this.#now;
  }

  /**
   * Records a call that was sent.
   *
   * @param start - Virtual start of the call.
   */
  record(workspace: WorkspaceId | undefined, start: number, costMs: number): void {
    this.#now = Math.max(this.#now, start);
    this.#ends.set(workspace, start + costMs);
    if (this.#ends.size < this.#pruneAt) return;
    this.#ends.forEach((end, other) => {
      if (end <= this.#now) this.#ends.delete(other);
    });
    this.#pruneAt = Math.max(minPrunedSize, 2 * this.#ends.size);
  }
}
