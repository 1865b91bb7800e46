import type { Random } from '@dotterelpass/values';

/** Exponential back-off with full jitter: the upper bound of the delay doubles up to a limit. */
export class Backoff {
  readonly #random: Random;

  readonly #minMs: number;

  readonly #maxMs: number;

  #boundMs: number;

  /**
   * @param random - Source of the jitter.
   * @param minMs - Upper bound of the first delay, in milliseconds.
   * @param maxMs - Upper bound of every delay, in milliseconds.
   */
  constructor(random: Random, minMs = 50, maxMs = 2000) {
    if (!(minMs > 0 && maxMs >= minMs)) {
      throw new RangeError(`invalid back-off range: ${minMs} to ${maxMs} ms`);
    }
    this.#random = random;
    this.#minMs = minMs;
    this.#maxMs = maxMs;
    this.#boundMs = minMs;
  }

  /** @returns The next delay, in milliseconds. */
  pickDelayMs(): number {
    const delayMs = this.#boundMs * this.#random.next();
    this.#boundMs = Math.min(this.#boundMs * 2, this.#maxMs);
    return delayMs;
  }

  /** Starts again with the first bound; to be called after a success. */
  reset(): void {
    this.#boundMs = this.#minMs;
  }

  /** Waits for the next delay. */
  async sleep(): Promise<void> {
    const delayMs = this.pickDelayMs();
    await new Promise((resolve) => {
      setTimeout(resolve, delayMs);
    });
  }
}
