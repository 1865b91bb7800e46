import type { RetryBudget } from '@dotterelpass/retries';
import type { Metrics } from '@dotterelpass/telemetry';
import type { Verdict } from '@dotterelpass/values';
import type { AttemptRecord, Call, RetryBlock } from './call.js';
import type { LatencyEstimator } from './latency.js';

/**
 * Maximum attempts per call that failed to reach an endpoint. They do not count towards the
 * `maxAttempts` of the route.
 */
const maxUnreachedAttempts = 4;

/** Minimum time before the deadline for a further attempt, relative to the estimated latency. */
const minRemainingShare = 0.8;

/**
 * Share of the retry budget that calls may use whose service also has more urgent ones. When an
 * endpoint fails many calls, the budget is spent at once, whatever the calls are worth.
 */
const deferrableBudgetShare = 0.8;

export interface RetryPolicyOptions {
  readonly budget: RetryBudget;
  readonly latency: LatencyEstimator;
  readonly metrics: Metrics;
}

/** Decides whether a call may be sent once more, as a retry or as a hedge. */
export class RetryPolicy {
  readonly #options: RetryPolicyOptions;

  constructor(options: RetryPolicyOptions) {
    this.#options = options;
  }

  /**
   * Finds what forbids a further attempt.
   *
   * @param verdict - Verdict on the earlier attempts.
   * @param usableShare - Share of the retry budget that the attempt may use.
   * @returns The first obstacle; undefined when the attempt may be made.
   */
  findBlock(
    call: Call,
    records: readonly AttemptRecord[],
    verdict: Verdict,
    usableShare = 1,
  ): RetryBlock | undefined {
    const { route, incoming, body, deadlineAt, service, isDeferrable } = call;
    if (incoming.cancellation.aborted) return 'caller-left';
    const sentCount = countSent(records);
    if (sentCount === 0) {
      // Timers fire up to a millisecond early, so the deadline may still be to come.
      if (records.at(-1)?.outcome === 'no-connection') return 'time-left';
      return records.length > maxUnreachedAttempts ? 'endpoints-unreachable' : undefined;
    }
    if (verdict !== 'not-run' && route.repeat !== 'idempotent') return 'may-have-run';
    if (body.kind === 'stream' && !body.isAvailable) return 'streamed-body';
    if (sentCount >= route.maxAttempts) return 'attempts-used';
    if (records.length - sentCount > maxUnreachedAttempts) return 'endpoints-unreachable';
    const { budget, latency } = this.#options;
    const remainingMs = deadlineAt - performance.now();
    if (remainingMs < minRemainingShare * latency.estimateMs(route)) return 'time-left';
    const budgetShare = usableShare * (isDeferrable ? deferrableBudgetShare : 1);
    return budget.allowsExtraAttempt([service], budgetShare) ? undefined : 'retry-budget';
  }

  /** Counts a call, of whose number the budget is a share. */
  recordCall({ service }: Call): void {
    this.#options.budget.recordCall([service]);
  }

  /** Counts a further attempt. */
  recordAttempt(call: Call, event: 'retry' | 'hedge'): void {
    this.#options.budget.recordExtraAttempt([call.service]);
    this.#options.metrics.recordEvent(event, call.service);
  }
}

/** Outcomes of attempts of which no byte was sent. */
const unsentOutcomes: ReadonlySet<string> = new Set(['unreachable', 'no-connection', 'evacuated']);

/** @returns Number of attempts that reached an endpoint, or may have. */
export function countSent(records: readonly AttemptRecord[]): number {
  return records.filter(({ outcome }) => !unsentOutcomes.has(outcome)).length;
}
