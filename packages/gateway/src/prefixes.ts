import type { Route } from './catalog.js';

/**
 * Routes of one host by path prefix. Of several routes with the same prefix, the first counts.
 */
export class PrefixTable {
  /** Routes whose prefix ends with a slash. */
  readonly #byPrefix = new Map<string, Route>();

  /** Numbers of the prefixes that end with a slash, by length. */
  readonly #lengths = new Map<number, number>();

  /** The length of the longest prefix that ends with a slash, or more. */
  #maxLength = 0;

  /** Routes with other prefixes, which the configuration should not have, longest prefix first. */
  readonly #others: readonly Route[];

  /** Whether routes have the same prefix, so that their order counts. */
  #hasDuplicates = false;

  constructor(routes: readonly Route[]) {
    const others: Route[] = [];
    routes.forEach((route) => {
      if (!isRegular(route)) others.push(route);
      else if (this.#byPrefix.has(route.pathPrefix)) this.#hasDuplicates = true;
      else this.#addRoute(route);
    });
    this.#others = others.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }

  /**
   * Replaces routes, if the order of the routes does not count.
   *
   * @param removed - Routes of this table.
   * @param added - Routes that take their place.
   * @returns False when the table has to be built anew; it is unchanged then.
   */
  replaceRoutes(removed: readonly Route[], added: readonly Route[]): boolean {
    const freed = new Set(removed.map(({ pathPrefix }) => pathPrefix));
    const taken = new Set(added.map(({ pathPrefix }) => pathPrefix));
    const isFree = (prefix: string) => freed.has(prefix) || !this.#byPrefix.has(prefix);
    if (this.#hasDuplicates || taken.size < added.length || ![...taken].every(isFree)) return false;
    if (![...removed, ...added].every(isRegular)) return false;
    removed.forEach((route) => this.#removeRoute(route));
    added.forEach((route) => this.#addRoute(route));
    return true;
  }

  /** Finds the route with the longest prefix that a path begins with. */
  findRoute(path: string): Route | undefined {
    const route = this.#findByPrefix(path);
    const other = this.#others.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    if (!route || !other) return route ?? other;
    return other.pathPrefix.length > route.pathPrefix.length ? other : route;
  }

  #addRoute(route: Route): void {
    const { pathPrefix } = route;
    const { length } = pathPrefix;
    this.#byPrefix.set(pathPrefix, route);
    this.#lengths.set(length, (this.#lengths.get(length) ?? 0) + 1);
    this.#maxLength = Math.max(this.#maxLength, length);
  }

  #removeRoute({ pathPrefix }: Route): void {
    const count = (this.#lengths.get(pathPrefix.length) ?? 0) - 1;
    this.#byPrefix.delete(pathPrefix);
    if (count > 0) this.#lengths.set(pathPrefix.length, count);
    else this.#lengths.delete(pathPrefix.length);
  }

  #findByPrefix(path: string): Route | undefined {
    // Paths may have thousands of slashes, but only as many lengths as prefixes have are looked up.
    for (
      let slashAt = path.lastIndexOf('/', this.#maxLength - 1);
      slashAt >= 0;
      slashAt = slashAt === 0 ? -1 : path.lastIndexOf('/', slashAt - 1)
    ) {
      const length = slashAt + 1;
      const route = this.#lengths.has(length) && this.#byPrefix.get(path.slice(0, length));
      if (route) return route;
    }
    return undefined;
  }
}

function isRegular({ pathPrefix }: Route): boolean {
  return pathPrefix.endsWith('/');
}
