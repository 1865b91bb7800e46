import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ManualClock, makeRandom } from '@dotterelpass/values';
import type { EndpointId } from '@dotterelpass/values';
import { Health } from '../src/health.js';
import {
  CreditPolicy,
  LeastInFlight,
  PowerOfTwo,
  RandomPolicy,
  RoundRobin,
} from '../src/policy.js';

const ids = ['a', 'b', 'c', 'd', 'e'] as EndpointId[];
const [a, b] = ids as [EndpointId, EndpointId];
const candidate = (id: EndpointId, inFlight: number, expectedMs = 5) => ({
  id,
  inFlight,
  expectedMs,
});

function openHealth() {
  const clock = new ManualClock();
  const health = new Health(clock);
  ids.forEach((id) => health.recordResponse(id, 'short', 10));
  return { clock, health };
}

describe('BalancingPolicy', () => {
  /** Guards against wrong baseline policies, which would invalidate comparisons with them. */
  it.each([
    { name: 'round robin', policy: new RoundRobin(), expected: 'abcab' },
    { name: 'least in flight', policy: new LeastInFlight(makeRandom(1)), expected: 'bbbbb' },
    { name: 'credits', policy: new CreditPolicy(makeRandom(1)), expected: 'ccccc' },
  ])('$name picks $expected', ({ policy, expected }) => {
    const candidates = [candidate(a, 2), candidate(b, 0), candidate('c' as EndpointId, 1, 1)];
    expect([1, 2, 3, 4, 5].map(() => policy.pick(candidates)?.id).join('')).toBe(expected);
    expect(policy.pick([])).toBeUndefined();
  });

  /** Guards against a policy that picks one of the endpoints too often. */
  it.each([
    { name: 'random', policy: new RandomPolicy(makeRandom(2)), shares: [500, 500] },
    { name: 'power of two', policy: new PowerOfTwo(makeRandom(2)), shares: [0, 1000] },
  ])('$name distributes calls as $shares', ({ policy, shares }) => {
    const candidates = [candidate(a, 9), candidate(b, 0)];
    const picked = Array.from({ length: 1000 }, () => policy.pick(candidates)?.id);
    ids.slice(0, 2).forEach((id, index) => {
      const count = picked.filter((pick) => pick === id).length;
      expect(Math.abs(count - (shares[index] as number))).toBeLessThan(60);
    });
  });

  /** Guards against a pick that is slower or more loaded than the policy permits. */
  it('picks the least loaded endpoint within 25% of the lowest expected latency', () => {
    const pools = fc.array(fc.tuple(fc.nat(3), fc.integer({ min: 1, max: 100 })), { minLength: 1 });
    fc.assert(
      fc.property(pools, fc.nat(), (rows, seed) => {
        const pool = rows.map(([inFlight, ms], index) =>
          candidate(`e${index}` as EndpointId, inFlight, ms),
        );
        const [fastest] = [...pool].sort((x, y) => x.expectedMs - y.expectedMs);
        const picked = new CreditPolicy(makeRandom(seed)).pick(pool);
        const limit = (fastest?.expectedMs ?? 0) * 1.25;
        expect(picked?.expectedMs).toBeLessThanOrEqual(limit);
        const withinLimit = pool.filter(({ expectedMs }) => expectedMs <= limit);
        expect(picked?.inFlight).toBe(Math.min(...withinLimit.map(({ inFlight }) => inFlight)));
      }),
      { seed: 7 },
    );
  });

  /** Guards against a call to a slow endpoint when a fast endpoint will be free sooner. */
  it('picks no endpoint when waiting for another is faster', () => {
    const policy = new CreditPolicy(makeRandom(1));
    expect(policy.pick([candidate(a, 0, 100)], 50)).toBeUndefined();
    expect(policy.pick([candidate(a, 0, 40)], 50)?.id).toBe(a);
  });
});

describe('Health', () => {
  /** Guards against attracting calls to endpoints that are slow, fail fast or are far away. */
  it.each([
    {
      name: 'slow response',
      record: (health: Health) => health.recordResponse(a, 'short', 50),
      delayMs: 0,
    },
    { name: 'fast failure', record: (health: Health) => health.recordFailure(a), delayMs: 0 },
    { name: 'fast load shedding', record: (health: Health) => health.recordShed(a), delayMs: 0 },
    { name: 'long network delay', record: () => undefined, delayMs: 1.5 },
  ])('estimates a higher latency after: $name', ({ record, delayMs }) => {
    const { health } = openHealth();
    record(health);
    expect(health.estimateLatencyMs(a, delayMs)).toBeGreaterThan(
      health.estimateLatencyMs(b, 0) * 1.25,
    );
  });

  /** Guards against averages that follow a sudden slowdown too late or hide failures. */
  it('gives a slow response its full weight and counts a failure as the slowest response', () => {
    const { health } = openHealth();
    const normalMs = health.estimateLatencyMs(b, 0);
    health.recordResponse(a, 'short', 50);
    expect(health.estimateLatencyMs(a, 0)).toBeGreaterThan(normalMs * 4);
    health.recordFailure(b);
    expect(health.estimateLatencyMs(b, 0)).toBeGreaterThan(normalMs * 8);
  });

  /** Guards against a preference for nearby endpoints that ignores their latency. */
  it('estimates a lower latency for a distant endpoint than for a slow nearby one', () => {
    const { health } = openHealth();
    health.recordResponse(a, 'short', 40);
    expect(health.estimateLatencyMs(b, 1.5)).toBeLessThan(health.estimateLatencyMs(a, 0));
  });

  /** Guards against avoiding an endpoint because it serves a class whose calls all run long. */
  it('compares the latency of a call with the average of its class', () => {
    const { health } = openHealth();
    health.recordResponse(a, 'long', 500);
    expect(health.estimateLatencyMs(a, 0)).toBeCloseTo(health.estimateLatencyMs(b, 0));
  });

  /** Guards against an endpoint that is avoided forever after one slow response. */
  it('lets a peak decay without further samples', () => {
    const { health, clock } = openHealth();
    health.recordResponse(a, 'short', 80);
    clock.advance(20_000);
    expect(health.estimateLatencyMs(a, 0)).toBeCloseTo(health.estimateLatencyMs(b, 0));
  });

  /** Guards against ejecting so many endpoints that the rest of the pool is overloaded. */
  it.each([
    { failing: 1, minPoolShare: 0.6, ejected: 1 },
    { failing: 5, minPoolShare: 0.6, ejected: 2 },
    { failing: 5, minPoolShare: 1, ejected: 0 },
    { failing: 5, minPoolShare: 0, ejected: 5 },
  ])('ejects $ejected of 5 when $failing fail', ({ failing, minPoolShare, ejected }) => {
    const { health } = openHealth();
    ids.slice(0, failing).forEach((id, index) => {
      Array.from({ length: 9 - index }, () => health.recordFailure(id));
    });
    const ejectedIds = [...health.listEjected(ids, minPoolShare)];
    // The endpoints with the fewest failures stay in use.
    expect(ejectedIds).toEqual(ids.slice(0, ejected));
  });

  /** Guards against an endpoint that keeps failing and gets calls again every second. */
  it('doubles the ejection time and ends each ejection with a slow start', () => {
    const { health, clock } = openHealth();
    const ejectionsMs = [1, 2, 3].map(() => {
      Array.from({ length: 5 }, () => health.recordFailure(a));
      let ms = 0;
      for (; health.listEjected(ids, 0).has(a); ms += 100) clock.advance(100);
      expect(health.countCredits(a, 3)).toBe(1);
      return ms;
    });
    expect(ejectionsMs).toEqual([1000, 2000, 4000]);
  });

  /** Guards against the full load on an endpoint that has just started. */
  it.each([
    { afterMs: 0, credits: 1 },
    { afterMs: 2500, credits: 2 },
    { afterMs: 5000, credits: 3 },
  ])(
    'allows $credits of 3 credits $afterMs ms after the beginning of the slow start',
    ({ afterMs, credits }) => {
      const { health, clock } = openHealth();
      health.beginSlowStart(a);
      clock.advance(afterMs);
      expect(health.countCredits(a, 3)).toBe(credits);
    },
  );

  /** Guards against false load reports: they add no credits and leave at least one. */
  it.each([
    { reported: 0, fleetCalls: 3, credits: 3, laterMs: 0 },
    { reported: 2, fleetCalls: 1, credits: 2, laterMs: 0 },
    { reported: 99, fleetCalls: 1, credits: 1, laterMs: 0 },
    { reported: 99, fleetCalls: 1, credits: 3, laterMs: 250 },
  ])(
    'leaves $credits credits $laterMs ms after $reported reported and $fleetCalls known calls',
    ({ reported, fleetCalls, credits, laterMs }) => {
      const { health, clock } = openHealth();
      const before = health.estimateLatencyMs(a, 0);
      health.recordLoadReport(a, reported, fleetCalls);
      clock.advance(laterMs);
      expect(health.countCredits(a, 3)).toBe(credits);
      expect(health.estimateLatencyMs(a, 0)).toBe(before);
    },
  );
});
