import type { RouteName } from './catalog.js';

/** Calls of a route from which its callers' usual patience is read. */
const sampleSize = 256;

/** Calls after which it is read again. */
const readEvery = 16;

/** Few callers wait much longer than the others, so the longest patience says little. */
const percentile = 0.9;

/** Part of the usual patience by which new callers differ from each other. */
const spread = 0.2;

interface Sample {
  readonly values: number[];
  next: number;
  usualMs: number;
}

/**
 * How long callers have waited already when a call comes. A caller that was refused and comes
 * back states the time that it has left, which is less than what new callers of the route state.
 */
export class PatienceTable {
  readonly #samples = new Map<RouteName, Sample>();

  /**
   * Finds the time that has passed since the caller first asked.
   *
   * @param route - Route of the call.
   * @param patienceMs - Time that the caller says it waits, in milliseconds.
   * @returns Milliseconds; 0 when the caller does not say or may be a new one.
   */
  findWaitedMs(route: RouteName, patienceMs: number | undefined): number {
    if (patienceMs === undefined) return 0;
    const sample = this.#findSample(route);
    sample.values[sample.next % sampleSize] = patienceMs;
    if (sample.next % readEvery === 0) sample.usualMs = readPercentile(sample.values);
    sample.next += 1;
    const missingMs = sample.usualMs * (1 - spread) - patienceMs;
    // Who is below the spread has on average waited for half of it more.
    return missingMs > 0 ? missingMs + (sample.usualMs * spread) / 2 : 0;
  }

  /** Keeps only the routes that still exist. */
  retain(names: ReadonlySet<RouteName>): void {
    [...this.#samples.keys()].forEach((name) => {
      if (!names.has(name)) this.#samples.delete(name);
    });
  }

  #findSample(route: RouteName): Sample {
    const known = this.#samples.get(route);
    if (known) return known;
    const sample: Sample = { values: [], next: 0, usualMs: 0 };
    this.#samples.set(route, sample);
    return sample;
  }
}

function readPercentile(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percentile))] ?? 0;
}
