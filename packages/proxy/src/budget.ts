/**
 * Counts bytes in memory against a limit, and against the limit of a larger group, such as that of the
 * whole process.
 */
export class ByteBudget {
  readonly #maxBytes: number;

  readonly #group: ByteBudget | undefined;

  #bytes = 0;

  /**
   * @param maxBytes - Maximum number of bytes.
   * @param group - Budget in which the bytes are counted, too.
   */
  constructor(maxBytes: number, group?: ByteBudget) {
    this.#maxBytes = maxBytes;
    this.#group = group;
  }

  /** Number of reserved bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * @param bytes - Number of bytes.
   * @returns Whether they fit into the limits; otherwise nothing is reserved.
   */
  reserve(bytes: number): boolean {
    if (this.#bytes + bytes > this.#maxBytes) return false;
    if (this.#group && !this.#group.reserve(bytes)) return false;
    this.#bytes += bytes;
    return true;
  }

  /** @param bytes - Number of reserved bytes that are no longer held. */
  release(bytes: number): void {
    this.#bytes -= bytes;
    this.#group?.release(bytes);
  }
}
