import type { Clock, Random } from '@dotterelpass/values';
import type { LimitSpec, QuotaDecision } from './limiter.js';
import type { TokenAnswer, TokenQuestion } from './message.js';
import { OwnShare } from './share.js';

/** Time after which an unused token expires. */
export const tokenTtlMs = 250;

/** Maximum time for which a limit is refused without a question: others may give tokens back. */
const maxDenialMs = 1000;

/** Share of that time that is added at random, and its bound. */
const denialSpread = 0.1;
const maxDenialSpreadMs = 10;

/** Minimum share of the time until a token is due over which denied callers are spread. */
const minReturnSpread = 0.2;

/** Time without a denial after which the end of the denials of a limit is reported. */
const denialsEndMs = 10_000;

/** Time after which the state of an unused limit is dropped. */
const limitRetentionMs = 60_000;

/** Who denied a request: the coordinator, this instance until the next token is due, the own share. */
export type DenialCause = 'coordinator' | 'not-due' | 'own-share';

/** A request that waits for the answer of a coordinator. */
export interface Waiter {
  readonly resolve: (decision: QuotaDecision) => void;
  /** Coordinators that have not answered its question. */
  readonly failovers: number;
  /** Whether its caller has come back after a refusal. */
  readonly isReturning: boolean;
}

/** A question and the requests for which it asks. */
export interface AskedLimit {
  readonly limit: InstanceLimit;
  readonly question: TokenQuestion;
  readonly waiters: readonly Waiter[];
}

/** Denials of a limit, from the first one until there was none for some time. */
export interface DenialPeriod {
  readonly lastedMs: number;
  readonly denied: number;
}

/** What one instance knows of a limit, and its requests that wait for tokens. */
export class InstanceLimit {
  readonly #clock: Clock;

  readonly #random: Random;

  readonly #share: OwnShare;

  #spec: LimitSpec;

  /** Expiry times of unused tokens. */
  #tokens: readonly number[] = [];

  #waiters: readonly Waiter[] = [];

  /** Requests are denied without a question until then. */
  #deniedUntil = -Infinity;

  /** Time over which denied callers are spread. */
  #spanMs = 0;

  /** Requests denied here since the last question, of which the coordinator does not know. */
  #unreportedDenials = 0;

  #usedAt: number;

  #deniedSince: number | undefined;

  #lastDeniedAt = -Infinity;

  #deniedInPeriod = 0;

  #granted = 0;

  #grantedByOwnShare = 0;

  #givenBack = 0;

  readonly #denied: Record<DenialCause, number> = { coordinator: 0, 'not-due': 0, 'own-share': 0 };

  constructor(clock: Clock, random: Random, spec: LimitSpec) {
    this.#clock = clock;
    this.#random = random;
    this.#share = new OwnShare(clock, random);
    this.#spec = spec;
    this.#usedAt = clock.now();
  }

  get spec(): LimitSpec {
    return this.#spec;
  }

  get hasWaiters(): boolean {
    return this.#waiters.length > 0;
  }

  /** Whether the limit has not been used for so long that its state may be dropped. */
  get isUnused(): boolean {
    return !this.hasWaiters && this.#clock.now() - this.#usedAt > limitRetentionMs;
  }

  /** Records the use of the limit as the configuration in force has it. */
  update(spec: LimitSpec): void {
    this.#usedAt = this.#clock.now();
    if (spec.version !== this.#spec.version) this.#spec = spec;
  }

  /** Takes an unused token. */
  takeToken(): boolean {
    const now = this.#clock.now();
    this.#tokens = this.#tokens.filter((expiry) => expiry > now);
    if (this.#tokens.length === 0) return false;
    this.#tokens = this.#tokens.slice(1);
    this.#granted += 1;
    return true;
  }

  /** Keeps a token that was not used for the next request. */
  returnToken(): void {
    this.#givenBack += 1;
    this.#tokens = [...this.#tokens, this.#clock.now() + tokenTtlMs];
  }

  addWaiter(waiter: Waiter): void {
    this.#waiters = [...this.#waiters, waiter];
  }

  /** @returns The requests that wait; they no longer do so. */
  removeWaiters(): readonly Waiter[] {
    const waiters = this.#waiters;
    this.#waiters = [];
    return waiters;
  }

  /** Time for which requests are denied without a question, in milliseconds. */
  get remainingDenialMs(): number {
    return Math.max(0, this.#deniedUntil - this.#clock.now());
  }

  /**
   * Takes a token of the own share.
   *
   * @param perSecond - Rate of the share.
   * @param usableMs - Time for which a token that is due may be used.
   */
  takeFromShare(perSecond: number, usableMs: number): QuotaDecision {
    const decision = this.#share.take(perSecond, usableMs);
    if (decision.kind === 'granted') this.#grantedByOwnShare += 1;
    return decision;
  }

  /**
   * Builds the question for the requests that wait, and grants those that unused tokens serve.
   *
   * @returns The question; undefined when there is nothing to ask.
   */
  buildQuestion(): AskedLimit | undefined {
    const waiting = this.removeWaiters();
    const returning = waiting.filter(({ isReturning }) => isReturning);
    const waiters = [...waiting.filter(({ isReturning }) => !isReturning), ...returning];
    const served = waiters.filter((waiter) => {
      if (!this.takeToken()) return false;
      waiter.resolve({ kind: 'granted' });
      return true;
    });
    const now = this.#clock.now();
    const returned = this.#tokens.filter((expiry) => expiry > now).length;
    this.#tokens = [];
    const asking = waiters.slice(served.length);
    if (asking.length === 0 && returned === 0) return undefined;
    const question = {
      ...this.#spec,
      wanted: asking.length,
      returning: Math.min(asking.length, returning.length),
      returned,
      denied: this.#unreportedDenials,
    };
    this.#unreportedDenials = 0;
    return { limit: this, question, waiters: asking };
  }

  /** Records that a coordinator has granted a token. */
  recordGrant(): void {
    this.#granted += 1;
  }

  /** Keeps in mind until when requests are to be denied without a question. */
  setDenial({ dueMs, spanMs }: TokenAnswer): void {
    const spreadMs = Math.min(maxDenialSpreadMs, dueMs * denialSpread);
    const waitMs = Math.min(maxDenialMs, dueMs) + spreadMs * this.#random.next();
    this.#deniedUntil = this.#clock.now() + waitMs;
    this.#spanMs = spanMs;
  }

  /** @returns The time after which a caller may come again, spread over the time of its turn. */
  drawRetryAfterMs(dueMs: number): number {
    return dueMs + Math.max(this.#spanMs, dueMs * minReturnSpread) * this.#random.next();
  }

  /** @returns Whether this is the first denial in a while. */
  recordDenial(cause: DenialCause): boolean {
    const now = this.#clock.now();
    this.#denied[cause] += 1;
    if (cause === 'not-due') this.#unreportedDenials += 1;
    this.#deniedInPeriod += 1;
    this.#lastDeniedAt = now;
    if (this.#deniedSince !== undefined) return false;
    this.#deniedSince = now;
    return true;
  }

  /** @returns The denials that have ended; undefined while there are any, and afterwards. */
  finishDenials(): DenialPeriod | undefined {
    if (this.#deniedSince === undefined) return undefined;
    if (this.#clock.now() - this.#lastDeniedAt <= denialsEndMs) return undefined;
    const period = {
      lastedMs: this.#lastDeniedAt - this.#deniedSince,
      denied: this.#deniedInPeriod,
    };
    this.#deniedSince = undefined;
    this.#deniedInPeriod = 0;
    return period;
  }

  /** @returns The counts, for operators. */
  readCounts(): LimitCounts {
    return {
      granted: this.#granted,
      grantedByOwnShare: this.#grantedByOwnShare,
      givenBack: this.#givenBack,
      denied: { ...this.#denied },
    };
  }
}

/** What became of the requests of a limit on one instance. */
export interface LimitCounts {
  readonly granted: number;
  readonly grantedByOwnShare: number;
  readonly givenBack: number;
  readonly denied: Readonly<Record<DenialCause, number>>;
}
