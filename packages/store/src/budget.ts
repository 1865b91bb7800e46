import type { Clock } from '@dotterelpass/values';

/** Calls per second that all instances together may make. */
export interface FleetRates {
  readonly reads: number;
  readonly writes: number;
}

/**
 * With bursts of `burstSeconds`, and with at most 200 writes per second for claims of `once` calls,
 * which do not draw on this budget, all instances together stay below 400 writes and 2,000 reads in
 * any second.
 */
const defaultRates: FleetRates = { reads: 1500, writes: 150 };

/** Capacity of the token bucket, as seconds of its rate. */
const burstSeconds = 0.25;

/**
 * Token bucket that limits the calls of this instance to its share of the rates that the platform
 * sustains.
 */
export class RateBudget {
  readonly #clock: Clock;

  readonly #countInstances: () => number;

  readonly #rates: FleetRates;

  readonly #tokens = { reads: 0, writes: 0 };

  #refilledAt: number;

  /**
   * @param clock - Source of time.
   * @param countInstances - Returns the number of live instances, including this one.
   * @param rates - Rates of all instances together.
   */
  constructor(clock: Clock, countInstances: () => number, rates: FleetRates = defaultRates) {
    if (!(rates.reads > 0 && rates.writes > 0)) {
      throw new RangeError(`rates ${JSON.stringify(rates)} must be positive`);
    }
    this.#clock = clock;
    this.#countInstances = countInstances;
    this.#rates = rates;
    this.#refilledAt = clock.now();
  }

  /**
   * Takes a token for one call, if there is one.
   *
   * @param kind - Kind of the call. A watch counts as one read, however long it waits.
   * @returns 0 when a token was taken, else the time after which to try again, in milliseconds.
   */
  acquire(kind: keyof FleetRates): number {
    this.#refill();
    if (this.#tokens[kind] >= 1) {
      this.#tokens[kind] -= 1;
      return 0;
    }
    return Math.ceil(((1 - this.#tokens[kind]) / this.#computeShare(kind)) * 1000);
  }

  #refill(): void {
    const now = this.#clock.now();
    const seconds = (now - this.#refilledAt) / 1000;
    this.#refilledAt = now;
    for (const kind of ['reads', 'writes'] as const) {
      const rate = this.#computeShare(kind);
      const capacity = Math.max(1, rate * burstSeconds);
      this.#tokens[kind] = Math.min(capacity, this.#tokens[kind] + rate * seconds);
    }
  }

  #computeShare(kind: keyof FleetRates): number {
    return this.#rates[kind] / Math.max(1, this.#countInstances());
  }
}
