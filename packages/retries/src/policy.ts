import type { Random, RetryFailure, Rule, Verdict } from '@dotterelpass/values';

/** How an attempt failed. */
export interface FailedAttempt {
  /** `status`: the endpoint answered with a status that the rule may list as retryable. */
  readonly kind: RetryFailure | 'status' | 'other';
  readonly status?: number;
  readonly verdict: Verdict;
}

/** A call whose last attempt failed, with all that the decision on a retry depends on. */
export interface RetryContext {
  readonly rule: Pick<Rule, 'repeat' | 'retryFailures' | 'retryStatuses' | 'maxAttempts'>;
  readonly failure: FailedAttempt;
  /** Attempts made so far, at least 1. */
  readonly attempts: number;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the whole request body is still buffered. */
  readonly canResend: boolean;
}

/** Whether to retry. A retry also needs the permission of the retry budgets. */
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

/** Decides whether a failed attempt is retried, and after which delay. */
export class RetryPolicy {
  readonly #random: Random;

  readonly #backoff: BackoffLimits;

  /**
   * @param random - Source of jitter.
   * @param backoff - Upper bounds of the first delay and of any delay.
   */
  constructor(random: Random, backoff: BackoffLimits = defaultBackoff) {
    if (!(backoff.baseMs > 0 && backoff.maxMs >= backoff.baseMs)) {
      throw new RangeError(
        `retry back-off from ${backoff.baseMs} to ${backoff.maxMs} ms is not a valid range`,
      );
    }
    this.#random = random;
    this.#backoff = backoff;
  }

  /**
   * Decides whether to retry after a failed attempt.
   *
   * @param context - The call and how its last attempt failed.
   * @returns Either a retry with its delay in milliseconds, or the reason to stop.
   */
  decide({ rule, failure, attempts, remainingMs, canResend }: RetryContext): RetryDecision {
    if (rule.repeat === 'once' && failure.verdict !== 'not-run') {
      return { kind: 'stop', reason: 'may-have-run' };
    }
    if (!isRetryable(rule, failure)) return { kind: 'stop', reason: 'rule' };
    if (!canResend) return { kind: 'stop', reason: 'body' };
    if (attempts >= rule.maxAttempts) return { kind: 'stop', reason: 'attempts' };
    // Full jitter: the delay is uniform between 0 and the bound, so that the retries of calls that
    // failed together are spread out.
    const boundMs = Math.min(this.#backoff.maxMs, this.#backoff.baseMs * 2 ** (attempts - 1));
    const afterMs = this.#random.next() * boundMs;
    if (afterMs >= remainingMs) return { kind: 'stop', reason: 'deadline' };
    return { kind: 'retry', afterMs };
  }
}

function isRetryable(rule: RetryContext['rule'], { kind, status }: FailedAttempt): boolean {
  if (kind === 'other') return false;
  if (kind === 'status') return status !== undefined && rule.retryStatuses.includes(status);
  return rule.retryFailures.includes(kind);
}
