import { makeEndpointKey } from '@dotterelpass/quota';
import type { FleetLimiter, LimitSpec } from '@dotterelpass/quota';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import type { Clock, ServiceId } from '@dotterelpass/values';
import type { Endpoint } from './endpoint.js';

/**
 * Time after its last health check answer from which on it is unknown whether an endpoint is cold. A
 * probe is answered within this time, or the endpoint counts as unreachable.
 */
const maxCheckAgeMs = 3000;

/**
 * Burst of the limit of a cold endpoint. A token is used up to 250 ms after its grant, so the requests
 * of any one second were granted within 1.25 s: at most 1.25 x rate + burst, and one burst more when
 * another coordinator takes over the limit. With 2, that is 1.25 x rate + 4 and stays below the bound
 * of 1.5 x rate + 8 for every rate. The rest is left for requests that are under way to an endpoint
 * when it turns cold, and for instances that count at two coordinators: even if half of them do, the
 * sum is 1.5 x 1.25 x rate + 4, which is 12.6 of 14.9 at 4.6 a second.
 */
const burst = 2;

/** Minimum time for which an endpoint is left alone after a denied token. */
const minDenialMs = 5;

/** The limits of cold endpoints have no versions; all instances derive the same from their services. */
const limitVersion = 0;

/** What shows whether an endpoint is cold. */
export type WarmupEvidence = 'registration' | 'health-check';

/** A cold endpoint, as shown to operators. */
export interface WarmupStatus {
  /** Time until the endpoint is warm, as far as is known, in milliseconds. */
  readonly leftMs: number;
  /** Requests of this instance since it is cold. */
  readonly granted: number;
  /** Requests of this instance for which there was no token since it is cold. */
  readonly denied: number;
}

/** Whether an endpoint is cold, as one instance knows it. */
export class EndpointWarmup {
  readonly #clock: Clock;

  #registeredUntil: number;

  #reportedUntil = -Infinity;

  #checkedAt = -Infinity;

  /** Until when there is no token for this instance. */
  #notBefore = -Infinity;

  #wasCold = false;

  #granted = 0;

  #denied = 0;

  /**
   * @param clock - Source of time.
   * @param registeredMs - Remaining warm-up time in the registration, in milliseconds.
   */
  constructor(clock: Clock, registeredMs: number) {
    this.#clock = clock;
    this.#registeredUntil = clock.now() + registeredMs;
  }

  /** Whether the registration or the last health check says that the endpoint is cold. */
  get isCold(): boolean {
    return this.leftMs > 0;
  }

  /** Time until the endpoint is warm, in milliseconds; 0 when it is. */
  get leftMs(): number {
    const until = Math.max(this.#registeredUntil, this.#reportedUntil);
    return Math.max(0, until - this.#clock.now());
  }

  /** Whether a recent health check has shown whether the endpoint is cold. */
  get isKnown(): boolean {
    return this.#clock.now() - this.#checkedAt <= maxCheckAgeMs;
  }

  /** Earliest monotonic time at which a request may be sent, in milliseconds. */
  get notBefore(): number {
    return this.isCold || !this.isKnown ? this.#notBefore : -Infinity;
  }

  /** @param leftMs - Remaining warm-up time in a new registration, in milliseconds. */
  setRegistered(leftMs: number): void {
    this.#registeredUntil = this.#clock.now() + leftMs;
  }

  /** @param leftMs - Remaining warm-up time in a health check answer; undefined when it has none. */
  recordHealthCheck(leftMs: number | undefined): void {
    this.#checkedAt = this.#clock.now();
    this.#reportedUntil = this.#checkedAt + (leftMs ?? 0);
  }

  /** Records that there is no token for some time. */
  recordDenial(waitMs: number): void {
    this.#denied += 1;
    this.#notBefore = this.#clock.now() + Math.max(minDenialMs, waitMs);
  }

  recordGrant(): void {
    this.#granted += 1;
  }

  recordReturn(): void {
    this.#granted = Math.max(0, this.#granted - 1);
  }

  /** @returns Whether the endpoint has turned cold or warm since the last call; undefined if neither. */
  takeChange(): 'cold' | 'warm' | undefined {
    const { isCold } = this;
    if (isCold === this.#wasCold) return undefined;
    this.#wasCold = isCold;
    return isCold ? 'cold' : 'warm';
  }

  /** Starts the counts anew for an endpoint that has turned cold. */
  resetCounts(): void {
    this.#granted = 0;
    this.#denied = 0;
  }

  readStatus(): WarmupStatus {
    return {
      leftMs: Math.round(this.leftMs),
      granted: this.#granted,
      denied: this.#denied,
    };
  }
}

/** The right to send one request to an endpoint. */
export interface AttemptToken {
  /** Returns the right because the request has not reached the endpoint. */
  giveBack(): void;
}

/** Right to send a request to an endpoint that is not cold. */
export const freeToken: AttemptToken = { giveBack: () => undefined };

export interface WarmupGateOptions {
  readonly limiter: FleetLimiter;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Returns the requests a second that a cold endpoint takes; undefined without a limit. */
  findRate(service: ServiceId): number | undefined;
}

/** Keeps the requests to cold endpoints within a rate that all instances share. */
export class WarmupGate {
  readonly #options: WarmupGateOptions;

  constructor(options: WarmupGateOptions) {
    this.#options = options;
  }

  /**
   * Whether a request to an endpoint needs a token. One whose state is unknown may be cold; one that may
   * not be probed can show its state only by its registration.
   */
  needsToken({ warmup, backpressure, registration: { service } }: Endpoint): boolean {
    if (this.#options.findRate(service) === undefined) return false;
    return warmup.isCold || (!warmup.isKnown && backpressure.allowsProbes);
  }

  /** @returns A token; undefined when there is none, so that the endpoint is left alone for a time. */
  async takeToken({ warmup, registration }: Endpoint): Promise<AttemptToken | undefined> {
    const { limiter, metrics, findRate } = this.#options;
    const { id, service } = registration;
    const ratePerSecond = findRate(service);
    if (ratePerSecond === undefined) return freeToken;
    const key = makeEndpointKey(id);
    const limit: LimitSpec = { key, ratePerSecond, burst, version: limitVersion };
    const decision = await limiter.take(limit);
    if (decision.kind === 'denied') {
      warmup.recordDenial(decision.retryAfterMs);
      metrics.recordEvent('warmup-denied', service);
      return undefined;
    }
    warmup.recordGrant();
    return {
      giveBack: () => {
        warmup.recordReturn();
        limiter.giveBack(key);
      },
    };
  }

  /** Logs whether an endpoint has turned cold or warm, with what showed it. */
  reportChange({ warmup, registration }: Endpoint, evidence: WarmupEvidence): void {
    const { log, metrics, findRate } = this.#options;
    const { id, service } = registration;
    const ratePerSecond = findRate(service);
    if (ratePerSecond === undefined) return;
    const change = warmup.takeChange();
    if (change === undefined) return;
    if (change === 'cold') warmup.resetCounts();
    metrics.recordEvent(`endpoint-${change}`, service);
    const status = warmup.readStatus();
    log.info(`endpoint-${change}`, { endpoint: id, service, evidence, ratePerSecond, ...status });
  }
}
