import { RateWindow } from '@dotterelpass/quota';
import type { Clock, Random } from '@dotterelpass/values';

/** Largest fleet whose instances use the whole of a limit. */
const maxSmallFleet = 8;

/**
 * Share of a limit that larger fleets use. The rest covers requests of many instances that happen to
 * fall into the same seconds.
 */
const largeFleetShare = 0.75;

/**
 * Requests a second of all instances to an endpoint that names a lower limit or none at all. Only
 * answers show the end of a limit.
 */
const minFleetRate = 0.2;

/** Longest time for which an endpoint is left alone because of one answer. */
const maxQuietMs = 600_000;

/** Factor between two limits from which on a change of the limit is reported. */
const reportedChangeFactor = 1.5;

/** What an answer of an endpoint asks for. */
export interface BackpressureSignal {
  /** Requests a second that the endpoint takes from all instances; undefined without a limit. */
  readonly maxRequestsPerSecond: number | undefined;
  /** Whether the endpoint is about to stop. */
  readonly isLeaving: boolean;
  /** Time for which the endpoint wants no request of this instance, in milliseconds; 0 without one. */
  readonly quietMs: number;
}

/** A change of what is known of an endpoint. */
export type BackpressureChange =
  | { readonly kind: 'limit'; readonly maxRequestsPerSecond: number }
  | { readonly kind: 'limit-ended' }
  | { readonly kind: 'leaving' }
  | { readonly kind: 'quiet'; readonly quietMs: number };

/** What an endpoint asks for at present. */
export interface BackpressureStatus {
  readonly maxRequestsPerSecond: number | undefined;
  readonly isLeaving: boolean;
  /** Time for which the endpoint still gets no request, in milliseconds. */
  readonly quietMs: number;
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

  #isLeaving = false;

  #quietUntil = -Infinity;

  constructor(options: BackpressureOptions) {
    this.#options = options;
    this.#window = new RateWindow(options.clock, options.random);
  }

  /** Requests a second that the endpoint takes from all instances; undefined without a limit. */
  get limit(): number | undefined {
    return this.#limit;
  }

  /** Whether the process of the endpoint is about to stop; it gets no further request. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Whether the endpoint may be probed. Probes would use up the requests of a limit. */
  get allowsProbes(): boolean {
    return this.#limit === undefined && this.allowsRequest;
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
   * @returns The changes that the answer makes and that are worth a report.
   */
  recordSignal(signal: BackpressureSignal, mayEndLimit: boolean): readonly BackpressureChange[] {
    const { maxRequestsPerSecond, isLeaving, quietMs } = signal;
    const changes: BackpressureChange[] = [];
    if (quietMs > 0) this.#extendQuiet(Math.min(maxQuietMs, quietMs), changes);
    if (isLeaving && !this.#isLeaving) {
      this.#isLeaving = true;
      changes.push({ kind: 'leaving' });
    }
    if (maxRequestsPerSecond !== undefined || mayEndLimit) {
      this.#setLimit(maxRequestsPerSecond, changes);
    }
    return changes;
  }

  /**
   * @returns The earliest monotonic time at which a request may be sent, in milliseconds; infinite
   * for an endpoint that is leaving.
   */
  findNextRequestAt(): number {
    if (this.#isLeaving) return Infinity;
    if (this.#limit === undefined) return this.#quietUntil;
    this.#updateRate();
    return Math.max(this.#quietUntil, this.#window.findNextRequestAt());
  }

  /**
   * Takes the right to send one request now.
   *
   * @returns Whether the request may be sent.
   */
  takeRequest(): boolean {
    if (!this.allowsRequest) return false;
    if (this.#limit !== undefined) this.#window.recordRequest();
    return true;
  }

  /** Whether the endpoint asks for anything at present. */
  get isAsking(): boolean {
    return (
      this.#isLeaving || this.#limit !== undefined || this.#quietUntil > this.#options.clock.now()
    );
  }

  /** @returns What the endpoint asks for, for operators. */
  readStatus(): BackpressureStatus {
    const quietMs = Math.max(0, this.#quietUntil - this.#options.clock.now());
    return { maxRequestsPerSecond: this.#limit, isLeaving: this.#isLeaving, quietMs };
  }

  /** Several answers may ask for quiet at once; the longest time counts, the first is reported. */
  #extendQuiet(quietMs: number, changes: BackpressureChange[]): void {
    const now = this.#options.clock.now();
    if (this.#quietUntil <= now) changes.push({ kind: 'quiet', quietMs });
    this.#quietUntil = Math.max(this.#quietUntil, now + quietMs);
  }

  #setLimit(limit: number | undefined, changes: BackpressureChange[]): void {
    this.#limit = limit;
    // The windows of this instance start when the endpoint first names a limit.
    this.#updateRate();
    if (!isReportedChange(this.#reportedLimit, limit)) return;
    this.#reportedLimit = limit;
    changes.push(
      limit === undefined
        ? { kind: 'limit-ended' }
        : { kind: 'limit', maxRequestsPerSecond: limit },
    );
  }

  #updateRate(): void {
    if (this.#limit === undefined) return;
    const fleetSize = Math.max(1, this.#options.getFleetSize());
    const share = fleetSize > maxSmallFleet ? largeFleetShare : 1;
    this.#window.setRate(Math.max(minFleetRate, this.#limit * share) / fleetSize);
  }
}

function isReportedChange(before: number | undefined, after: number | undefined): boolean {
  if (before === undefined || after === undefined) return before !== after;
  return (
    Math.max(before, after) >= reportedChangeFactor * Math.min(before, after) && before !== after
  );
}
