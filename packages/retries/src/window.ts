import type { Clock } from '@dotterelpass/values';

const sliceCount = 10;

/**
 * Counts calls and extra attempts over a sliding window. The window moves in slices of a tenth of
 * its length.
 */
export class SlidingWindow {
  readonly #clock: Clock;

  readonly #sliceMs: number;

  readonly #calls = new Array<number>(sliceCount).fill(0);

  readonly #extraAttempts = new Array<number>(sliceCount).fill(0);

  #slice = 0;

  #callSum = 0;

  #extraAttemptSum = 0;

  /**
   * @param clock - Source of time.
   * @param windowMs - Length of the window, in milliseconds.
   */
  constructor(clock: Clock, windowMs: number) {
    if (!(windowMs > 0)) throw new RangeError(`retry window of ${windowMs} ms is not positive`);
    this.#clock = clock;
    this.#sliceMs = windowMs / sliceCount;
    this.#slice = Math.floor(clock.now() / this.#sliceMs);
  }

  addCall(): void {
    this.#expireSlices();
    this.#callSum += 1;
    this.#calls[this.#slice % sliceCount]! += 1;
  }

  /** Counts an attempt of a call after its first. */
  addExtraAttempt(): void {
    this.#expireSlices();
    this.#extraAttemptSum += 1;
    this.#extraAttempts[this.#slice % sliceCount]! += 1;
  }

  /**
   * @param share - Maximum ratio of extra attempts to calls within the window.
   * @param allowance - Extra attempts allowed beyond the share.
   * @returns Whether one more extra attempt stays within the share and the allowance.
   */
  allowsExtraAttempt(share: number, allowance = 0): boolean {
    this.#expireSlices();
    return this.#extraAttemptSum + 1 <= this.#callSum * share + allowance;
  }

  /** Clears the slices that have left the window. */
  #expireSlices(): void {
    const present = Math.floor(this.#clock.now() / this.#sliceMs);
    const passed = Math.min(sliceCount, present - this.#slice);
    for (let step = 1; step <= passed; step++) {
      const index = (this.#slice + step) % sliceCount;
      this.#callSum -= this.#calls[index] as number;
      this.#extraAttemptSum -= this.#extraAttempts[index] as number;
      this.#calls[index] = 0;
      this.#extraAttempts[index] = 0;
    }
    // After an idle period longer than the window, all slices are empty and only the position
    // changes.
    this.#slice = present;
  }
}
