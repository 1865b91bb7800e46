import type { Clock, EndpointId } from '@dotterelpass/values';

/** Constants of the health averages; the defaults suit calls of some milliseconds. */
export interface HealthOptions {
  /** Share of a faster answer in the average. A slower one takes the place of the average. */
  readonly fallWeight: number;
  /** Time in which an average that gets no samples approaches the pool's, in milliseconds. */
  readonly forgetMs: number;
  /** One answer counts for at most this many times the average of its class. */
  readonly maxRatio: number;
  /** Failures in a row that eject an endpoint. */
  readonly ejectAfter: number;
  /** Length of the first ejection; each further one is twice as long, in milliseconds. */
  readonly ejectMs: number;
  readonly maxEjectMs: number;
  /** Time in which a cold endpoint's credits grow from 1 to all, in milliseconds. */
  readonly coldMs: number;
  /** Time after which a load report no longer counts, in milliseconds. */
  readonly reportMs: number;
}

export const defaultHealthOptions: HealthOptions = {
  fallWeight: 0.2,
  forgetMs: 2000,
  // One call that runs 50 times longer than its class says little about its endpoint.
  maxRatio: 8,
  ejectAfter: 5,
  ejectMs: 1000,
  maxEjectMs: 60_000,
  coldMs: 5000,
  reportMs: 250,
};

interface State {
  /** Average answer time relative to the class's average; 1 is as fast as the pool. */
  readonly ratio: number;
  readonly ratioAt: number;
  readonly failures: number;
  readonly ejections: number;
  readonly ejectedUntil: number;
  readonly coldSince: number;
  /** Calls from elsewhere that the last report showed. */
  readonly excess: number;
  readonly reportedAt: number;
}

/** Weight of one answer in the average of its class. */
const classWeight = 0.02;

const maxPenaltyFailures = 6;

/** What this instance has learned of the endpoints of one service. */
export class Health {
  readonly #clock: Clock;

  readonly #options: HealthOptions;

  readonly #states = new Map<EndpointId, State>();

  readonly #classes = new Map<string, number>();

  #averageMs = 0;

  constructor(clock: Clock, options: Partial<HealthOptions> = {}) {
    this.#clock = clock;
    this.#options = { ...defaultHealthOptions, ...options };
  }

  /** Average answer time of the service, without the way, in milliseconds; 0 before the first. */
  get averageLatencyMs(): number {
    return this.#averageMs;
  }

  /**
   * Records an answer.
   *
   * @param id - The endpoint.
   * @param className - Class of the call; classes differ in how long their calls run.
   * @param ms - Time from sending the request to the end of the answer, without the way.
   */
  recordResponse(id: EndpointId, className: string, ms: number): void {
    const known = this.#classes.get(className);
    const classMs = known === undefined ? ms : known + classWeight * (ms - known);
    this.#classes.set(className, classMs);
    this.#averageMs += (this.#averageMs === 0 ? 1 : classWeight) * (ms - this.#averageMs);
    this.#sample(id, classMs > 0 ? ms / classMs : 1);
    const state = this.#find(id);
    const isForgiven = this.#clock.now() - state.ejectedUntil > this.#options.maxEjectMs;
    if (state.failures > 0 || (isForgiven && state.ejections > 0)) {
      this.#set(id, { failures: 0, ...(isForgiven ? { ejections: 0 } : {}) });
    }
  }

  /**
   * Records a failed call. It counts as the slowest answer, however fast it came, and failures
   * in a row eject the endpoint.
   *
   * @param id - The endpoint.
   */
  recordFailure(id: EndpointId): void {
    const now = this.#clock.now();
    const state = this.#find(id);
    this.#sample(id, this.#options.maxRatio);
    const failures = state.failures + 1;
    if (failures < this.#options.ejectAfter || now < state.ejectedUntil) {
      this.#set(id, { failures });
      return;
    }
    const { ejectMs, maxEjectMs } = this.#options;
    const lengthMs = Math.min(ejectMs * 2 ** state.ejections, maxEjectMs);
    const ejectedUntil = now + lengthMs;
    this.#set(id, {
      failures,
      ejections: state.ejections + 1,
      ejectedUntil,
      // It returns like an endpoint that has just started.
      coldSince: ejectedUntil,
    });
  }

  /** Records that an endpoint shed a call. A fast refusal must not attract the next call. */
  recordShed(id: EndpointId): void {
    this.#sample(id, this.#options.maxRatio);
  }

  /**
   * Records a load report. A report can only take credits away: a false report of idleness
   * attracts no calls.
   *
   * @param id - The endpoint.
   * @param calls - Running and queued calls that the endpoint reports.
   * @param known - Calls that the fleet is known to have there.
   */
  recordLoadReport(id: EndpointId, calls: number, known: number): void {
    this.#set(id, { excess: Math.max(0, calls - known), reportedAt: this.#clock.now() });
  }

  /** Begins the cold start of an endpoint: it was added, or has come back. */
  beginSlowStart(id: EndpointId): void {
    this.#set(id, { coldSince: this.#clock.now(), failures: 0 });
  }

  /** Forgets an endpoint that left the pool. */
  remove(id: EndpointId): void {
    this.#states.delete(id);
  }

  /**
   * Finds the expected time of a call.
   *
   * @param id - The endpoint.
   * @param delayMs - One-way delay to it, in milliseconds.
   * @returns The average with the way to the endpoint and back, times its penalty, in
   * milliseconds.
   */
  estimateLatencyMs(id: EndpointId, delayMs: number): number {
    const state = this.#find(id);
    const penalty = 2 ** Math.min(state.failures, maxPenaltyFailures);
    return (this.#averageMs * this.#readRatio(state) + 2 * delayMs) * penalty;
  }

  /**
   * Counts the credits of an endpoint that may be used at present.
   *
   * @param id - The endpoint.
   * @param slots - All its credits.
   * @returns From 1 to `slots`: fewer in a cold start and after a report of calls from elsewhere.
   */
  countCredits(id: EndpointId, slots: number): number {
    const state = this.#find(id);
    const now = this.#clock.now();
    const warm = Math.min(1, Math.max(0, (now - state.coldSince) / this.#options.coldMs));
    const ramp = Math.floor(1 + (slots - 1) * warm);
    const excess = now - state.reportedAt < this.#options.reportMs ? state.excess : 0;
    return Math.max(1, Math.min(ramp, slots - excess));
  }

  /**
   * Lists the endpoints that get no calls at present.
   *
   * @param ids - The pool.
   * @param minPoolShare - Share of the pool that stays in use whatever its health.
   * @returns The ejected endpoints, the worst of them when too many are unhealthy.
   */
  listEjected(ids: readonly EndpointId[], minPoolShare: number): ReadonlySet<EndpointId> {
    const now = this.#clock.now();
    const ejected = ids.filter((id) => now < this.#find(id).ejectedUntil);
    if (ejected.length === 0) return new Set();
    const most = ids.length - Math.ceil(ids.length * minPoolShare);
    const worstFirst = ejected.sort((a, b) => this.#find(b).failures - this.#find(a).failures);
    return new Set(worstFirst.slice(0, most));
  }

  #sample(id: EndpointId, ratio: number): void {
    const { maxRatio, fallWeight } = this.#options;
    const before = this.#readRatio(this.#find(id));
    const bounded = Math.min(ratio, maxRatio);
    const next = bounded > before ? bounded : before + fallWeight * (bounded - before);
    this.#set(id, { ratio: next, ratioAt: this.#clock.now() });
  }

  /** An endpoint that is avoided gives no samples: it must be tried again after some time. */
  #readRatio({ ratio, ratioAt }: State): number {
    const age = this.#clock.now() - ratioAt;
    return 1 + (ratio - 1) * Math.exp(-age / this.#options.forgetMs);
  }

  #find(id: EndpointId): State {
    const known = this.#states.get(id);
    if (known) return known;
    const never = Number.NEGATIVE_INFINITY;
    return {
      ratio: 1,
      ratioAt: 0,
      failures: 0,
      ejections: 0,
      ejectedUntil: never,
      coldSince: never,
      excess: 0,
      reportedAt: never,
    };
  }

  #set(id: EndpointId, change: Partial<State>): void {
    this.#states.set(id, { ...this.#find(id), ...change });
  }
}
