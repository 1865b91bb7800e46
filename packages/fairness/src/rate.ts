import type { Clock } from '@dotterelpass/values';

/** Time constant of the measurement. */
const windowMs = 2000;

/** Time for which calls must have waited before the rate says anything. */
const minMeasuredMs = 500;

/** Standard deviations by which the upper bound exceeds the measured number of calls. */
const boundDeviations = 2;

/** Calls that the upper bound adds: with none seen, three or more are expected in 1 of 20 cases. */
const boundCalls = 3;

/**
 * Measures how much endpoint time a service gives to this instance while calls wait. At other times
 * the rate is that of the demand and says nothing about the capacity.
 */
export class ServiceRate {
  readonly #clock: Clock;

  /** Time since which calls have been waiting. */
  #measuredSince: number | undefined;

  #updatedAt = 0;

  /** Decayed number of calls, and their decayed endpoint time in milliseconds. */
  #calls = 0;

  #workMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Starts a measurement: calls begin to wait. */
  start(): void {
    this.#measuredSince = this.#clock.now();
    this.#updatedAt = this.#measuredSince;
    this.#calls = 0;
    this.#workMs = 0;
  }

  /** Ends the measurement: no call waits any more. */
  end(): void {
    this.#measuredSince = undefined;
  }

  /** Records a call that was sent. */
  record(costMs: number): void {
    if (this.#measuredSince === undefined) return;
    this.#advance();
    this.#calls += 1;
    this.#workMs += costMs;
  }

  /**
   * Estimates the endpoint time that is given in one millisecond.
   *
   * @param usualCostMs - Endpoint time of a call, for the case that none was seen.
   * @returns The measured value and an upper bound; undefined while too little was measured.
   */
  estimate(usualCostMs: number): { readonly mean: number; readonly bound: number } | undefined {
    if (this.#measuredSince === undefined) return undefined;
    const elapsedMs = this.#clock.now() - this.#measuredSince;
    if (elapsedMs < minMeasuredMs) return undefined;
    this.#advance();
    const weighedMs = windowMs * (1 - Math.exp(-elapsedMs / windowMs));
    const meanCostMs = this.#calls > 0 ? this.#workMs / this.#calls : usualCostMs;
    const boundedCalls = this.#calls + boundDeviations * Math.sqrt(this.#calls) + boundCalls;
    return {
      mean: this.#workMs / weighedMs,
      bound: (boundedCalls * Math.max(meanCostMs, usualCostMs)) / weighedMs,
    };
  }

  #advance(): void {
    const now = this.#clock.now();
    const retention = Math.exp((this.#updatedAt - now) / windowMs);
    this.#calls *= retention;
    this.#workMs *= retention;
    this.#updatedAt = now;
  }
}
