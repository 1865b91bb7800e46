import type { EndpointBackpressure } from '@dotterelpass/backpressure';
import { ConnectionPool } from '@dotterelpass/proxy';
import type { LogFields } from '@dotterelpass/telemetry';
import type { Clock } from '@dotterelpass/values';
import type { Registration } from './catalog.js';
import type { LoadReport } from './codec.js';
import { EndpointWarmup } from './warmup.js';

/** Outcome of an attempt, for the failure and shed scores of its endpoint. */
export type AttemptEnding = 'answered' | 'failed' | 'shed' | 'unreachable' | 'cancelled';

/** Half-life of the failure and shed scores. */
const scoreHalfLifeMs = 2000;

/** Time for which an endpoint is ejected after an unanswered probe or a failed connection. */
const ejectionMs = 500;

/** Connection timeout; a round trip takes only some milliseconds. */
const connectTimeoutMs = 250;

/** Share of the endpoint's idle timeout after which idle connections are closed on this side. */
const idleTimeoutShare = 0.8;

/** Time after which idle connections are closed on this side if the endpoint states no timeout. */
const defaultIdleMs = 5000;

/** Maximum time for which idle connections are kept. */
const maxIdleMs = 60_000;

const maxFailureScore = 16;

/** An endpoint with its connections, load report and recent failures, as seen by this instance. */
export class Endpoint {
  readonly #clock: Clock;

  #registration: Registration;

  #report: LoadReport | undefined;

  #reportedAt = -Infinity;

  /** Calls in flight from this instance. */
  #inFlight = 0;

  /** Calls sent since the last report, which does not include them. */
  #sentSinceReport = 0;

  #failureScore = 0;

  #shedScore = 0;

  #scoredAt = -Infinity;

  #unreachableUntil = -Infinity;

  #unreachableAt = -Infinity;

  #answeredAt = -Infinity;

  #isHealthy = true;

  #isEvacuated = false;

  /** Whether the last probe found that new connections wait for a slot or are reset. */
  #isFull = false;

  readonly #pool: ConnectionPool;

  readonly #onConnectionLost: (endpoint: Endpoint) => void;

  /** What the endpoint asks for in its answers. */
  readonly backpressure: EndpointBackpressure;

  readonly warmup: EndpointWarmup;

  constructor(
    registration: Registration,
    maxConnections: number,
    clock: Clock,
    backpressure: EndpointBackpressure,
    onConnectionLost: (endpoint: Endpoint) => void = () => undefined,
  ) {
    this.backpressure = backpressure;
    this.#clock = clock;
    this.#registration = registration;
    this.#onConnectionLost = onConnectionLost;
    this.warmup = new EndpointWarmup(clock, registration.warmupMs);
    this.#pool = new ConnectionPool(registration.address, maxConnections, {
      connectTimeoutMs,
      idleMs: defaultIdleMs,
      allowCloseDelimited: true,
      // Stalled idempotent calls are hedged instead.
      stallMs: Infinity,
      onIdleLost: () => onConnectionLost(this),
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
    return !this.warmup.isCold;
  }

  /** Whether the endpoint lets this instance send a request now. */
  get allowsRequest(): boolean {
    return this.findNextRequestAt() <= this.#clock.now();
  }

  /**
   * @returns The earliest monotonic time at which a request may be sent, in milliseconds; infinite
   * for an endpoint that is leaving.
   */
  findNextRequestAt(): number {
    return Math.max(this.backpressure.findNextRequestAt(), this.warmup.notBefore);
  }

  /** Whether the endpoint is not ejected after a failed connection or probe. */
  get isReachable(): boolean {
    return this.#clock.now() >= this.#unreachableUntil;
  }

  /** Monotonic time at which the endpoint was last found to be unreachable, in milliseconds. */
  get unreachableAt(): number {
    return this.#unreachableAt;
  }

  /** Monotonic time of its last answer to a call or probe, in milliseconds. */
  get answeredAt(): number {
    return this.#answeredAt;
  }

  /** Result of the last health probe. It may be wrong, so it weighs less than call failures. */
  get isHealthy(): boolean {
    return this.#isHealthy;
  }

  /** Whether operators have evacuated its failure domain, so that it gets nothing more. */
  get isEvacuated(): boolean {
    return this.#isEvacuated;
  }

  /** Estimated calls running or queued there: those last reported and those sent since. */
  get load(): number {
    const fullLoad = this.#isFull ? this.#registration.slots : 0;
    if (!this.#report) return Math.max(fullLoad, this.#inFlight);
    const { running, waiting } = this.#report;
    return Math.max(fullLoad, running + waiting + this.#sentSinceReport);
  }

  /** Exponentially decaying count of failures. */
  get failureScore(): number {
    return this.#failureScore * this.#calculateDecay();
  }

  /** Exponentially decaying count of calls that the endpoint shed. */
  get shedScore(): number {
    return this.#shedScore * this.#calculateDecay();
  }

  /** @param registration - New registration of the same process. */
  setRegistration(registration: Registration): void {
    // A registration that was not written again has no new warm-up time.
    if (registration !== this.#registration) this.warmup.setRegistered(registration.warmupMs);
    this.#registration = registration;
  }

  /**
   * Records a load report.
   *
   * @param report - The report.
   * @param endedHere - Calls of this instance that have ended but are included in the report.
   */
  recordReport(report: LoadReport, endedHere = 0): void {
    this.#report = { ...report, running: Math.max(0, report.running - endedHere) };
    this.#reportedAt = this.#clock.now();
    this.#answeredAt = this.#reportedAt;
    this.#sentSinceReport = 0;
    this.#unreachableUntil = -Infinity;
    this.#isFull = false;
  }

  /**
   * Records that the endpoint accepts connections but has no slot for a probe on a new one. Without
   * a report it would look idle.
   */
  recordFull(): void {
    this.#isFull = true;
  }

  /** @param timeoutMs - Idle timeout of the endpoint, in milliseconds. */
  setIdleTimeout(timeoutMs: number): void {
    this.#pool.setIdleMs(Math.min(maxIdleMs, timeoutMs * idleTimeoutShare));
  }

  setHealthy(isHealthy: boolean): void {
    this.#isHealthy = isHealthy;
  }

  /**
   * Sets whether its failure domain is evacuated. Requests that still wait for a connection would be
   * sent late, so they fail; those that have one are not disturbed.
   */
  setEvacuated(isEvacuated: boolean): void {
    if (isEvacuated === this.#isEvacuated) return;
    this.#isEvacuated = isEvacuated;
    if (!isEvacuated) return;
    this.#pool.closeIdle();
    this.#pool.abortQueued();
  }

  startCall(): void {
    this.#inFlight += 1;
    this.#sentSinceReport += 1;
  }

  /** @param ending - Outcome of a call that was counted by `startCall`. */
  endCall(ending: AttemptEnding): void {
    this.#inFlight -= 1;
    this.#sentSinceReport = Math.max(0, this.#sentSinceReport - 1);
    if (ending === 'cancelled') return;
    if (ending === 'answered' || ending === 'shed') this.#answeredAt = this.#clock.now();
    this.#addToScores(
      ending === 'failed' || ending === 'unreachable' ? 1 : 0,
      ending === 'shed' ? 1 : 0,
      ending === 'answered' ? 0.7 : 1,
    );
    if (ending === 'unreachable') this.recordUnreachable();
  }

  /** Ejects the endpoint for a short time because it did not respond. */
  recordUnreachable(): void {
    // What ends while the endpoint gets nothing more says nothing of its reach afterwards.
    if (this.#isEvacuated) return;
    this.#unreachableAt = this.#clock.now();
    this.#unreachableUntil = this.#unreachableAt + ejectionMs;
    this.#report = undefined;
    this.#reportedAt = -Infinity;
    this.#isFull = false;
    this.#onConnectionLost(this);
  }

  /** @returns The state of the endpoint as JSON, for operators. */
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
      isFull: this.#isFull,
      isHealthy: this.#isHealthy,
      isWarm: this.isWarm,
      warmup: this.warmup.readStatus(),
      asksFor: this.backpressure.readStatus(),
      failureScore: this.failureScore,
      shedScore: this.shedScore,
    };
  }

  close(): void {
    this.#pool.close();
  }

  #addToScores(failure: number, shed: number, retention: number): void {
    const decay = this.#calculateDecay() * retention;
    this.#failureScore = Math.min(maxFailureScore, this.#failureScore * decay + failure);
    this.#shedScore = Math.min(maxFailureScore, this.#shedScore * decay + shed);
    this.#scoredAt = this.#clock.now();
  }

  #calculateDecay(): number {
    return 0.5 ** ((this.#clock.now() - this.#scoredAt) / scoreHalfLifeMs);
  }
}
