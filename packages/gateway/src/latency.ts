import type { ServiceId } from '@dotterelpass/values';
import type { Route, RouteName } from './catalog.js';

/** Time that a call needs before the first answer on its route, as a share of its target latency. */
const initialEstimateShare = 0.3;

/** Answers as which the first guess counts. */
const initialEstimateWeight = 4;

/** Least weight of one answer in the average. */
const minSampleWeight = 0.03;

/** Weight of one load report in the average of a service. */
const slowdownSampleWeight = 0.01;

/** One answer counts for at most this many times the average: a few run very much longer. */
const maxOutlierRatio = 3;

interface Average {
  readonly ms: number;
  readonly samples: number;
}

/**
 * How long calls of a route take on an endpoint at its usual speed. Routes are kept apart: calls
 * of two routes of the same kind may differ a hundredfold.
 */
export class LatencyEstimator {
  readonly #averages = new Map<RouteName, Average>();

  readonly #slowdowns = new Map<ServiceId, number>();

  /**
   * Records an answered call.
   *
   * @param route - Its route.
   * @param ms - Time from sending the request to the end of the answer, in milliseconds.
   * @param slowdown - How many times longer work took on the endpoint than usual when it began.
   */
  recordCall(route: Route, ms: number, slowdown: number): void {
    const { samples } = this.#averages.get(route.name) ?? { samples: initialEstimateWeight };
    const known = this.estimateMs(route);
    const usual = Math.min(ms / Math.max(0.1, slowdown), known * maxOutlierRatio);
    const weight = Math.max(minSampleWeight, 1 / (samples + 1));
    this.#averages.set(route.name, { ms: known + weight * (usual - known), samples: samples + 1 });
  }

  /** Records the slowdown that an endpoint of a service reports. */
  recordSlowdown(service: ServiceId, slowdown: number): void {
    const known = this.#slowdowns.get(service) ?? 1;
    this.#slowdowns.set(service, known + slowdownSampleWeight * (slowdown - known));
  }

  /** @returns The average of a route at the usual speed, in milliseconds. */
  estimateMs({ name, targetLatencyMs }: Pick<Route, 'name' | 'targetLatencyMs'>): number {
    return this.#averages.get(name)?.ms ?? initialEstimateShare * targetLatencyMs;
  }

  /** @returns The average slowdown of a service's endpoints. */
  getSlowdown(service: ServiceId): number {
    return this.#slowdowns.get(service) ?? 1;
  }

  /** Keeps only the routes that still exist. */
  retainRoutes(names: ReadonlySet<RouteName>): void {
    [...this.#averages.keys()].forEach((name) => {
      if (!names.has(name)) this.#averages.delete(name);
    });
  }
}
