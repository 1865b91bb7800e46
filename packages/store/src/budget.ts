import type { Clock } from '@dotterelpass/values';

/** Calls a second of all entry instances together. */
export interface FleetRates {
  readonly reads: number;
  readonly writes: number;
}

/**
 * With the burst below and the 200 writes a second that claims of `once` calls make at most, the
 * fleet stays under 400 writes and 2,000 reads in any second.
 */
const defaultRates: FleetRates = { reads: 1500, writes: 150 };

/** Calls that may come at once, as a share of the calls of one second. */
const burstSeconds = 0.25;

/** Keeps this instance's calls within its share of the platform's rates. */
export class RateBudget {
  readonly #clock: Clock;

  readonly #countInstances: () => number;

  readonly #rates: FleetRates;

  readonly #tokens = { reads: 0, writes: 0 };

  #filledAt: number;

  /**
   * @param clock - Source of time.
   * @param countInstances - Number of live entry instances, this one included.
   * @param rates - Rates of the fleet.
   */
  constructor(clock: Clock, countInstances: () => number, rates: FleetRates = defaultRates) {
    if (!(rates.reads > 0 && rates.writes > 0)) {
      throw new RangeError(`rates ${JSON.stringify(rates)} are not positive`);
    }
    this.#clock = clock;
    this.#countInstances = countInstances;
    this.#rates = rates;
    this.#filledAt = clock.now();
  }

  /**
   * Takes the right to one call.
   *
   * @param kind - A waiting watch counts as one read.
   * @returns 0 when the call may go, else the milliseconds after which to ask again.
   */
  acquire(kind: keyof FleetRates): number {
    this.#fill();
    if (this.#tokens[kind] >= 1) {
      this.#tokens[kind] -= 1;
      return 0;
    }
    return Math.ceil(((1 - this.#tokens[kind]) / this.#share(kind)) * 1000);
  }

  #fill(): void {
    const now = this.#clock.now();
    const seconds = (now - this.#filledAt) / 1000;
    this.#filledAt = now;
    for (const kind of ['reads', 'writes'] as const) {
      const rate = this.#share(kind);
      const most = Math.max(1, rate * burstSeconds);
      this.#tokens[kind] = Math.min(most, this.#tokens[kind] + rate * seconds);
    }
  }

  #share(kind: keyof FleetRates): number {
    return this.#rates[kind] / Math.max(1, this.#countInstances());
  }
}
