import type { Clock } from '@dotterelpass/values';

/**
 * Time after its last health check answer from which on it is unknown whether an endpoint is cold. A
 * probe is answered within this time, or the endpoint counts as unreachable.
 */
const maxCheckAgeMs = 3000;

/** Minimum time for which an endpoint is left alone after a denied token. */
const minDenialMs = 5;

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
