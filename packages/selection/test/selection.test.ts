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

describe('policies', () => {
  /** Guards the meaning of the baselines, without which comparisons with them say nothing. */
  it.each([
    { name: 'round robin', policy: new RoundRobin(), expected: 'abcab' },
    { name: 'least in flight', policy: new LeastInFlight(makeRandom(1)), expected: 'bbbbb' },
    { name: 'credits', policy: new CreditPolicy(makeRandom(1)), expected: 'ccccc' },
  ])('$name picks $expected', ({ policy, expected }) => {
    const list = [candidate(a, 2), candidate(b, 0), candidate('c' as EndpointId, 1, 1)];
    expect([1, 2, 3, 4, 5].map(() => policy.pick(list)?.id).join('')).toBe(expected);
    expect(policy.pick([])).toBeUndefined();
  });

  it.each([
    { name: 'random', policy: new RandomPolicy(makeRandom(2)), shares: [500, 500] },
    { name: 'two choices', policy: new PowerOfTwo(makeRandom(2)), shares: [0, 1000] },
  ])('$name spreads calls', ({ policy, shares }) => {
    const list = [candidate(a, 9), candidate(b, 0)];
    const picked = Array.from({ length: 1000 }, () => policy.pick(list)?.id);
    ids.slice(0, 2).forEach((id, index) => {
      const count = picked.filter((pick) => pick === id).length;
      expect(Math.abs(count - (shares[index] as number))).toBeLessThan(60);
    });
  });

  /** Guards the choice against a naive one that sorts by full knowledge. */
  it('never picks worse than the naive choice by more than the band', () => {
    const list = fc.array(fc.tuple(fc.nat(3), fc.integer({ min: 1, max: 100 })), { minLength: 1 });
    fc.assert(
      fc.property(list, fc.nat(), (drawn, seed) => {
        const pool = drawn.map(([inFlight, ms], index) =>
          candidate(`e${index}` as EndpointId, inFlight, ms),
        );
        const [naive] = [...pool].sort((x, y) => x.expectedMs - y.expectedMs);
        const picked = new CreditPolicy(makeRandom(seed)).pick(pool);
        const limit = (naive?.expectedMs ?? 0) * 1.25;
        expect(picked?.expectedMs).toBeLessThanOrEqual(limit);
        const band = pool.filter(({ expectedMs }) => expectedMs <= limit);
        expect(picked?.inFlight).toBe(Math.min(...band.map(({ inFlight }) => inFlight)));
      }),
      { seed: 7 },
    );
  });

  /** Guards calls against a slow endpoint when a fast one will be free sooner. */
  it('waits when every candidate is slower than waiting', () => {
    const policy = new CreditPolicy(makeRandom(1));
    expect(policy.pick([candidate(a, 0, 100)], 50)).toBeUndefined();
    expect(policy.pick([candidate(a, 0, 40)], 50)?.id).toBe(a);
  });
});

describe('health', () => {
  /** Guards against endpoints that turn slow, fail fast or are far: none may look attractive. */
  it.each([
    {
      name: 'slow answer',
      act: (health: Health) => health.recordResponse(a, 'short', 50),
      delay: 0,
    },
    { name: 'fast failure', act: (health: Health) => health.recordFailure(a), delay: 0 },
    { name: 'fast refusal', act: (health: Health) => health.recordShed(a), delay: 0 },
    { name: 'long way', act: () => undefined, delay: 1.5 },
  ])('expects more of an endpoint after: $name', ({ act, delay }) => {
    const { health } = openHealth();
    act(health);
    expect(health.estimateLatencyMs(a, delay)).toBeGreaterThan(
      health.estimateLatencyMs(b, 0) * 1.25,
    );
  });

  /** Guards against averages that follow a sudden slowness late, and failures that hide in them. */
  it('takes one slow answer at its full weight, and a failure for the slowest answer', () => {
    const { health } = openHealth();
    const usual = health.estimateLatencyMs(b, 0);
    health.recordResponse(a, 'short', 50);
    expect(health.estimateLatencyMs(a, 0)).toBeGreaterThan(usual * 4);
    health.recordFailure(b);
    expect(health.estimateLatencyMs(b, 0)).toBeGreaterThan(usual * 8);
  });

  /** Guards the balance of nearness and load: a far endpoint wins over a slow near one. */
  it('prefers a far endpoint to a slow near one', () => {
    const { health } = openHealth();
    health.recordResponse(a, 'short', 40);
    expect(health.estimateLatencyMs(b, 1.5)).toBeLessThan(health.estimateLatencyMs(a, 0));
  });

  /** Guards against blaming an endpoint for a class whose calls all run long. */
  it('compares calls with their class', () => {
    const { health } = openHealth();
    health.recordResponse(a, 'long', 500);
    expect(health.estimateLatencyMs(a, 0)).toBeCloseTo(health.estimateLatencyMs(b, 0));
  });

  /** Guards against an endpoint that is avoided for good after one slow answer. */
  it('forgets a peak without further samples', () => {
    const { health, clock } = openHealth();
    health.recordResponse(a, 'short', 80);
    clock.advance(20_000);
    expect(health.estimateLatencyMs(a, 0)).toBeCloseTo(health.estimateLatencyMs(b, 0));
  });

  /** Guards the pool: however many fail, the share in use never falls below the bound. */
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
    const list = [...health.listEjected(ids, minPoolShare)];
    // The least unhealthy stay.
    expect(list).toEqual(ids.slice(0, ejected));
  });

  /** Guards against an endpoint that keeps failing and returns every second. */
  it('ejects for twice as long each time, and returns cold', () => {
    const { health, clock } = openHealth();
    const lengths = [1, 2, 3].map(() => {
      Array.from({ length: 5 }, () => health.recordFailure(a));
      let ms = 0;
      for (; health.listEjected(ids, 0).has(a); ms += 100) clock.advance(100);
      expect(health.countCredits(a, 3)).toBe(1);
      return ms;
    });
    expect(lengths).toEqual([1000, 2000, 4000]);
  });

  it.each([
    { afterMs: 0, credits: 1 },
    { afterMs: 2500, credits: 2 },
    { afterMs: 5000, credits: 3 },
  ])('gives a cold endpoint $credits of 3 credits after $afterMs ms', ({ afterMs, credits }) => {
    const { health, clock } = openHealth();
    health.beginSlowStart(a);
    clock.advance(afterMs);
    expect(health.countCredits(a, 3)).toBe(credits);
  });

  /** Guards against false reports: idleness attracts nothing, load takes at most all but one. */
  it.each([
    { reported: 0, known: 3, credits: 3, laterMs: 0 },
    { reported: 2, known: 1, credits: 2, laterMs: 0 },
    { reported: 99, known: 1, credits: 1, laterMs: 0 },
    { reported: 99, known: 1, credits: 3, laterMs: 250 },
  ])(
    'leaves $credits credits when $reported calls are reported, $known known, $laterMs ms later',
    ({ reported, known, credits, laterMs }) => {
      const { health, clock } = openHealth();
      const before = health.estimateLatencyMs(a, 0);
      health.recordLoadReport(a, reported, known);
      clock.advance(laterMs);
      expect(health.countCredits(a, 3)).toBe(credits);
      expect(health.estimateLatencyMs(a, 0)).toBe(before);
    },
  );
});
