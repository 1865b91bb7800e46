/** Rounding errors may leave a token a little short of one. */
const precision = 1e-9;

/** A token bucket whose rate and capacity may change at any time. */
export class TokenBucket {
  #tokens: number;

  #refilledAt: number;

  /**
   * @param tokens - Tokens at the start.
   * @param now - Monotonic time, in milliseconds.
   */
  constructor(tokens: number, now: number) {
    this.#tokens = tokens;
    this.#refilledAt = now;
  }

  get tokens(): number {
    return this.#tokens;
  }

  /**
   * Adds the tokens that have become due since the last refill.
   *
   * @param now - Monotonic time, in milliseconds.
   * @param perSecond - Tokens a second.
   * @param capacity - Tokens beyond which the bucket keeps none.
   */
  refill(now: number, perSecond: number, capacity: number): void {
    const sinceMs = Math.max(0, now - this.#refilledAt);
    this.#refilledAt = now;
    this.#tokens = Math.min(capacity, this.#tokens + (perSecond * sinceMs) / 1000);
  }

  /** @returns The number of whole tokens taken, at most `wanted`. */
  take(wanted: number): number {
    const taken = Math.max(0, Math.min(wanted, Math.floor(this.#tokens + precision)));
    this.#tokens -= taken;
    return taken;
  }

  /** @returns The number of whole tokens taken, at most `wanted`, of those beyond a reserve. */
  takeBeyond(reserve: number, wanted: number): number {
    return this.take(Math.min(wanted, Math.max(0, Math.floor(this.#tokens - reserve))));
  }

  /** Puts tokens back that were not used. */
  put(count: number, capacity: number): void {
    this.#tokens = Math.max(this.#tokens, Math.min(capacity, this.#tokens + count));
  }
}
