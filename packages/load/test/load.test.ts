import { makeRandom } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import { makeArrivals } from '../src/arrivals.js';
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
    sending: 0,
    ...changes,
  };
}

describe('arrivals', () => {
  /** Guards the rate of the load: a wrong rate would make every figure of the bench wrong. */
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
  ])('come at the planned rate: $name', ({ phases, expected }) => {
    const arrivals = makeArrivals(planSchema.parse({ ...base, phases }), makeRandom(7));
    // Five standard deviations of a Poisson count.
    expect(Math.abs(arrivals.length - expected)).toBeLessThanOrEqual(5 * Math.sqrt(expected));
    const times = arrivals.map(({ atMs }) => atMs);
    expect(times).toEqual([...times].sort((a, b) => a - b));
  });

  /** Guards paired runs: equal seeds must send equal calls. */
  it('are equal for equal seeds and differ for others', () => {
    const plan = planSchema.parse(base);
    expect(makeArrivals(plan, makeRandom(3))).toEqual(makeArrivals(plan, makeRandom(3)));
    expect(makeArrivals(plan, makeRandom(3))).not.toEqual(makeArrivals(plan, makeRandom(4)));
  });

  /** Guards the head-of-line scenario: the stated share of calls must be long. */
  it('have the stated share of long calls', () => {
    const mix = [{ name: 'a', path: '/a', workMs: 2, longShare: 0.05, longFactor: 50 }];
    const arrivals = makeArrivals(planSchema.parse({ ...base, mix }), makeRandom(5));
    const long = arrivals.filter((arrival) => arrival.long);
    expect(long.length / arrivals.length).toBeCloseTo(0.05, 1);
    expect(new Set(long.map(({ workMs }) => workMs))).toEqual(new Set([100]));
  });
});

describe('reports', () => {
  it.each([
    { name: 'answered', outcome: makeOutcome({}), field: 'answered' },
    {
      name: 'refused as not run',
      outcome: makeOutcome({ status: 503, verdict: 'not-run' }),
      field: 'notRun',
    },
    {
      name: 'refused with an unknown end',
      outcome: makeOutcome({ status: 504, verdict: 'may-have-run' }),
      field: 'mayHaveRun',
    },
    { name: 'cut', outcome: makeOutcome({ status: 0 }), field: 'cut' },
    { name: 'sent again', outcome: makeOutcome({ sending: 1 }), field: 'resends' },
  ])('count a call that was $name', ({ outcome, field }) => {
    expect(makeRows([outcome])[0]).toMatchObject({ [field]: 1 });
  });

  /** Guards the percentiles against the exact values of a known list. */
  it('give percentiles', () => {
    const latency = measureLatency(Array.from({ length: 1000 }, (_, index) => index + 1));
    expect(latency.p50).toBeCloseTo(500, -1);
    expect(latency.p99).toBeCloseTo(990, -1);
    expect(latency.max).toBeCloseTo(1000, -1);
  });

  it('plot as SVG', async () => {
    const outcomes = Array.from({ length: 20 }, (_, index) => makeOutcome({ atMs: index * 50 }));
    const svg = await plotOutcomes(outcomes);
    expect(svg).toMatch(/^<svg/);
    expect(svg).toContain('calls/s');
  });
});
