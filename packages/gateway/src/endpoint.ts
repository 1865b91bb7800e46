import { ConnectionPool } from '@dotterelpass/proxy';
import type { LogFields } from '@dotterelpass/telemetry';
import type { Clock } from '@dotterelpass/values';
import type { Registration } from './catalog.js';
import type { LoadReport } from './codec.js';

/** How an attempt on an endpoint ended, as far as its health goes. */
export type AttemptEnding = 'answered' | 'failed' | 'shed' | 'unreachable' | 'cancelled';

/** Failures count half after this time, in milliseconds. */
const scoreHalfLifeMs = 2000;

/** Time for which an endpoint that did not react to a probe or a connection is left out. */
const unreachableMs = 500;

/** Time to establish a connection; the way there and back takes some milliseconds. */
const connectTimeoutMs = 250;

/** Idle connections are closed before the endpoint's own timeout, of which this share is used. */
const idleTimeoutShare = 0.6;

const maxIdleMs = 5000;

const maxFailureScore = 16;

/** One endpoint as this instance knows it. */
export class Endpoint {
  readonly #clock: Clock;

  #registration: Registration;

  #warmUntil: number;

  #report: LoadReport | undefined;

  #reportedAt = -Infinity;

  /** Calls of this instance on the endpoint. */
  #inFlight = 0;

  /** Calls sent since the last report, which does not show them. */
  #sentSinceReport = 0;

  #failureScore = 0;

  #shedScore = 0;

  #scoredAt = -Infinity;

  #unreachableUntil = -Infinity;

  #isHealthy = true;

  readonly #pool: ConnectionPool;

  constructor(registration: Registration, maxConnections: number, clock: Clock) {
    this.#clock = clock;
    this.#registration = registration;
    this.#warmUntil = clock.now() + registration.warmupMs;
    this.#pool = new ConnectionPool(registration.address, maxConnections, {
      connectTimeoutMs,
      idleMs: maxIdleMs,
      allowCloseDelimited: true,
      // Idempotent calls go to a second endpoint when the first is silent.
      stallMs: Infinity,
    });
  }

  get registration(): Registration {
    return this.#registration;
  }

  get pool(): ConnectionPool {
    return this.#pool;
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  get report(): LoadReport | undefined {
    return this.#report;
  }

  /** Age of the last report, in milliseconds. */
  get reportAgeMs(): number {
    return this.#clock.now() - this.#reportedAt;
  }

  get isWarm(): boolean {
    return this.#clock.now() >= this.#warmUntil;
  }

  /** Whether it reacted when it was last tried, or that was long ago. */
  get isReachable(): boolean {
    return this.#clock.now() >= this.#unreachableUntil;
  }

  /** What its last liveness check said. It may be wrong, so it counts less than answers do. */
  get isHealthy(): boolean {
    return this.#isHealthy;
  }

  /** Calls that a new call finds there: those reported and those sent since. */
  get load(): number {
    if (!this.#report) return this.#inFlight;
    return Math.max(this.#report.running + this.#report.waiting + this.#sentSinceReport, 0);
  }

  /** Recent failures, of which an old one counts less. */
  get failureScore(): number {
    return this.#failureScore * this.#calculateDecay();
  }

  /** Recent refusals by the endpoint. */
  get shedScore(): number {
    return this.#shedScore * this.#calculateDecay();
  }

  /** @param registration - What is registered now, of the same process. */
  setRegistration(registration: Registration): void {
    this.#registration = registration;
  }

  /**
   * Records a load report.
   *
   * @param report - The report.
   * @param endedHere - Calls of this instance that the report still counts and that have ended.
   */
  recordReport(report: LoadReport, endedHere = 0): void {
    this.#report = { ...report, running: Math.max(0, report.running - endedHere) };
    this.#reportedAt = this.#clock.now();
    this.#sentSinceReport = 0;
    this.#unreachableUntil = -Infinity;
  }

  /** @param timeoutMs - The endpoint's own idle timeout, in milliseconds. */
  setIdleTimeout(timeoutMs: number): void {
    this.#pool.setIdleMs(Math.min(maxIdleMs, timeoutMs * idleTimeoutShare));
  }

  setHealthy(isHealthy: boolean): void {
    this.#isHealthy = isHealthy;
  }

  startCall(): void {
    this.#inFlight += 1;
    this.#sentSinceReport += 1;
  }

  /** @param ending - How the call that `startCall` began has ended. */
  endCall(ending: AttemptEnding): void {
    this.#inFlight -= 1;
    this.#sentSinceReport = Math.max(0, this.#sentSinceReport - 1);
    if (ending === 'cancelled') return;
    this.#addToScores(
      ending === 'failed' || ending === 'unreachable' ? 1 : 0,
      ending === 'shed' ? 1 : 0,
      ending === 'answered' ? 0.7 : 1,
    );
    if (ending === 'unreachable') this.recordUnreachable();
  }

  /** The endpoint did not react: it gets no call until it may be tried again. */
  recordUnreachable(): void {
    this.#unreachableUntil = this.#clock.now() + unreachableMs;
    this.#report = undefined;
    this.#reportedAt = -Infinity;
  }

  /** @returns What an operator may want to know of the endpoint, as JSON. */
  readStatus(): LogFields {
    const { id, address, failureDomain, slots } = this.#registration;
    return {
      id,
      address,
      failureDomain,
      slots,
      report: this.#report,
      reportAgeMs: Math.round(this.reportAgeMs),
      inFlight: this.#inFlight,
      connections: this.#pool.size,
      isReachable: this.isReachable,
      isHealthy: this.#isHealthy,
      isWarm: this.isWarm,
      failureScore: this.failureScore,
      shedScore: this.shedScore,
    };
  }

  close(): void {
    this.#pool.close();
  }

  #addToScores(failure: number, shed: number, keep: number): void {
    const decay = this.#calculateDecay() * keep;
    this.#failureScore = Math.min(maxFailureScore, this.#failureScore * decay + failure);
    this.#shedScore = Math.min(maxFailureScore, this.#shedScore * decay + shed);
    this.#scoredAt = this.#clock.now();
  }

  #calculateDecay(): number {
    return 0.5 ** ((this.#clock.now() - this.#scoredAt) / scoreHalfLifeMs);
  }
}
