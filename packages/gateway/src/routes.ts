import type { ServiceId } from '@dotterelpass/values';
import type { GatewayConfig, Route, RouteName } from './catalog.js';

/** Credit of each target of a split route; the target with the most is next. */
type CurrentWeights = Map<ServiceId, number>;

/** Finds the route of a call, and divides the calls of split routes by weight. */
export class RouteTable {
  #version = -1;

  #hosts = new Map<string, readonly Route[]>();

  /** Priority of the least urgent route of each service. */
  #lowestPriority = new Map<ServiceId, number>();

  /** Credits outlive a change of the configuration, so that frequent changes keep the shares. */
  #currentWeights = new Map<RouteName, CurrentWeights>();

  /** Version of the configuration in force; -1 before the first. */
  get version(): number {
    return this.#version;
  }

  /**
   * Puts a configuration in force.
   *
   * @param catalog - The configuration.
   * @returns Whether it is in force: an older one than the present is refused.
   */
  setConfig(catalog: GatewayConfig): boolean {
    if (catalog.version <= this.#version) return false;
    const hosts = new Map<string, Route[]>();
    catalog.routes.forEach((route) => {
      const known = hosts.get(route.host);
      if (known) known.push(route);
      else hosts.set(route.host, [route]);
    });
    hosts.forEach((routes) => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
    const names = new Set(catalog.routes.map(({ name }) => name));
    this.#currentWeights = new Map([...this.#currentWeights].filter(([name]) => names.has(name)));
    this.#hosts = hosts;
    this.#lowestPriority = new Map();
    catalog.routes.forEach(({ targets, priority }) => {
      targets.forEach(({ service }) => {
        const known = this.#lowestPriority.get(service) ?? 0;
        this.#lowestPriority.set(service, Math.max(known, priority));
      });
    });
    this.#version = catalog.version;
    return true;
  }

  /**
   * Finds the route with the longest prefix that begins the path.
   *
   * @param host - Host in lower case, without port.
   * @param path - Path without query.
   */
  findRoute(host: string, path: string): Route | undefined {
    return this.#hosts.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** Whether a service also has routes that are less urgent than this one. */
  isUrgent({ priority }: Route, service: ServiceId): boolean {
    return priority < (this.#lowestPriority.get(service) ?? 0);
  }

  /**
   * Picks the service of the next call of a route: smooth weighted round robin, whose shares hold
   * over any short run of calls.
   *
   * @param route - The route.
   * @returns Undefined when no target has a weight.
   */
  pickService(route: Route): ServiceId | undefined {
    const { targets } = route;
    if (targets.length === 1) return targets[0]?.service;
    const credits = this.#getOrCreateWeights(route.name);
    const total = targets.reduce((sum, { weight }) => sum + weight, 0);
    let best: ServiceId | undefined;
    let most = -Infinity;
    targets.forEach(({ service, weight }) => {
      const credit = (credits.get(service) ?? 0) + weight / total;
      credits.set(service, credit);
      if (weight > 0 && credit > most) {
        most = credit;
        best = service;
      }
    });
    if (best !== undefined) credits.set(best, most - 1);
    return best;
  }

  #getOrCreateWeights(name: RouteName): CurrentWeights {
    const known = this.#currentWeights.get(name);
    if (known) return known;
    const credits: CurrentWeights = new Map();
    this.#currentWeights.set(name, credits);
    return credits;
  }
}
