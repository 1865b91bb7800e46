import type { ServiceId } from '@dotterelpass/values';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { GatewayConfig, Route, RouteName } from '../src/catalog.js';
import { CallerTimeouts } from '../src/timeouts.js';
import { RouteTable } from '../src/routes.js';

const makeRoute = (pathPrefix: string, change: Partial<Route> = {}): Route => ({
  name: `r${pathPrefix}` as RouteName,
  host: 'h',
  pathPrefix,
  targets: [{ service: 'a' as ServiceId, weight: 1 }],
  repeat: 'once',
  timeoutMs: 1000,
  targetLatencyMs: 200,
  maxAttempts: 2,
  priority: 1,
  ...change,
});

const makeCatalog = (version: number, ...routes: Route[]): GatewayConfig => ({
  version,
  routes,
  services: new Map(),
  bounds: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleMs: 1 },
});

describe('RouteTable', () => {
  it.each([
    { path: '/a/x', expectedPrefix: '/a/' },
    { path: '/a/b/x', expectedPrefix: '/a/b/' },
    { path: '/a/bx', expectedPrefix: '/a/' },
    { path: '/a', expectedPrefix: undefined },
    { path: '/', expectedPrefix: undefined },
  ])('finds $expectedPrefix for $path', ({ path, expectedPrefix }) => {
    const table = new RouteTable();
    table.setConfig(makeCatalog(1, makeRoute('/a/'), makeRoute('/a/b/')));
    expect(table.findRoute('h', path)?.pathPrefix).toBe(expectedPrefix);
    expect(table.findRoute('other', path)).toBeUndefined();
  });

  /**
   * Guards against routes that stay in force or go missing when only the tables of changed hosts are
   * built, and against other routes than the longest prefix, of which the first in the list counts.
   */
  it('finds after any changes what a search of all routes finds', () => {
    const hosts = ['h', 'i', 'j'];
    const prefixes = ['/', '/a/', '/a/b/', '/a/b/c/', '/b/', '//', '/a//', '', '/a', '/a/b', 'a/'];
    const services = ['a', 'b', 'c'] as ServiceId[];
    const paths = [...prefixes, '/a/b/c', '/a/bc/', '/a/b/c/d/e', '/ab', '/b/x', '/b//x', '///'];
    const routes = fc
      .record({
        host: fc.constantFrom(...hosts),
        prefix: fc.constantFrom(...prefixes),
        service: fc.constantFrom(...services),
        priority: fc.nat(3),
      })
      .map(({ host, prefix, service, priority }) =>
        makeRoute(prefix, { host, priority, targets: [{ service, weight: 1 }] }),
      );
    const edit = fc.record({
      at: fc.nat(12),
      remove: fc.nat(3),
      insert: fc.array(routes, { maxLength: 3 }),
      moves: fc.boolean(),
    });
    const initial = fc.array(routes, { maxLength: 12 });
    fc.assert(
      fc.property(initial, fc.array(edit, { maxLength: 6 }), (list, edits) => {
        const table = new RouteTable();
        let present = list;
        [undefined, ...edits].forEach((change, version) => {
          if (change) {
            const { at, remove, insert, moves } = change;
            const removed = present.slice(at, at + remove);
            present = [
              ...(moves ? removed : []),
              ...present.slice(0, at),
              ...insert,
              ...present.slice(at + remove),
            ];
          }
          table.setConfig(makeCatalog(version, ...present));
          const byLength = present.toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length);
          hosts.forEach((host) =>
            paths.forEach((path) => {
              const expected = byLength.find(
                (route) => route.host === host && path.startsWith(route.pathPrefix),
              );
              expect(table.findRoute(host, path)).toBe(expected);
            }),
          );
          services.forEach((service) => {
            const priorities = present
              .filter(({ targets }) => targets[0]?.service === service)
              .map(({ priority }) => priority);
            [0, 1, 2, 3].forEach((priority) => {
              const route = makeRoute('/', { priority });
              const isUrgent = priorities.some((other) => other > priority);
              expect(table.isUrgent(route, service)).toBe(isUrgent);
              const isDeferrable = priorities.some((other) => other < priority);
              expect(table.isDeferrable(route, service)).toBe(isDeferrable);
            });
          });
        });
      }),
      { numRuns: 300, seed: 14 },
    );
  });

  /** Guards against a call whose path has as many segments as a request line can hold. */
  it('finds the route of a path with thousands of segments', () => {
    const table = new RouteTable();
    const long = makeRoute(`/${'a/'.repeat(1000)}`);
    table.setConfig(makeCatalog(1, makeRoute('/a/'), long));
    expect(table.findRoute('h', `/${'a/'.repeat(8000)}`)).toBe(long);
    expect(table.findRoute('h', `/a/${'/'.repeat(8000)}`)?.pathPrefix).toBe('/a/');
  });

  /** Guards against a configuration that is replaced by an older version. */
  it.each([
    { version: 6, replaced: true },
    { version: 5, replaced: false },
    { version: 4, replaced: false },
  ])('replaces version 5 by version $version: $replaced', ({ version, replaced }) => {
    const table = new RouteTable();
    table.setConfig(makeCatalog(5, makeRoute('/a/')));
    expect(table.setConfig(makeCatalog(version, makeRoute('/b/')))).toBe(replaced);
    expect(table.findRoute('h', '/b/x') !== undefined).toBe(replaced);
  });

  /** Guards against wrong shares over few calls and across configuration changes. */
  it('divides the calls of a route by weight', () => {
    const targets = [
      { service: 'a' as ServiceId, weight: 90 },
      { service: 'b' as ServiceId, weight: 10 },
      { service: 'c' as ServiceId, weight: 0 },
    ];
    const table = new RouteTable();
    const counts = new Map<string, number>();
    for (let index = 0; index < 100; index++) {
      if (index % 7 === 0) table.setConfig(makeCatalog(index + 1, makeRoute('/a/', { targets })));
      const route = table.findRoute('h', '/a/x') as Route;
      const service = table.pickService(route) as string;
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    expect(counts.get('a')).toBeGreaterThanOrEqual(89);
    expect(counts.get('b')).toBeGreaterThanOrEqual(9);
    expect(counts.has('c')).toBe(false);
  });

  it('treats a route as urgent if its service has less urgent routes', () => {
    const table = new RouteTable();
    const urgent = makeRoute('/u/', { priority: 0 });
    const lessUrgent = makeRoute('/o/', { priority: 2 });
    table.setConfig(makeCatalog(1, urgent, lessUrgent));
    expect(table.isUrgent(urgent, 'a' as ServiceId)).toBe(true);
    expect(table.isUrgent(lessUrgent, 'a' as ServiceId)).toBe(false);
    expect(table.isUrgent(urgent, 'b' as ServiceId)).toBe(false);
  });

  /** Guards against calls that use up the retry budget of more urgent ones. */
  it('treats a route as deferrable if its service has more urgent routes', () => {
    const table = new RouteTable();
    const urgent = makeRoute('/u/', { priority: 0 });
    const lessUrgent = makeRoute('/o/', { priority: 2 });
    table.setConfig(makeCatalog(1, urgent, lessUrgent));
    expect(table.isDeferrable(lessUrgent, 'a' as ServiceId)).toBe(true);
    expect(table.isDeferrable(urgent, 'a' as ServiceId)).toBe(false);
    expect(table.isDeferrable(lessUrgent, 'b' as ServiceId)).toBe(false);
  });
});

describe('CallerTimeouts', () => {
  const route = 'r' as RouteName;
  const makeTrainedTimeouts = (): CallerTimeouts => {
    const table = new CallerTimeouts();
    for (let index = 0; index < 300; index++) {
      // The timeouts of new callers differ by 15%, and a few callers wait much longer.
      table.estimateWaitedMs(route, index % 25 === 0 ? 3000 : 1020 + (index % 10) * 20);
    }
    return table;
  };

  it.each([
    { callerTimeoutMs: undefined, minMs: 0, maxMs: 0 },
    { callerTimeoutMs: 1200, minMs: 0, maxMs: 0 },
    // Guards against refusing new callers as late because other callers wait longer.
    { callerTimeoutMs: 1020, minMs: 0, maxMs: 0 },
    { callerTimeoutMs: 3000, minMs: 0, maxMs: 0 },
    { callerTimeoutMs: 700, minMs: 300, maxMs: 550 },
  ])(
    'estimates $minMs to $maxMs ms waited for a timeout of $callerTimeoutMs ms',
    ({ callerTimeoutMs, minMs, maxMs }) => {
      const waited = makeTrainedTimeouts().estimateWaitedMs(route, callerTimeoutMs);
      expect(waited).toBeGreaterThanOrEqual(minMs);
      expect(waited).toBeLessThanOrEqual(maxMs);
    },
  );
});
