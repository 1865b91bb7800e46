import type { Clock, Random } from '@dotterelpass/values';

/** Minimum length of a window; a low rate needs longer ones for a single request. */
const minWindowMs = 500;

/** Time from the start of a window in which its requests may be sent, unless a longer one is set. */
const minUsableMs = 500;

/** Factor by which windows may grow without a new random start. */
const maxGrowthFactor = 2;

/**
 * Limits a rate by windows, each of which allows a whole number of requests. The first window starts
 * at a random time, and requests that are not sent soon after the start of their window lapse: many
 * instances that share a limit would otherwise send their saved requests at the same moment.
 */
export class RateWindow {
  readonly #clock: Clock;

  readonly #random: Random;

  #quota = 0;

  #lengthMs = 0;

  #usableMs = minUsableMs;

  #startsAt = 0;

  #sentCount = 0;

  constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  /**
   * @param perSecond - Requests a second; positive.
   * @param usableMs - Time from the start of a window in which its requests may be sent, if it is
   * longer than usual.
   */
  setRate(perSecond: number, usableMs = minUsableMs): void {
    if (!(perSecond > 0)) throw new RangeError(`rate ${perSecond} is not positive`);
    this.#usableMs = Math.max(minUsableMs, usableMs);
    const quota = Math.max(1, Math.round((perSecond * minWindowMs) / 1000));
    const lengthMs = (quota * 1000) / perSecond;
    const previousMs = this.#lengthMs;
    if (lengthMs === previousMs) return;
    this.#advance();
    const now = this.#clock.now();
    this.#quota = quota;
    this.#lengthMs = lengthMs;
    if (lengthMs > maxGrowthFactor * previousMs) {
      this.#startsAt = now + this.#random.next() * lengthMs;
      this.#sentCount = 0;
    } else if (this.#startsAt > now) {
      this.#startsAt = now + ((this.#startsAt - now) * lengthMs) / previousMs;
    }
  }

  /** @returns The earliest monotonic time at which a request may be sent, in milliseconds. */
  findNextRequestAt(): number {
    this.#advance();
    const now = this.#clock.now();
    if (this.#startsAt > now) return this.#startsAt;
    const isUsable = now - this.#startsAt <= this.#usableMs && this.#sentCount < this.#quota;
    return isUsable ? now : this.#startsAt + this.#lengthMs;
  }

  /** Counts a request that is sent now. */
  recordRequest(): void {
    this.#sentCount += 1;
  }

  #advance(): void {
    const sinceStartMs = this.#clock.now() - this.#startsAt;
    if (this.#lengthMs === 0 || sinceStartMs < this.#lengthMs) return;
    this.#startsAt += Math.floor(sinceStartMs / this.#lengthMs) * this.#lengthMs;
    this.#sentCount = 0;
  }
}
