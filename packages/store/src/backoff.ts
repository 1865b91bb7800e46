import type { Random } from '@dotterelpass/values';

/** Waits between tries that double up to a limit, with full jitter. */
export class Backoff {
  readonly #random: Random;

  readonly #minMs: number;

  readonly #maxMs: number;

  #boundMs: number;

  /**
   * @param random - Source of the jitter.
   * @param minMs - Bound of the first wait, in milliseconds.
   * @param maxMs - Bound of every wait, in milliseconds.
   */
  constructor(random: Random, minMs = 50, maxMs = 2000) {
    if (!(minMs > 0 && maxMs >= minMs)) {
      throw new RangeError(`back-off from ${minMs} to ${maxMs} ms is not a range`);
    }
    this.#random = random;
    this.#minMs = minMs;
    this.#maxMs = maxMs;
    this.#boundMs = minMs;
  }

  /** @returns The next wait, in milliseconds. */
  pickMs(): number {
    const ms = this.#boundMs * this.#random.next();
    this.#boundMs = Math.min(this.#boundMs * 2, this.#maxMs);
    return ms;
  }

  /** Starts again at the shortest wait, after a success. */
  reset(): void {
    this.#boundMs = this.#minMs;
  }

  /** Sleeps for the next wait. */
  async sleep(): Promise<void> {
    const ms = this.pickMs();
    await new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  }
}
