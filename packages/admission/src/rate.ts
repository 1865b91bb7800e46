import type { Clock } from '@dotterelpass/values';

/** Completions are counted over this time, in milliseconds. */
export const windowMs = 1000;
const bucketMs = 50;
const sampleWeight = 0.05;
/** Deviations above the mean that a call is expected to take at most. */
const margin = 2;

/** How many calls end a second, and how long one takes. */
export class CompletionRate {
  readonly #clock: Clock;

  /** Completions by the number of their bucket. */
  #buckets: readonly { readonly bucket: number; readonly count: number }[] = [];

  #meanMs = 0;

  #deviationMs = 0;

  #slots = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Mean time of a call with a margin for its spread, in milliseconds. */
  get serviceMs(): number {
    return this.#meanMs + margin * this.#deviationMs;
  }

  /** @param serviceMs - Time of a call that has ended, in milliseconds. */
  record(serviceMs: number): void {
    const bucket = Math.floor(this.#clock.now() / bucketMs);
    const last = this.#buckets.at(-1);
    this.#buckets =
      last?.bucket === bucket
        ? [...this.#buckets.slice(0, -1), { bucket, count: last.count + 1 }]
        : [...this.#buckets, { bucket, count: 1 }].filter(
            (entry) => entry.bucket > bucket - windowMs / bucketMs,
          );
    if (this.#meanMs === 0) this.#meanMs = serviceMs;
    const error = serviceMs - this.#meanMs;
    this.#meanMs += sampleWeight * error;
    this.#deviationMs += sampleWeight * (Math.abs(error) - this.#deviationMs);
  }

  /** @param slots - Calls that can run at once. */
  recordSlots(slots: number): void {
    this.#slots = slots;
  }

  /**
   * Reads the rate of completions: those of the last second, or what the slots allow when
   * demand was lower than that.
   *
   * @param isSaturated - Whether calls have waited for the whole window. Then the completions
   * are all that could be done, and the slots may promise more than a slow host can keep.
   * @returns Calls a second.
   */
  readPerSecond(isSaturated = false): number {
    const first = Math.floor((this.#clock.now() - windowMs) / bucketMs);
    const recent = this.#buckets
      .filter(({ bucket }) => bucket > first)
      .reduce((sum, { count }) => sum + count, 0);
    if (isSaturated) return recent;
    const possible = this.#meanMs > 0 ? (this.#slots * 1000) / this.#meanMs : 0;
    return Math.max(recent, possible);
  }
}
