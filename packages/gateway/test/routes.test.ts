import type { ServiceId } from '@dotterelpass/values';
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
    { path: '/a/x', found: '/a/' },
    { path: '/a/b/x', found: '/a/b/' },
    { path: '/a/bx', found: '/a/' },
    { path: '/a', found: undefined },
    { path: '/', found: undefined },
  ])('finds $found for $path', ({ path, found }) => {
    const table = new RouteTable();
    table.setConfig(makeCatalog(1, makeRoute('/a/'), makeRoute('/a/b/')));
    expect(table.findRoute('h', path)?.pathPrefix).toBe(found);
    expect(table.findRoute('other', path)).toBeUndefined();
  });

  /** Guards against a configuration that goes back. */
  it.each([
    { version: 6, applied: true },
    { version: 5, applied: false },
    { version: 4, applied: false },
  ])('applies version $version over 5: $applied', ({ version, applied }) => {
    const table = new RouteTable();
    table.setConfig(makeCatalog(5, makeRoute('/a/')));
    expect(table.setConfig(makeCatalog(version, makeRoute('/b/')))).toBe(applied);
    expect(table.findRoute('h', '/b/x') !== undefined).toBe(applied);
  });

  /** Guards the shares of split routes, also over few calls and through changes. */
  it('divides calls by weight', () => {
    const targets = [
      { service: 'a' as ServiceId, weight: 90 },
      { service: 'b' as ServiceId, weight: 10 },
      { service: 'c' as ServiceId, weight: 0 },
    ];
    const table = new RouteTable();
    const counts = new Map<string, number>();
    for (let number = 0; number < 100; number++) {
      if (number % 7 === 0) table.setConfig(makeCatalog(number + 1, makeRoute('/a/', { targets })));
      const route = table.findRoute('h', '/a/x') as Route;
      const service = table.pickService(route) as string;
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    expect(counts.get('a')).toBeGreaterThanOrEqual(89);
    expect(counts.get('b')).toBeGreaterThanOrEqual(9);
    expect(counts.has('c')).toBe(false);
  });

  it('calls a route urgent where its service has less urgent ones', () => {
    const table = new RouteTable();
    const urgent = makeRoute('/u/', { priority: 0 });
    const other = makeRoute('/o/', { priority: 2 });
    table.setConfig(makeCatalog(1, urgent, other));
    expect(table.isUrgent(urgent, 'a' as ServiceId)).toBe(true);
    expect(table.isUrgent(other, 'a' as ServiceId)).toBe(false);
    expect(table.isUrgent(urgent, 'b' as ServiceId)).toBe(false);
  });
});

describe('PatienceTable', () => {
  const route = 'r' as RouteName;
  const fill = (): CallerTimeouts => {
    const table = new CallerTimeouts();
    for (let number = 0; number < 300; number++) {
      // New callers differ by 15%, and a few wait much longer.
      table.estimateWaitedMs(route, number % 25 === 0 ? 3000 : 1020 + (number % 10) * 20);
    }
    return table;
  };

  it.each([
    { patienceMs: undefined, from: 0, to: 0 },
    { patienceMs: 1200, from: 0, to: 0 },
    // Guards against refusing new callers as late because others wait longer.
    { patienceMs: 1020, from: 0, to: 0 },
    { patienceMs: 3000, from: 0, to: 0 },
    { patienceMs: 700, from: 300, to: 550 },
  ])('takes a patience of $patienceMs ms as $from to $to ms waited', ({ patienceMs, from, to }) => {
    const waited = fill().estimateWaitedMs(route, patienceMs);
    expect(waited).toBeGreaterThanOrEqual(from);
    expect(waited).toBeLessThanOrEqual(to);
  });
});
