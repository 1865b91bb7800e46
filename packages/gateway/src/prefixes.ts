import type { Route } from './catalog.js';

/**
 * Routes of one host by path prefix. Of several routes with the same prefix, the first counts.
 */
export class PrefixTable {
  /** Routes whose prefix ends with a slash. */
  readonly #byPrefix = new Map<string, Route>();

  /** Lengths of the prefixes that end with a slash. */
  readonly #lengths = new Set<number>();

  readonly #maxLength: number;

  /** Routes with other prefixes, which the configuration should not have, longest prefix first. */
  readonly #others: readonly Route[];

  constructor(routes: readonly Route[]) {
    const others: Route[] = [];
    let maxLength = 0;
    routes.forEach((route) => {
      const { pathPrefix } = route;
      if (!pathPrefix.endsWith('/')) others.push(route);
      else if (!this.#byPrefix.has(pathPrefix)) {
        this.#byPrefix.set(pathPrefix, route);
        this.#lengths.add(pathPrefix.length);
        maxLength = Math.max(maxLength, pathPrefix.length);
      }
    });
    this.#others = others.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    this.#maxLength = maxLength;
  }

  /** Finds the route with the longest prefix that a path begins with. */
  findRoute(path: string): Route | undefined {
    const route = this.#findByPrefix(path);
    const other = this.#others.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    if (!route || !other) return route ?? other;
    return other.pathPrefix.length > route.pathPrefix.length ? other : route;
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
