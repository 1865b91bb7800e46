import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  findRule,
  findService,
  makeRandom,
  rankByHash,
  serviceSchema,
  shuffle,
  toName,
} from '../src/index.js';
import type { Service } from '../src/index.js';

function makeService(name: string, routes: unknown[], changes: object = {}): Service {
  return serviceSchema.parse({ name, routes, ...changes });
}

describe('findService', () => {
  const services = [
    makeService('fees', [{ pathPrefix: '/fee' }]),
    makeService('late-fees', [{ pathPrefix: '/fee/late' }]),
    makeService('other-host', [{ host: 'b.example', pathPrefix: '/' }]),
  ];

  /** Guards against routing a call to the service of a similar path. */
  it.each([
    { host: 'a', path: '/fee', expected: 'fees' },
    { host: 'a', path: '/fee/7', expected: 'fees' },
    { host: 'a', path: '/fees', expected: undefined },
    { host: 'a', path: '/fee/late/7', expected: 'late-fees' },
    { host: 'b.example', path: '/fee/late/7', expected: 'other-host' },
    { host: 'a', path: '/', expected: undefined },
  ])('routes $host $path to $expected', ({ host, path, expected }) => {
    expect(findService(services, host, path)?.name).toBe(expected);
  });
});

describe('findRule', () => {
  const service = makeService('s', [], {
    rules: [
      { name: 'search', methods: ['POST'], pathPrefix: '/s/search', repeat: 'idempotent' },
      { name: 'pay', methods: ['POST'], repeat: 'once' },
    ],
  });

  /** Guards against duplicate payments: an unsafe method without a rule is not idempotent. */
  it.each([
    { method: 'POST', path: '/s/search/x', name: 'search', repeat: 'idempotent' },
    { method: 'POST', path: '/s/search', name: 'search', repeat: 'idempotent' },
    // Guards against a payment that is repeated under the rule of a path with the same beginning.
    { method: 'POST', path: '/s/searches', name: 'pay', repeat: 'once' },
    { method: 'POST', path: '/s', name: 'pay', repeat: 'once' },
    { method: 'GET', path: '/s', name: 'default-idempotent', repeat: 'idempotent' },
    { method: 'PUT', path: '/s', name: 'default-once', repeat: 'once' },
    { method: 'DELETE', path: '/s', name: 'default-once', repeat: 'once' },
  ])('applies $name to $method $path', ({ method, path, name, repeat }) => {
    expect(findRule(service, method, path)).toMatchObject({ name, repeat });
  });
});

describe('validation', () => {
  /** Guards against putting a configuration with an unusable endpoint in force. */
  it.each([
    { name: 'no port', endpoint: { id: 'a', address: '127.0.0.1', failureDomain: 'x' } },
    { name: 'a bad octet', endpoint: { id: 'a', address: '127.0.0.256:1', failureDomain: 'x' } },
    { name: 'a bad id', endpoint: { id: 'A b', address: '127.0.0.1:1', failureDomain: 'x' } },
    {
      name: 'no slots',
      endpoint: { id: 'a', address: '127.0.0.1:1', failureDomain: 'x', slots: 0 },
    },
  ])('rejects an endpoint with $name', ({ endpoint }) => {
    expect(serviceSchema.safeParse({ name: 's', endpoints: [endpoint] }).success).toBe(false);
  });

  /** Guards against two endpoints that share their credits and health. */
  it('rejects two endpoints with the same id', () => {
    const endpoint = { id: 'a', address: '127.0.0.1:1', failureDomain: 'x' };
    const parsed = serviceSchema.safeParse({ name: 's', endpoints: [endpoint, endpoint] });
    expect(parsed.success).toBe(false);
  });

  /** Guards against names that are not valid in stored keys, metric labels or commands. */
  it.each(['', 'A', '-a', 'a-', 'a b', 'a'.repeat(65)])('rejects the name %j', (text) => {
    expect(() => toName(text)).toThrow(RangeError);
  });
});

describe('rankByHash', () => {
  const names = fc.uniqueArray(fc.stringMatching(/^[a-z0-9]{1,8}$/), {
    minLength: 2,
    maxLength: 12,
  });

  /** Guards against a change of owner for slots and shards that the lost instance did not own. */
  it('moves only the keys of the removed candidate', () => {
    fc.assert(
      fc.property(names, fc.string(), (candidates, key) => {
        const before = rankByHash(key, candidates);
        const lost = candidates[0] as string;
        const after = rankByHash(
          key,
          candidates.filter((name) => name !== lost),
        );
        expect(after).toEqual(before.filter((name) => name !== lost));
      }),
      { seed: 11 },
    );
  });

  /** Guards against one entry instance that owns most of the slots. */
  it('distributes keys evenly over similar names', () => {
    const candidates = ['entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5'];
    const counts = new Map<string, number>();
    for (let key = 0; key < 5000; key++) {
      const [owner = ''] = rankByHash(`status-${key % 50}|${key}`, candidates);
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    for (const count of counts.values()) expect(Math.abs(count - 1000)).toBeLessThan(150);
  });
});

/** Guards against lost or duplicated items. */
it('shuffles without losing items', () => {
  fc.assert(
    fc.property(fc.array(fc.integer()), fc.integer({ min: 0 }), (items, seed) => {
      const shuffled = shuffle(makeRandom(seed), items);
      expect([...shuffled].sort()).toEqual([...items].sort());
    }),
    { seed: 12 },
  );
});
