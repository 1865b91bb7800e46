import type { RouteName } from './catalog.js';

/** Calls of a route from which its callers' usual patience is read. */
const maxSamples = 256;

/** Calls after which it is read again. */
const callsPerUpdate = 16;

/** Few callers wait much longer than the others, so the longest patience says little. */
const typicalPercentile = 0.9;

/** Part of the usual patience by which new callers differ from each other. */
const timeoutVariation = 0.2;

interface TimeoutSamples {
  readonly values: number[];
  next: number;
  typicalMs: number;
}

/**
 * How long callers have waited already when a call comes. A caller that was refused and comes
 * back states the time that it has left, which is less than what new callers of the route state.
 */
export class CallerTimeouts {
  readonly #samples = new Map<RouteName, TimeoutSamples>();

  /**
   * Finds the time that has passed since the caller first asked.
   *
   * @param route - Route of the call.
   * @param callerTimeoutMs - Time that the caller says it waits, in milliseconds.
   * @returns Milliseconds; 0 when the caller does not say or may be a new one.
   */
  estimateWaitedMs(route: RouteName, callerTimeoutMs: number | undefined): number {
    if (callerTimeoutMs === undefined) return 0;
    const sample = this.#getOrCreateSamples(route);
    sample.values[sample.next % maxSamples] = callerTimeoutMs;
    if (sample.next % callsPerUpdate === 0) sample.typicalMs = calculatePercentile(sample.values);
    sample.next += 1;
    const missingMs = sample.typicalMs * (1 - timeoutVariation) - callerTimeoutMs;
    // Who is below the spread has on average waited for half of it more.
    return missingMs > 0 ? missingMs + (sample.typicalMs * timeoutVariation) / 2 : 0;
  }

  /** Keeps only the routes that still exist. */
  retainRoutes(names: ReadonlySet<RouteName>): void {
    [...this.#samples.keys()].forEach((name) => {
      if (!names.has(name)) this.#samples.delete(name);
    });
  }

  #getOrCreateSamples(route: RouteName): TimeoutSamples {
    const known = this.#samples.get(route);
    if (known) return known;
    const sample: TimeoutSamples = { values: [], next: 0, typicalMs: 0 };
    this.#samples.set(route, sample);
    return sample;
  }
}

function calculatePercentile(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * typicalPercentile))] ?? 0;
}
