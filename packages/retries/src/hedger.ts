import type { Clock } from '@dotterelpass/values';
import { RetryBudget, hedgeLimits } from './budget.js';

const maxSamples = 200;
/**
 * Samples that are needed for a meaningful percentile; the percentile is recomputed each time as
 * many samples have been added.
 */
const minSamples = 20;
const percentile = 0.95;

interface LatencyWindow {
  /** Ring buffer of the last `maxSamples` latencies. */
  readonly samples: number[];
  nextIndex: number;
  addedCount: number;
  delayMs: number | undefined;
}

/** Decides when a hedged request is sent while the first attempt has no response yet. */
export class Hedger {
  readonly #budget: RetryBudget;

  readonly #classes = new Map<string, LatencyWindow>();

  /** @param clock - Source of time. */
  constructor(clock: Clock) {
    this.#budget = new RetryBudget(clock, hedgeLimits);
  }

  /** @param className - Class of a new call. */
  recordCall(className: string): void {
    this.#budget.recordCall([className]);
  }

  /**
   * @param className - Class of a call that got a response.
   * @param ms - Time from the start of the attempt to the response headers.
   */
  recordLatency(className: string, ms: number): void {
    const existing = this.#classes.get(className);
    const window = existing ?? { samples: [], nextIndex: 0, addedCount: 0, delayMs: undefined };
    if (!existing) this.#classes.set(className, window);
    window.samples[window.nextIndex] = ms;
    window.nextIndex = (window.nextIndex + 1) % maxSamples;
    window.addedCount += 1;
    // Sorting for each response would cost more than proxying the response.
    if (window.addedCount % minSamples === 0) {
      const sorted = [...window.samples].sort((a, b) => a - b);
      window.delayMs = sorted[Math.ceil(sorted.length * percentile) - 1];
    }
  }

  /**
   * @param className - Class of a call.
   * @returns Time after which a hedged request may be sent, in milliseconds; undefined until there
   * are enough samples.
   */
  findDelayMs(className: string): number | undefined {
    return this.#classes.get(className)?.delayMs;
  }

  /**
   * @param className - Class of a call.
   * @returns Whether the budget of the class allows one more hedged request.
   */
  allowsHedge(className: string): boolean {
    return this.#budget.allowsExtraAttempt([className]);
  }

  /** @param className - Class of a call whose hedged request is sent now. */
  recordHedge(className: string): void {
    this.#budget.recordExtraAttempt([className]);
  }
}
