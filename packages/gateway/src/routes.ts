import type { ServiceId } from '@dotterelpass/values';
import type { GatewayConfig, Route, RouteName } from './catalog.js';

/**
 * Current weights of the targets of a route, as in smooth weighted round robin: the target with the
 * highest weight is next.
 */
type CurrentWeights = Map<ServiceId, number>;

type Prioritized = Pick<Route, 'priority'>;

/** Matches calls to routes, and divides the calls of a route between its targets by weight. */
export class RouteTable {
  #version = -1;

  #hosts = new Map<string, readonly Route[]>();

  /** Priorities that the calls of each service can have; 0 is the most urgent. */
  #priorities = new Map<ServiceId, ReadonlySet<number>>();

  /** Kept across configurations, so that the shares also hold when these change often. */
  #currentWeights = new Map<RouteName, CurrentWeights>();

  /** Version of the configuration in use; -1 before the first. */
  get version(): number {
    return this.#version;
  }

  /**
   * Replaces the configuration by a newer one.
   *
   * @param config - The configuration.
   * @returns False when the version is not newer than that of the present configuration.
   */
  setConfig(config: GatewayConfig): boolean {
    if (config.version <= this.#version) return false;
    const hosts = new Map<string, Route[]>();
    config.routes.forEach((route) => {
      const existing = hosts.get(route.host);
      if (existing) existing.push(route);
      else hosts.set(route.host, [route]);
    });
    hosts.forEach((routes) => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
    const names = new Set(config.routes.map(({ name }) => name));
    this.#currentWeights = new Map([...this.#currentWeights].filter(([name]) => names.has(name)));
    this.#hosts = hosts;
    this.#priorities = groupPriorities(config);
    this.#version = config.version;
    return true;
  }

  /**
   * Finds the route with the longest matching path prefix.
   *
   * @param host - Host in lower case, without port.
   * @param path - Path without query.
   */
  findRoute(host: string, path: string): Route | undefined {
    return this.#hosts.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** Whether a service also gets calls of a less urgent priority than this one. */
  isUrgent({ priority }: Prioritized, service: ServiceId): boolean {
    return [...(this.#priorities.get(service) ?? [])].some((other) => other > priority);
  }

  /** Whether a service also gets calls of a more urgent priority than this one. */
  isDeferrable({ priority }: Prioritized, service: ServiceId): boolean {
    return [...(this.#priorities.get(service) ?? [])].some((other) => other < priority);
  }

  /**
   * Picks the service of the next call of a route by smooth weighted round robin, whose shares also
   * hold over few calls.
   *
   * @param route - The route.
   * @returns The service; undefined when no target has a positive weight.
   */
  pickService(route: Route): ServiceId | undefined {
    const { targets } = route;
    if (targets.length === 1) return targets[0]?.service;
    const weights = this.#getOrCreateWeights(route.name);
    const total = targets.reduce((sum, { weight }) => sum + weight, 0);
    let best: ServiceId | undefined;
    let highest = -Infinity;
    targets.forEach(({ service, weight }) => {
      const newWeight = (weights.get(service) ?? 0) + weight / total;
      weights.set(service, newWeight);
      if (weight > 0 && newWeight > highest) {
        highest = newWeight;
        best = service;
      }
    });
    if (best !== undefined) weights.set(best, highest - 1);
    return best;
  }

  #getOrCreateWeights(name: RouteName): CurrentWeights {
    const existing = this.#currentWeights.get(name);
    if (existing) return existing;
    const weights: CurrentWeights = new Map();
    this.#currentWeights.set(name, weights);
    return weights;
  }
}

/**
 * Groups the priorities of calls by service. Each workspace may call each route; the priority of the
 * route counts for workspaces without one, and for anonymous calls.
 */
function groupPriorities({
  routes,
  workspaces,
}: GatewayConfig): Map<ServiceId, ReadonlySet<number>> {
  const all = workspaces?.list().map(({ priority }) => priority) ?? [undefined];
  const ofWorkspaces = all.filter((priority) => priority !== undefined);
  const groups = new Map<ServiceId, Set<number>>();
  routes.forEach(({ targets, priority, isPublic }) => {
    const mayUseOwn = isPublic === true || ofWorkspaces.length < all.length;
    targets.forEach(({ service }) => {
      const group = groups.get(service) ?? new Set(ofWorkspaces);
      groups.set(service, group);
      if (mayUseOwn) group.add(priority);
    });
  });
  return groups;
}
