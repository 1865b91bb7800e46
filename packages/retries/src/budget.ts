import type { Clock } from '@dotterelpass/values';
import { SlidingWindow } from './window.js';

export interface BudgetLimits {
  /** Maximum ratio of extra attempts to calls within the window, 0 to 1. */
  readonly share: number;
  /** Extra attempts allowed in the window regardless of the number of calls; 0 by default. */
  readonly allowance?: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
}

/** Limits retries and hedged requests together to a tenth of the calls. */
export const retryLimits: BudgetLimits = { share: 0.1, windowMs: 10_000 };

/** Limits hedged requests to a twentieth of the calls of their class. */
export const hedgeLimits: BudgetLimits = { share: 0.05, windowMs: 10_000 };

/**
 * Limits extra attempts to a share of the calls within a sliding window, separately for each group
 * of calls. Without an allowance, the first calls after an idle period are not retried.
 */
export class RetryBudget {
  readonly #clock: Clock;

  #limits: BudgetLimits;

  readonly #windows = new Map<string, SlidingWindow>();

  /**
   * @param clock - Source of time.
   * @param limits - Share, allowance and window.
   */
  constructor(clock: Clock, limits: BudgetLimits = retryLimits) {
    if (!(limits.share >= 0 && limits.share <= 1)) {
      throw new RangeError(`retry budget share ${limits.share} is not between 0 and 1`);
    }
    this.#clock = clock;
    this.#limits = limits;
  }

  /** @param share - New maximum ratio of extra attempts to calls, 0 to 1. */
  setShare(share: number): void {
    this.#limits = { ...this.#limits, share };
  }

  /** @param allowance - New number of extra attempts allowed in the window beyond the share. */
  setAllowance(allowance: number): void {
    this.#limits = { ...this.#limits, allowance };
  }

  /** @param groups - Every group that a new call belongs to, such as its tenant and service. */
  recordCall(groups: readonly string[]): void {
    for (const group of groups) this.#findOrCreateWindow(group).addCall();
  }

  /**
   * @param groups - Every group that the call belongs to.
   * @param usableShare - Share of the budget up to which this kind of extra attempt is allowed, 0
   * to 1; the rest is reserved for more important ones.
   * @returns Whether the budget of each group allows one more extra attempt.
   */
  allowsExtraAttempt(groups: readonly string[], usableShare = 1): boolean {
    const { share, allowance = 0 } = this.#limits;
    return groups.every((group) =>
      this.#findOrCreateWindow(group).allowsExtraAttempt(
        share * usableShare,
        allowance * usableShare,
      ),
    );
  }

  /** @param groups - Every group of a call that makes an extra attempt now. */
  recordExtraAttempt(groups: readonly string[]): void {
    for (const group of groups) this.#findOrCreateWindow(group).addExtraAttempt();
  }

  #findOrCreateWindow(group: string): SlidingWindow {
    const existing = this.#windows.get(group);
    if (existing) return existing;
    const window = new SlidingWindow(this.#clock, this.#limits.windowMs);
    this.#windows.set(group, window);
    return window;
  }
}
