import type { Clock, Random } from '@dotterelpass/values';
import { RateWindow } from './window.js';

/**
 * Share of a limit that the instances use. The rest covers requests of several instances that happen
 * to fall into the same seconds.
 */
const limitShare = 0.75;

/**
 * Requests a second of all instances to an endpoint that names a lower limit or none at all. Only
 * answers show the end of a limit.
 */
const minFleetRate = 0.2;

/** Factor between two limits from which on a change of the limit is reported. */
const reportedChangeFactor = 1.5;

/** What an answer of an endpoint asks for. */
export interface BackpressureSignal {
  /** Requests a second that the endpoint takes from all instances; undefined without a limit. */
  readonly maxRequestsPerSecond: number | undefined;
}

/** A change of what is known of an endpoint. */
export interface BackpressureChange {
  readonly kind: 'limit' | 'limit-ended';
  readonly maxRequestsPerSecond: number | undefined;
}

export interface BackpressureOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Returns the number of instances that share the limits of endpoints. */
  getFleetSize(): number;
}

/** What one process of an endpoint asks for, and what this instance may still send to it. */
export class EndpointBackpressure {
  readonly #options: BackpressureOptions;

  readonly #window: RateWindow;

  #limit: number | undefined;

  #reportedLimit: number | undefined;

  constructor(options: BackpressureOptions) {
    this.#options = options;
    this.#window = new RateWindow(options.clock, options.random);
  }

  /** Requests a second that the endpoint takes from all instances; undefined without a limit. */
  get limit(): number | undefined {
    return this.#limit;
  }

  /** Whether the endpoint may be probed. Probes would use up the requests of a limit. */
  get allowsProbes(): boolean {
    return this.#limit === undefined;
  }

  /** Whether a request may be sent now. */
  get allowsRequest(): boolean {
    return this.findNextRequestAt() <= this.#options.clock.now();
  }

  /**
   * Records what an answer asks for.
   *
   * @param signal - What the answer asks for.
   * @param mayEndLimit - Whether an answer without a limit ends the present one.
   * @returns The change that the answer makes; undefined without one that is worth a report.
   */
  recordSignal(
    { maxRequestsPerSecond }: BackpressureSignal,
    mayEndLimit: boolean,
  ): BackpressureChange | undefined {
    if (maxRequestsPerSecond === undefined && !mayEndLimit) return undefined;
    this.#limit = maxRequestsPerSecond;
    // The windows of this instance start when the endpoint first names a limit.
    this.#updateRate();
    if (!isReportedChange(this.#reportedLimit, maxRequestsPerSecond)) return undefined;
    this.#reportedLimit = maxRequestsPerSecond;
    return {
      kind: maxRequestsPerSecond === undefined ? 'limit-ended' : 'limit',
      maxRequestsPerSecond,
    };
  }

  /** @returns The earliest monotonic time at which a request may be sent, in milliseconds. */
  findNextRequestAt(): number {
    if (this.#limit === undefined) return -Infinity;
    this.#updateRate();
    return this.#window.findNextRequestAt();
  }

  /**
   * Takes the right to send one request now.
   *
   * @returns Whether the request may be sent.
   */
  takeRequest(): boolean {
    if (this.#limit === undefined) return true;
    if (!this.allowsRequest) return false;
    this.#window.recordRequest();
    return true;
  }

  /** @returns What the endpoint asks for, for operators. */
  readStatus(): { readonly limit: number | undefined; readonly waitMs: number } {
    const waitMs = Math.max(0, this.findNextRequestAt() - this.#options.clock.now());
    return { limit: this.#limit, waitMs: Math.round(waitMs) };
  }

  #updateRate(): void {
    if (this.#limit === undefined) return;
    const fleetRate = Math.max(minFleetRate, this.#limit * limitShare);
    this.#window.setRate(fleetRate / Math.max(1, this.#options.getFleetSize()));
  }
}

function isReportedChange(before: number | undefined, after: number | undefined): boolean {
  if (before === undefined || after === undefined) return before !== after;
  return (
    Math.max(before, after) >= reportedChangeFactor * Math.min(before, after) && before !== after
  );
}
