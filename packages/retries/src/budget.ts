import type { Clock } from '@dotterelpass/values';
import { SharedWindow } from './window.js';

export interface BudgetLimits {
  /** Largest share of extra attempts in recent calls, 0 to 1. */
  readonly share: number;
  /** Extra attempts in the window that are allowed whatever the number of calls; 0 by default. */
  readonly allowance?: number;
  /** What counts as recent, in milliseconds. */
  readonly windowMs: number;
}

/** Retries and hedges together stay at or below a tenth of the calls. */
export const retryLimits: BudgetLimits = { share: 0.1, windowMs: 10_000 };

/** Hedges stay at or below a twentieth of the calls of their class. */
export const hedgeLimits: BudgetLimits = { share: 0.05, windowMs: 10_000 };

/**
 * Bounds extra attempts by a share of recent calls, for several groups of calls at once. Without
 * an allowance beyond the share, the first calls after a quiet time are not retried.
 */
export class RetryBudget {
  readonly #clock: Clock;

  #limits: BudgetLimits;

  readonly #windows = new Map<string, SharedWindow>();

  /**
   * @param clock - Source of time.
   * @param limits - Share and window.
   */
  constructor(clock: Clock, limits: BudgetLimits = retryLimits) {
    if (!(limits.share >= 0 && limits.share <= 1)) {
      throw new RangeError(`share ${limits.share} is not from 0 to 1`);
    }
    this.#clock = clock;
    this.#limits = limits;
  }

  /** @param share - Largest share of extra attempts, 0 to 1, from now on. */
  setShare(share: number): void {
    this.#limits = { ...this.#limits, share };
  }

  /** @param allowance - Extra attempts in the window beyond the share, from now on. */
  setAllowance(allowance: number): void {
    this.#limits = { ...this.#limits, allowance };
  }

  /** @param groups - Every group that a new call belongs to, such as its tenant and service. */
  recordCall(groups: readonly string[]): void {
    for (const group of groups) this.#findWindow(group).addCall();
  }

  /**
   * @param groups - Every group that the call belongs to.
   * @returns Whether all of them have room for one more extra attempt.
   */
  allowsExtraAttempt(groups: readonly string[]): boolean {
    return groups.every((group) =>
      this.#findWindow(group).hasRoom(this.#limits.share, this.#limits.allowance),
    );
  }

  /** @param groups - Every group of a call that makes an extra attempt now. */
  recordExtraAttempt(groups: readonly string[]): void {
    for (const group of groups) this.#findWindow(group).addExtra();
  }

  #findWindow(group: string): SharedWindow {
    const known = this.#windows.get(group);
    if (known) return known;
    const window = new SharedWindow(this.#clock, this.#limits.windowMs);
    this.#windows.set(group, window);
    return window;
  }
}
