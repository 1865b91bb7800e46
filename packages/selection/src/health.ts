import type { Clock, EndpointId } from '@dotterelpass/values';

/** Constants of the health tracking; the defaults suit calls of some milliseconds. */
export interface HealthOptions {
  /**
   * Weight of a sample below the average. A sample above the average replaces the average at once.
   */
  readonly decreaseWeight: number;
  /**
   * Time constant, in milliseconds, with which the average of an endpoint without new samples
   * decays towards the average of the pool.
   */
  readonly decayMs: number;
  /** Upper bound of one sample, as a multiple of the average latency of its class. */
  readonly maxLatencyRatio: number;
  /** Number of consecutive failures after which an endpoint is ejected. */
  readonly ejectAfterFailures: number;
  /** Length of the first ejection, in milliseconds; each further ejection lasts twice as long. */
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  /** Length of the slow start, in which the usable credits grow from 1 to all, in milliseconds. */
  readonly slowStartMs: number;
  /** Age from which a load report is ignored, in milliseconds. */
  readonly reportMaxAgeMs: number;
}

export const defaultHealthOptions: HealthOptions = {
  decreaseWeight: 0.2,
  decayMs: 2000,
  // A single call that runs 50 times as long as its class says little about its endpoint.
  maxLatencyRatio: 8,
  ejectAfterFailures: 5,
  baseEjectionMs: 1000,
  maxEjectionMs: 60_000,
  slowStartMs: 5000,
  reportMaxAgeMs: 250,
};

interface EndpointState {
  /** Average latency relative to the average of the class; 1 is as fast as the pool. */
  readonly latencyRatio: number;
  readonly latencyRatioAt: number;
  readonly consecutiveFailures: number;
  readonly ejections: number;
  readonly ejectedUntil: number;
  readonly slowStartAt: number;
  /** Calls in the last load report that the fleet did not send. */
  readonly excessCalls: number;
  readonly reportedAt: number;
}

/** Weight of one sample in the average latency of a class or of the service. */
const averageWeight = 0.02;

/** The penalty doubles with each consecutive failure up to this number. */
const maxPenaltyFailures = 6;

/** Health of the endpoints of one service, as observed by this instance. */
export class Health {
  readonly #clock: Clock;

  readonly #options: HealthOptions;

  readonly #states = new Map<EndpointId, EndpointState>();

  readonly #classAverages = new Map<string, number>();

  #averageLatencyMs = 0;

  constructor(clock: Clock, options: Partial<HealthOptions> = {}) {
    this.#clock = clock;
    this.#options = { ...defaultHealthOptions, ...options };
  }

  /**
   * Average latency of the service without the network round trip, in milliseconds; 0 before the
   * first response.
   */
  get averageLatencyMs(): number {
    return this.#averageLatencyMs;
  }

  /**
   * Records a response.
   *
   * @param id - The endpoint.
   * @param className - Class of the call; classes differ in how long their calls run.
   * @param ms - Time from sending the request to the end of the response, without the network
   * round trip.
   */
  recordResponse(id: EndpointId, className: string, ms: number): void {
    const previousMs = this.#classAverages.get(className);
    const classMs = previousMs === undefined ? ms : previousMs + averageWeight * (ms - previousMs);
    this.#classAverages.set(className, classMs);
    this.#averageLatencyMs +=
      (this.#averageLatencyMs === 0 ? 1 : averageWeight) * (ms - this.#averageLatencyMs);
    this.#addSample(id, classMs > 0 ? ms / classMs : 1);
    const state = this.#findState(id);
    const isBackoffOver = this.#clock.now() - state.ejectedUntil > this.#options.maxEjectionMs;
    if (state.consecutiveFailures > 0 || (isBackoffOver && state.ejections > 0)) {
      this.#updateState(id, {
        consecutiveFailures: 0,
        ...(isBackoffOver ? { ejections: 0 } : {}),
      });
    }
  }

  /**
   * Records a failed call. A failure counts as the slowest response, however fast it was, and
   * consecutive failures eject the endpoint.
   *
   * @param id - The endpoint.
   */
  recordFailure(id: EndpointId): void {
    const now = this.#clock.now();
    const state = this.#findState(id);
    this.#addSample(id, this.#options.maxLatencyRatio);
    const consecutiveFailures = state.consecutiveFailures + 1;
    if (consecutiveFailures < this.#options.ejectAfterFailures || now < state.ejectedUntil) {
      this.#updateState(id, { consecutiveFailures });
      return;
    }
    const { baseEjectionMs, maxEjectionMs } = this.#options;
    const ejectionMs = Math.min(baseEjectionMs * 2 ** state.ejections, maxEjectionMs);
    const ejectedUntil = now + ejectionMs;
    this.#updateState(id, {
      consecutiveFailures,
      ejections: state.ejections + 1,
      ejectedUntil,
      // After the ejection the endpoint goes through a slow start, like a new endpoint.
      slowStartAt: ejectedUntil,
    });
  }

  /**
   * Records that an endpoint shed a call. The call counts as the slowest response, since a fast
   * rejection must not attract further calls.
   */
  recordShed(id: EndpointId): void {
    this.#addSample(id, this.#options.maxLatencyRatio);
  }

  /**
   * Records a load report. A report can only reduce the usable credits, so an endpoint that
   * falsely reports to be idle attracts no additional calls.
   *
   * @param id - The endpoint.
   * @param reportedCalls - Running and queued calls that the endpoint reports.
   * @param fleetCalls - Calls that the instances of the fleet have in flight there.
   */
  recordLoadReport(id: EndpointId, reportedCalls: number, fleetCalls: number): void {
    this.#updateState(id, {
      excessCalls: Math.max(0, reportedCalls - fleetCalls),
      reportedAt: this.#clock.now(),
    });
  }

  /** Starts the slow start of an endpoint that was added or is available again. */
  beginSlowStart(id: EndpointId): void {
    this.#updateState(id, { slowStartAt: this.#clock.now(), consecutiveFailures: 0 });
  }

  /** Deletes the state of an endpoint that is no longer in the pool. */
  remove(id: EndpointId): void {
    this.#states.delete(id);
  }

  /**
   * Estimates the latency of the next call to an endpoint.
   *
   * @param id - The endpoint.
   * @param delayMs - One-way network delay to the endpoint, in milliseconds.
   * @returns The average latency plus the network round trip, multiplied by the penalty for
   * consecutive failures, in milliseconds.
   */
  estimateLatencyMs(id: EndpointId, delayMs: number): number {
    const state = this.#findState(id);
    const penalty = 2 ** Math.min(state.consecutiveFailures, maxPenaltyFailures);
    return (this.#averageLatencyMs * this.#computeLatencyRatio(state) + 2 * delayMs) * penalty;
  }

  /**
   * Counts the credits of an endpoint that may be used at present.
   *
   * @param id - The endpoint.
   * @param slots - All its credits.
   * @returns From 1 to `slots`: fewer than `slots` during a slow start and after a load report
   * that shows calls from outside the fleet.
   */
  countCredits(id: EndpointId, slots: number): number {
    const state = this.#findState(id);
    const now = this.#clock.now();
    const progress = Math.min(
      1,
      Math.max(0, (now - state.slowStartAt) / this.#options.slowStartMs),
    );
    const slowStartCredits = Math.floor(1 + (slots - 1) * progress);
    const excessCalls =
      now - state.reportedAt < this.#options.reportMaxAgeMs ? state.excessCalls : 0;
    return Math.max(1, Math.min(slowStartCredits, slots - excessCalls));
  }

  /**
   * Lists the endpoints that get no calls at present.
   *
   * @param ids - The pool.
   * @param minPoolShare - Share of the pool that stays in use regardless of its health.
   * @returns The ejected endpoints; when they exceed what `minPoolShare` permits, only those with
   * the most consecutive failures.
   */
  listEjected(ids: readonly EndpointId[], minPoolShare: number): ReadonlySet<EndpointId> {
    const now = this.#clock.now();
    const ejected = ids.filter((id) => now < this.#findState(id).ejectedUntil);
    if (ejected.length === 0) return new Set();
    const maxEjected = ids.length - Math.ceil(ids.length * minPoolShare);
    const worstFirst = ejected.sort(
      (a, b) => this.#findState(b).consecutiveFailures - this.#findState(a).consecutiveFailures,
    );
    return new Set(worstFirst.slice(0, maxEjected));
  }

  #addSample(id: EndpointId, ratio: number): void {
    const { maxLatencyRatio, decreaseWeight } = this.#options;
    const previous = this.#computeLatencyRatio(this.#findState(id));
    const bounded = Math.min(ratio, maxLatencyRatio);
    const latencyRatio =
      bounded > previous ? bounded : previous + decreaseWeight * (bounded - previous);
    this.#updateState(id, { latencyRatio, latencyRatioAt: this.#clock.now() });
  }

  /**
   * Computes the present latency ratio, which decays towards 1. An endpoint that gets no calls
   * yields no samples, so without the decay it would be avoided forever.
   */
  #computeLatencyRatio({ latencyRatio, latencyRatioAt }: EndpointState): number {
    const ageMs = this.#clock.now() - latencyRatioAt;
    return 1 + (latencyRatio - 1) * Math.exp(-ageMs / this.#options.decayMs);
  }

  #findState(id: EndpointId): EndpointState {
    const state = this.#states.get(id);
    if (state) return state;
    const never = Number.NEGATIVE_INFINITY;
    return {
      latencyRatio: 1,
      latencyRatioAt: 0,
      consecutiveFailures: 0,
      ejections: 0,
      ejectedUntil: never,
      slowStartAt: never,
      excessCalls: 0,
      reportedAt: never,
    };
  }

  #updateState(id: EndpointId, change: Partial<EndpointState>): void {
    this.#states.set(id, { ...this.#findState(id), ...change });
  }
}
