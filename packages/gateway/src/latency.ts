import type { ServiceId } from '@dotterelpass/values';
import type { Route, RouteName } from './catalog.js';

/** Initial estimate of a route without responses, as a share of its target latency. */
const initialEstimateShare = 0.3;

/** Number of samples as which the initial estimate is weighted. */
const initialEstimateWeight = 4;

/** Minimum weight of one sample in the average. */
const minSampleWeight = 0.03;

/** Weight of one load report in the average slowdown of a service. */
const slowdownSampleWeight = 0.01;

/** Samples are capped at this multiple of the average: a few calls take very much longer. */
const maxOutlierRatio = 3;

interface Average {
  readonly ms: number;
  readonly samples: number;
}

/**
 * Estimates how long calls of a route take on an endpoint at its usual speed. The estimates are per
 * route because the latency of two routes of the same class may differ by a factor of 100.
 */
export class LatencyEstimator {
  readonly #averages = new Map<RouteName, Average>();

  readonly #slowdowns = new Map<ServiceId, number>();

  /**
   * Records an answered call.
   *
   * @param route - Route of the call.
   * @param ms - Time from sending the request to the end of the response, in milliseconds.
   * @param slowdown - Factor by which work took longer there than usual when the call started.
   */
  recordCall(route: Route, ms: number, slowdown: number): void {
    const { samples } = this.#averages.get(route.name) ?? { samples: initialEstimateWeight };
    const averageMs = this.estimateMs(route);
    const normalizedMs = Math.min(ms / Math.max(0.1, slowdown), averageMs * maxOutlierRatio);
    const weight = Math.max(minSampleWeight, 1 / (samples + 1));
    this.#averages.set(route.name, {
      ms: averageMs + weight * (normalizedMs - averageMs),
      samples: samples + 1,
    });
  }

  /** Records the slowdown that an endpoint of a service reports. */
  recordSlowdown(service: ServiceId, slowdown: number): void {
    const average = this.#slowdowns.get(service) ?? 1;
    this.#slowdowns.set(service, average + slowdownSampleWeight * (slowdown - average));
  }

  /** @returns The estimated latency of a route at the usual speed, in milliseconds. */
  estimateMs({ name, targetLatencyMs }: Pick<Route, 'name' | 'targetLatencyMs'>): number {
    return this.#averages.get(name)?.ms ?? initialEstimateShare * targetLatencyMs;
  }

  /** @returns The average slowdown of a service's endpoints. */
  getSlowdown(service: ServiceId): number {
    return this.#slowdowns.get(service) ?? 1;
  }

  /** Drops the estimates of all routes but these. */
  retainRoutes(names: ReadonlySet<RouteName>): void {
    [...this.#averages.keys()].forEach((name) => {
      if (!names.has(name)) this.#averages.delete(name);
    });
  }
}
