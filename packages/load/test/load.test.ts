import { makeRandom } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import { drawArrivals } from '../src/arrivals.js';
import { planSchema } from '../src/plan.js';
import type { PlanInput } from '../src/plan.js';
import { plotOutcomes } from '../src/plot.js';
import { makeRows, measureLatency } from '../src/report.js';
import type { Outcome } from '../src/runner.js';

const base: PlanInput = {
  targets: ['127.0.0.1:1'],
  phases: [{ ms: 10_000, callsPerSecond: 500 }],
  mix: [{ name: 'a', path: '/a' }],
};

function makeOutcome(changes: Partial<Outcome>): Outcome {
  return {
    kind: 'a',
    tenant: 't',
    long: false,
    atMs: 0,
    latencyMs: 10,
    status: 200,
    verdict: undefined,
    key: undefined,
    attempt: 0,
    ...changes,
  };
}

describe('arrivals', () => {
  /** Guards against a wrong call rate, which would invalidate every benchmark figure. */
  it.each([
    { name: 'steady', phases: [{ ms: 10_000, callsPerSecond: 500 }], expected: 5000 },
    {
      name: 'rising',
      phases: [{ ms: 10_000, callsPerSecond: 0, toCallsPerSecond: 1000 }],
      expected: 5000,
    },
    {
      name: 'swing',
      phases: [
        { ms: 5000, callsPerSecond: 200 },
        { ms: 1000, callsPerSecond: 200, toCallsPerSecond: 1000 },
        { ms: 4000, callsPerSecond: 1000 },
      ],
      expected: 5600,
    },
    { name: 'none', phases: [{ ms: 1000, callsPerSecond: 0 }], expected: 0 },
  ])('follow the planned rate: $name', ({ phases, expected }) => {
    const arrivals = drawArrivals(planSchema.parse({ ...base, phases }), makeRandom(7));
    // Five standard deviations of a Poisson-distributed count.
    expect(Math.abs(arrivals.length - expected)).toBeLessThanOrEqual(5 * Math.sqrt(expected));
    const times = arrivals.map(({ atMs }) => atMs);
    expect(times).toEqual([...times].sort((a, b) => a - b));
  });

  /** Guards paired runs, which are only comparable when equal seeds send equal calls. */
  it('are equal for equal seeds and differ for different seeds', () => {
    const plan = planSchema.parse(base);
    expect(drawArrivals(plan, makeRandom(3))).toEqual(drawArrivals(plan, makeRandom(3)));
    expect(drawArrivals(plan, makeRandom(3))).not.toEqual(drawArrivals(plan, makeRandom(4)));
  });

  /** Guards the head-of-line blocking scenario against a wrong share of long calls. */
  it('have the configured share of long calls', () => {
    const mix = [{ name: 'a', path: '/a', workMs: 2, longShare: 0.05, longFactor: 50 }];
    const arrivals = drawArrivals(planSchema.parse({ ...base, mix }), makeRandom(5));
    const long = arrivals.filter((arrival) => arrival.long);
    expect(long.length / arrivals.length).toBeCloseTo(0.05, 1);
    expect(new Set(long.map(({ workMs }) => workMs))).toEqual(new Set([100]));
  });
});

describe('reports', () => {
  /** Guards against outcomes that are counted in the wrong column. */
  it.each([
    { name: 'answered', outcome: makeOutcome({}), field: 'answered' },
    {
      name: 'refused as not run',
      outcome: makeOutcome({ status: 503, verdict: 'not-run' }),
      field: 'notRun',
    },
    {
      name: 'refused with an unknown outcome',
      outcome: makeOutcome({ status: 504, verdict: 'may-have-run' }),
      field: 'mayHaveRun',
    },
    { name: 'cut', outcome: makeOutcome({ status: 0 }), field: 'cut' },
    { name: 'resent', outcome: makeOutcome({ attempt: 1 }), field: 'resends' },
  ])('count a call that was $name', ({ outcome, field }) => {
    expect(makeRows([outcome])[0]).toMatchObject({ [field]: 1 });
  });

  /** Guards against wrong percentiles; those of the values 1 to 1000 are exactly known. */
  it('compute percentiles', () => {
    const latency = measureLatency(Array.from({ length: 1000 }, (_, index) => index + 1));
    expect(latency.p50).toBeCloseTo(500, -1);
    expect(latency.p99).toBeCloseTo(990, -1);
    expect(latency.max).toBeCloseTo(1000, -1);
  });

  /** Guards against a chart specification that does not render. */
  it('plot as SVG', async () => {
    const outcomes = Array.from({ length: 20 }, (_, index) => makeOutcome({ atMs: index * 50 }));
    const svg = await plotOutcomes(outcomes);
    expect(svg).toMatch(/^<svg/);
    expect(svg).toContain('calls/s');
  });
});
