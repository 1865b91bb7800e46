import type { ServiceId } from '@dotterelpass/values';
import type { Route, RouteName } from './catalog.js';

/** Time that a call needs before the first answer on its route, as a share of its target latency. */
const firstGuessShare = 0.3;

/** Answers as which the first guess counts. */
const firstGuessAnswers = 4;

/** Least weight of one answer in the average. */
const workWeight = 0.03;

/** Weight of one load report in the average of a service. */
const slowdownWeight = 0.01;

/** One answer counts for at most this many times the average: a few run very much longer. */
const maxRatio = 3;

interface Average {
  readonly ms: number;
  readonly answers: number;
}

/**
 * How long calls of a route take on an endpoint at its usual speed. Routes are kept apart: calls
 * of two routes of the same kind may differ a hundredfold.
 */
export class WorkTimes {
  readonly #times = new Map<RouteName, Average>();

  readonly #slowdowns = new Map<ServiceId, number>();

  /**
   * Records an answered call.
   *
   * @param route - Its route.
   * @param ms - Time from sending the request to the end of the answer, in milliseconds.
   * @param slowdown - How many times longer work took on the endpoint than usual when it began.
   */
  record(route: Route, ms: number, slowdown: number): void {
    const { answers } = this.#times.get(route.name) ?? { answers: firstGuessAnswers };
    const known = this.findMs(route);
    const usual = Math.min(ms / Math.max(0.1, slowdown), known * maxRatio);
    const weight = Math.max(workWeight, 1 / (answers + 1));
    this.#times.set(route.name, { ms: known + weight * (usual - known), answers: answers + 1 });
  }

  /** Records the slowdown that an endpoint of a service reports. */
  recordSlowdown(service: ServiceId, slowdown: number): void {
    const known = this.#slowdowns.get(service) ?? 1;
    this.#slowdowns.set(service, known + slowdownWeight * (slowdown - known));
  }

  /** @returns The average of a route at the usual speed, in milliseconds. */
  findMs({ name, targetLatencyMs }: Pick<Route, 'name' | 'targetLatencyMs'>): number {
    return this.#times.get(name)?.ms ?? firstGuessShare * targetLatencyMs;
  }

  /** @returns The average slowdown of a service's endpoints. */
  findSlowdown(service: ServiceId): number {
    return this.#slowdowns.get(service) ?? 1;
  }

  /** Keeps only the routes that still exist. */
  retain(names: ReadonlySet<RouteName>): void {
    [...this.#times.keys()].forEach((name) => {
      if (!names.has(name)) this.#times.delete(name);
    });
  }
}
