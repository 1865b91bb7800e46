import type { RouteName } from './catalog.js';

/** Number of recent calls of a route from which the typical caller timeout is calculated. */
const maxSamples = 256;

/** Number of calls after which the typical timeout is calculated again. */
const callsPerUpdate = 16;

/**
 * Percentile of the timeouts that counts as typical. The maximum is not representative, since a few
 * callers wait much longer than the others.
 */
const typicalPercentile = 0.9;

/** Relative variation of the timeouts of first attempts. */
const timeoutVariation = 0.2;

interface TimeoutSamples {
  readonly values: number[];
  nextIndex: number;
  typicalMs: number;
}

/**
 * Estimates how long callers have already waited when a call arrives. A caller that retries after a
 * refusal states its remaining time, which is shorter than the timeout of new callers of the route.
 */
export class CallerTimeouts {
  readonly #samples = new Map<RouteName, TimeoutSamples>();

  /**
   * Estimates the time since the first attempt of the caller.
   *
   * @param route - Route of the call.
   * @param callerTimeoutMs - Timeout that the caller states, in milliseconds.
   * @returns Time in milliseconds; 0 without a stated timeout or if this may be the first attempt.
   */
  estimateWaitedMs(route: RouteName, callerTimeoutMs: number | undefined): number {
    if (callerTimeoutMs === undefined) return 0;
    const samples = this.#getOrCreateSamples(route);
    samples.values[samples.nextIndex % maxSamples] = callerTimeoutMs;
    if (samples.nextIndex % callsPerUpdate === 0)
      samples.typicalMs = calculatePercentile(samples.values);
    samples.nextIndex += 1;
    const shortfallMs = samples.typicalMs * (1 - timeoutVariation) - callerTimeoutMs;
    // The timeout of the first attempt was on average half of the variation above that bound.
    return shortfallMs > 0 ? shortfallMs + (samples.typicalMs * timeoutVariation) / 2 : 0;
  }

  /** Drops the samples of all routes but these. */
  retainRoutes(names: ReadonlySet<RouteName>): void {
    [...this.#samples.keys()].forEach((name) => {
      if (!names.has(name)) this.#samples.delete(name);
    });
  }

  #getOrCreateSamples(route: RouteName): TimeoutSamples {
    const existing = this.#samples.get(route);
    if (existing) return existing;
    const samples: TimeoutSamples = { values: [], nextIndex: 0, typicalMs: 0 };
    this.#samples.set(route, samples);
    return samples;
  }
}

function calculatePercentile(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * typicalPercentile))] ?? 0;
}
