import type { ServiceId } from '@dotterelpass/values';
import type { GatewayConfig, Route, RouteName } from './catalog.js';
import { PrefixTable } from './prefixes.js';

/**
 * Current weights of the targets of a route, as in smooth weighted round robin: the target with the
 * highest weight is next.
 */
type CurrentWeights = Map<ServiceId, number>;

type Prioritized = Pick<Route, 'priority'>;

/** Matches calls to routes, and divides the calls of a route between its targets by weight. */
export class RouteTable {
  #version = -1;

  #routes: readonly Route[] = [];

  #names: ReadonlySet<RouteName> = new Set();

  readonly #hosts = new Map<string, PrefixTable>();

  /** Priorities of all routes, and of those that callers without a key may use. */
  readonly #priorities = new PriorityCounts();

  readonly #publicPriorities = new PriorityCounts();

  /** Priorities that workspaces have of their own, and whether all of them have one. */
  #workspacePriorities: ReadonlySet<number> = new Set();

  #haveAllOwnPriority = false;

  /** Kept across configurations, so that the shares also hold when these change often. */
  #currentWeights = new Map<RouteName, CurrentWeights>();

  /** Version of the configuration in use; -1 before the first. */
  get version(): number {
    return this.#version;
  }

  /** Names of the routes; the same set as before unless a name was added or removed. */
  get names(): ReadonlySet<RouteName> {
    return this.#names;
  }

  /**
   * Replaces the configuration by a newer one. What belongs to routes that are the same objects as
   * before is kept.
   *
   * @param config - The configuration.
   * @returns False when the version is not newer than that of the present configuration.
   */
  setConfig({ version, routes, workspaces }: GatewayConfig): boolean {
    if (version <= this.#version) return false;
    const { removed, added } = findChangedRun(this.#routes, routes);
    this.#rebuildHosts(removed, added, routes);
    this.#countPriorities(removed, -1);
    this.#countPriorities(added, 1);
    const priorities = workspaces?.list().map(({ priority }) => priority) ?? [];
    this.#workspacePriorities = new Set(priorities.filter((priority) => priority !== undefined));
    this.#haveAllOwnPriority = priorities.length > 0 && !priorities.includes(undefined);
    this.#updateNames(removed, added, routes);
    this.#routes = routes;
    this.#version = version;
    return true;
  }

  /**
   * Finds the route with the longest matching path prefix.
   *
   * @param host - Host in lower case, without port.
   * @param path - Path without query.
   */
  findRoute(host: string, path: string): Route | undefined {
    return this.#hosts.get(host)?.findRoute(path);
  }

  /** Whether a service also gets calls of a less urgent priority than this one. */
  isUrgent({ priority }: Prioritized, service: ServiceId): boolean {
    return this.#listPriorities(service).some((other) => other > priority);
  }

  /** Whether a service also gets calls of a more urgent priority than this one. */
  isDeferrable({ priority }: Prioritized, service: ServiceId): boolean {
    return this.#listPriorities(service).some((other) => other < priority);
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

  #rebuildHosts(
    removed: readonly Route[],
    added: readonly Route[],
    routes: readonly Route[],
  ): void {
    const before = groupByHost(removed);
    const after = groupByHost(added);
    const changed = [...new Set([...before.keys(), ...after.keys()])].filter(
      (host) => !this.#replaceHost(host, before.get(host) ?? [], after.get(host) ?? []),
    );
    if (changed.length === 0) return;
    const hosts = new Set(changed);
    const lists = groupByHost(routes.filter(({ host }) => hosts.has(host)));
    changed.forEach((host) => {
      const list = lists.get(host);
      if (list) this.#hosts.set(host, new PrefixTable(list));
      else this.#hosts.delete(host);
    });
  }

  /** @returns False when the table of the host has to be built anew. */
  #replaceHost(host: string, removed: readonly Route[], added: readonly Route[]): boolean {
    if (isSameList(removed, added)) return true;
    return added.length > 0 && this.#hosts.get(host)?.replaceRoutes(removed, added) === true;
  }

  /**
   * Lists the priorities that calls of a service can have. Each workspace may call each route; the
   * priority of a route counts for workspaces without one, and for callers without a key.
   */
  #listPriorities(service: ServiceId): readonly number[] {
    const ofRoutes = this.#haveAllOwnPriority ? this.#publicPriorities : this.#priorities;
    return [...this.#workspacePriorities, ...ofRoutes.list(service)];
  }

  #countPriorities(routes: readonly Route[], change: 1 | -1): void {
    routes.forEach((route) => {
      this.#priorities.add(route, change);
      if (route.isPublic) this.#publicPriorities.add(route, change);
    });
  }

  #updateNames(removed: readonly Route[], added: readonly Route[], routes: readonly Route[]): void {
    const before = new Set(removed.map(({ name }) => name));
    const after = new Set(added.map(({ name }) => name));
    if (before.size === after.size && [...before].every((name) => after.has(name))) return;
    const names = new Set(routes.map(({ name }) => name));
    this.#names = names;
    this.#currentWeights = new Map([...this.#currentWeights].filter(([name]) => names.has(name)));
  }
}

/** Numbers of routes by service and priority; 0 is the most urgent. */
class PriorityCounts {
  readonly #counts = new Map<ServiceId, Map<number, number>>();

  list(service: ServiceId): readonly number[] {
    return [...(this.#counts.get(service)?.keys() ?? [])];
  }

  add({ targets, priority }: Route, change: 1 | -1): void {
    targets.forEach(({ service }) => {
      const counts = this.#counts.get(service) ?? new Map<number, number>();
      const count = (counts.get(priority) ?? 0) + change;
      if (count > 0) counts.set(priority, count);
      else counts.delete(priority);
      if (counts.size > 0) this.#counts.set(service, counts);
      else this.#counts.delete(service);
    });
  }
}

/** Finds the shortest runs of routes outside of which two lists have the same objects. */
function findChangedRun(
  before: readonly Route[],
  after: readonly Route[],
): { readonly removed: readonly Route[]; readonly added: readonly Route[] } {
  const maxCommon = Math.min(before.length, after.length);
  let start = 0;
  while (start < maxCommon && before[start] === after[start]) start += 1;
  let end = 0;
  while (end < maxCommon - start && before.at(-1 - end) === after.at(-1 - end)) end += 1;
  return {
    removed: before.slice(start, before.length - end),
    added: after.slice(start, after.length - end),
  };
}

function groupByHost(routes: readonly Route[]): Map<string, Route[]> {
  const groups = new Map<string, Route[]>();
  routes.forEach((route) => {
    const existing = groups.get(route.host);
    if (existing) existing.push(route);
    else groups.set(route.host, [route]);
  });
  return groups;
}

function isSameList(a: readonly Route[], b: readonly Route[]): boolean {
  return a.length === b.length && a.every((route, index) => route === b[index]);
}
