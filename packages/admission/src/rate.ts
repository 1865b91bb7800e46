import type { Clock } from '@dotterelpass/values';

/** Length of the window in which completions are counted, in milliseconds. */
export const rateWindowMs = 1000;
const bucketMs = 50;
/** Weight of one sample in the moving averages. */
const sampleWeight = 0.05;
/** Number of deviations above the mean that a call is expected to take at most. */
const deviationMargin = 2;

/** Estimates the completion rate and the service time of calls. */
export class CompletionRate {
  readonly #clock: Clock;

  /** Completions by bucket number. */
  #buckets: readonly { readonly bucket: number; readonly count: number }[] = [];

  #meanMs = 0;

  #deviationMs = 0;

  #slots = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Mean service time plus a margin for its deviation, in milliseconds. */
  get serviceTimeMs(): number {
    return this.#meanMs + deviationMargin * this.#deviationMs;
  }

  /** @param serviceTimeMs - Service time of a completed call, in milliseconds. */
  recordCompletion(serviceTimeMs: number): void {
    const bucket = Math.floor(this.#clock.now() / bucketMs);
    const last = this.#buckets.at(-1);
    this.#buckets =
      last?.bucket === bucket
        ? [...this.#buckets.slice(0, -1), { bucket, count: last.count + 1 }]
        : [...this.#buckets, { bucket, count: 1 }].filter(
            (entry) => entry.bucket > bucket - rateWindowMs / bucketMs,
          );
    if (this.#meanMs === 0) this.#meanMs = serviceTimeMs;
    const error = serviceTimeMs - this.#meanMs;
    this.#meanMs += sampleWeight * error;
    this.#deviationMs += sampleWeight * (Math.abs(error) - this.#deviationMs);
  }

  /** @param slots - Number of calls that can run at once. */
  setSlots(slots: number): void {
    this.#slots = slots;
  }

  /**
   * Estimates the completion rate: the completions of the last second or, if it is higher, the
   * rate that the slots allow, since demand may have been low.
   *
   * @param isSaturated - Whether calls have been queued during the whole window. Then the
   * completions are the full capacity, and only they count: on a slow host the rate computed from
   * the slots may not be reached.
   * @returns Calls per second.
   */
  estimatePerSecond(isSaturated = false): number {
    const first = Math.floor((this.#clock.now() - rateWindowMs) / bucketMs);
    const completions = this.#buckets
      .filter(({ bucket }) => bucket > first)
      .reduce((sum, { count }) => sum + count, 0);
    if (isSaturated) return completions;
    const slotRate = this.#meanMs > 0 ? (this.#slots * 1000) / this.#meanMs : 0;
    return Math.max(completions, slotRate);
  }
}
