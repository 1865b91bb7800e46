import type { Clock } from '@dotterelpass/values';
import type { RouteName } from './catalog.js';

/** Time for which the longest patience of a route is remembered, in milliseconds. */
const rememberMs = 20_000;

interface Longest {
  readonly ms: number;
  readonly at: number;
}

/**
 * How long callers have waited already when a call comes. A caller that was refused and comes
 * back states the time that it has left, which is less than what new callers of the route state.
 */
export class PatienceTable {
  readonly #clock: Clock;

  readonly #longest = new Map<RouteName, Longest>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Finds the time that has passed since the caller first asked.
   *
   * @param route - Route of the call.
   * @param patienceMs - Time that the caller says it waits, in milliseconds.
   * @returns Milliseconds; 0 when the caller does not say.
   */
  findWaitedMs(route: RouteName, patienceMs: number | undefined): number {
    if (patienceMs === undefined) return 0;
    const now = this.#clock.now();
    const known = this.#longest.get(route);
    if (!known || patienceMs >= known.ms || now - known.at > rememberMs) {
      this.#longest.set(route, { ms: patienceMs, at: now });
      return 0;
    }
    return known.ms - patienceMs;
  }
}
