import type { Random, RetryFailure, Rule, Verdict } from '@dotterelpass/values';

/** How an attempt failed. */
export interface FailedAttempt {
  /** `status`: the endpoint answered with a status that the rule may name. */
  readonly kind: RetryFailure | 'status' | 'other';
  readonly status?: number;
  readonly verdict: Verdict;
}

/** A call that may be tried again. */
export interface RetryQuestion {
  readonly rule: Pick<Rule, 'repeat' | 'retryFailures' | 'retryStatuses' | 'maxAttempts'>;
  readonly failure: FailedAttempt;
  /** Attempts made so far, at least 1. */
  readonly attempts: number;
  /** Time to the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the body is still at hand as a whole. */
  readonly canResend: boolean;
}

/** What to do. A retry also needs room in the budgets. */
export type RetryDecision =
  | { readonly kind: 'retry'; readonly afterMs: number }
  | {
      readonly kind: 'stop';
      readonly reason: 'may-have-run' | 'rule' | 'attempts' | 'deadline' | 'body';
    };

export interface BackoffLimits {
  readonly baseMs: number;
  readonly maxMs: number;
}

const defaultBackoff: BackoffLimits = { baseMs: 10, maxMs: 500 };

/** Decides whether a failed attempt is followed by another one, and after which time. */
export class RetryPolicy {
  readonly #random: Random;

  readonly #backoff: BackoffLimits;

  /**
   * @param random - Source of jitter.
   * @param backoff - Bound of the first wait, and of any wait.
   */
  constructor(random: Random, backoff: BackoffLimits = defaultBackoff) {
    if (!(backoff.baseMs > 0 && backoff.maxMs >= backoff.baseMs)) {
      throw new RangeError(`backoff from ${backoff.baseMs} to ${backoff.maxMs} ms is no range`);
    }
    this.#random = random;
    this.#backoff = backoff;
  }

  /**
   * Decides on one failure.
   *
   * @param question - The call and how its last attempt failed.
   * @returns Retry after a time in milliseconds, or stop and why.
   */
  decide({ rule, failure, attempts, remainingMs, canResend }: RetryQuestion): RetryDecision {
    if (rule.repeat === 'once' && failure.verdict !== 'not-run') {
      return { kind: 'stop', reason: 'may-have-run' };
    }
    if (!isNamed(rule, failure)) return { kind: 'stop', reason: 'rule' };
    if (!canResend) return { kind: 'stop', reason: 'body' };
    if (attempts >= rule.maxAttempts) return { kind: 'stop', reason: 'attempts' };
    // Full jitter: any time up to the bound, so that callers that failed together spread out.
    const bound = Math.min(this.#backoff.maxMs, this.#backoff.baseMs * 2 ** (attempts - 1));
    const afterMs = this.#random.next() * bound;
    if (afterMs >= remainingMs) return { kind: 'stop', reason: 'deadline' };
    return { kind: 'retry', afterMs };
  }
}

function isNamed(rule: RetryQuestion['rule'], { kind, status }: FailedAttempt): boolean {
  if (kind === 'other') return false;
  if (kind === 'status') return status !== undefined && rule.retryStatuses.includes(status);
  return rule.retryFailures.includes(kind);
}
