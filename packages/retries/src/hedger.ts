import type { Clock } from '@dotterelpass/values';
import { RetryBudget, hedgeLimits } from './budget.js';

const maxSamples = 200;
/** Below this number of answers the percentile says little. */
const minSamples = 20;
const percentile = 0.95;

interface Latencies {
  readonly samples: number[];
  next: number;
  added: number;
  delayMs: number | undefined;
}

/** Decides when a second attempt is sent while the first has no answer yet. */
export class Hedger {
  readonly #budget: RetryBudget;

  readonly #classes = new Map<string, Latencies>();

  /** @param clock - Source of time. */
  constructor(clock: Clock) {
    this.#budget = new RetryBudget(clock, hedgeLimits);
  }

  /** @param name - Class of a new call. */
  recordCall(name: string): void {
    this.#budget.recordCall([name]);
  }

  /**
   * @param name - Class of a call that was answered.
   * @param ms - Time from its attempt to the headers of the answer.
   */
  recordLatency(name: string, ms: number): void {
    const known = this.#classes.get(name);
    const latencies = known ?? { samples: [], next: 0, added: 0, delayMs: undefined };
    if (!known) this.#classes.set(name, latencies);
    latencies.samples[latencies.next] = ms;
    latencies.next = (latencies.next + 1) % maxSamples;
    latencies.added += 1;
    // Sorting for each answer would cost more than the answer's own way through the proxy.
    if (latencies.added % minSamples === 0) {
      const sorted = [...latencies.samples].sort((a, b) => a - b);
      latencies.delayMs = sorted[Math.ceil(sorted.length * percentile) - 1];
    }
  }

  /**
   * @param name - Class of a call.
   * @returns Time after which a hedge may be sent, in milliseconds; undefined while unknown.
   */
  findDelayMs(name: string): number | undefined {
    return this.#classes.get(name)?.delayMs;
  }

  /**
   * @param name - Class of a call.
   * @returns Whether the class may send one more hedge.
   */
  allowsHedge(name: string): boolean {
    return this.#budget.allowsExtraAttempt([name]);
  }

  /** @param name - Class of a call whose hedge is sent now. */
  recordHedge(name: string): void {
    this.#budget.recordExtraAttempt([name]);
  }
}
