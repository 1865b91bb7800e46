import { ManualClock, makeRandom, ruleSchema } from '@dotterelpass/values';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Hedger, RetryBudget, RetryPolicy } from '../src/index.js';
import type { RetryQuestion } from '../src/index.js';

const rule = (repeat: 'idempotent' | 'once') =>
  ruleSchema.parse({ name: 'r', repeat, retryStatuses: [502], maxAttempts: 3 });

describe('RetryPolicy', () => {
  const policy = new RetryPolicy(makeRandom(7));
  const question = (change: Partial<RetryQuestion>): RetryQuestion => ({
    rule: rule('idempotent'),
    failure: { kind: 'reset', verdict: 'may-have-run' },
    attempts: 1,
    remainingMs: 1000,
    canResend: true,
    ...change,
  });

  it.each([
    { name: 'a reset of an idempotent call', change: {}, expected: 'retry' },
    // Guards against a second execution of a call that may have run.
    { name: 'a reset of a once call', change: { rule: rule('once') }, expected: 'may-have-run' },
    {
      name: 'a status of a once call',
      change: { rule: rule('once'), failure: { kind: 'status', status: 502, verdict: 'ran' } },
      expected: 'may-have-run',
    },
    {
      name: 'a proven not-run of a once call',
      change: { rule: rule('once'), failure: { kind: 'shed', verdict: 'not-run' } },
      expected: 'retry',
    },
    {
      name: 'a status that the rule names',
      change: { failure: { kind: 'status', status: 502, verdict: 'ran' } },
      expected: 'retry',
    },
    {
      name: 'a status that the rule does not name',
      change: { failure: { kind: 'status', status: 500, verdict: 'ran' } },
      expected: 'rule',
    },
    {
      name: 'a failure that the rule does not name',
      change: { failure: { kind: 'timeout', verdict: 'may-have-run' } },
      expected: 'rule',
    },
    { name: 'the last attempt', change: { attempts: 3 }, expected: 'attempts' },
    { name: 'a body that was streamed', change: { canResend: false }, expected: 'body' },
    { name: 'a deadline that has passed', change: { remainingMs: 0 }, expected: 'deadline' },
  ] as { name: string; change: Partial<RetryQuestion>; expected: string }[])(
    'answers $name with $expected',
    ({ change, expected }) => {
      const decision = policy.decide(question(change));
      expect(decision.kind === 'stop' ? decision.reason : 'retry').toBe(expected);
    },
  );

  it('spreads waits over the whole range, which grows up to its bound', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 9 }), fc.integer(), (attempts, seed) => {
        const many = { ...rule('idempotent'), maxAttempts: 10 };
        const jittered = new RetryPolicy(makeRandom(seed), { baseMs: 10, maxMs: 100 });
        const waits = Array.from({ length: 64 }, () => {
          const decision = jittered.decide(question({ rule: many, attempts }));
          return decision.kind === 'retry' ? decision.afterMs : NaN;
        });
        const bound = Math.min(100, 10 * 2 ** (attempts - 1));
        return (
          waits.every((ms) => ms >= 0 && ms < bound) &&
          Math.min(...waits) < bound / 4 &&
          Math.max(...waits) > (bound * 3) / 4
        );
      }),
      { seed: 11, numRuns: 100 },
    );
  });
});

type Step = { kind: 'call' | 'extra'; group: string } | { kind: 'wait'; ms: number };

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({ kind: fc.constant('call' as const), group: fc.constantFrom('a', 'b') }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('extra' as const), group: fc.constantFrom('a', 'b') }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.integer({ min: 1, max: 12_000 }),
    }),
  },
);

/** The budget said plainly: all events are kept and counted anew for every question. */
class NaiveBudget {
  #events: { slice: number; group: string; kind: string }[] = [];

  add(kind: string, groups: string[], now: number) {
    groups.forEach((group) => this.#events.push({ slice: Math.floor(now / 1000), group, kind }));
  }

  hasRoom(groups: string[], now: number): boolean {
    return groups.every((group) => {
      const recent = this.#events.filter(
        (event) => event.group === group && event.slice > Math.floor(now / 1000) - 10,
      );
      const count = (kind: string) => recent.filter((event) => event.kind === kind).length;
      return count('extra') + 1 <= count('call') * 0.1;
    });
  }
}

describe('RetryBudget', () => {
  it('agrees with a naive version and never exceeds a tenth of all calls', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 300 }), (steps) => {
        const clock = new ManualClock();
        const budget = new RetryBudget(clock);
        const naive = new NaiveBudget();
        const totals = { call: 0, extra: 0 };
        for (const next of steps) {
          if (next.kind === 'wait') clock.advance(next.ms);
          else {
            // Tenant and service: both must have room.
            const groups = ['service', next.group];
            const room = budget.allowsExtraAttempt(groups);
            expect(room).toBe(naive.hasRoom(groups, clock.now()));
            if (next.kind === 'call') budget.recordCall(groups);
            else if (room) budget.recordExtraAttempt(groups);
            if (next.kind === 'call' || room) {
              naive.add(next.kind, groups, clock.now());
              totals[next.kind] += 1;
            }
          }
        }
        expect(totals.extra).toBeLessThanOrEqual(totals.call * 0.1);
      }),
      { seed: 5, numRuns: 300 },
    );
  });
});

describe('Hedger', () => {
  it('waits for the 95th percentile, once enough answers are known', () => {
    const hedger = new Hedger(new ManualClock());
    for (let ms = 1; ms <= 19; ms++) hedger.recordLatency('c', ms);
    expect(hedger.findDelayMs('c')).toBeUndefined();
    for (let ms = 20; ms <= 100; ms++) hedger.recordLatency('c', ms);
    expect(hedger.findDelayMs('c')).toBe(95);
    expect(hedger.findDelayMs('other')).toBeUndefined();
  });

  it('forgets old latencies', () => {
    const hedger = new Hedger(new ManualClock());
    for (let count = 0; count < 200; count++) hedger.recordLatency('c', 500);
    for (let count = 0; count < 200; count++) hedger.recordLatency('c', 5);
    expect(hedger.findDelayMs('c')).toBe(5);
  });

  it('sends hedges for at most 5% of the calls of a class', () => {
    const hedger = new Hedger(new ManualClock());
    let hedges = 0;
    for (let count = 0; count < 1000; count++) {
      hedger.recordCall('c');
      if (hedger.allowsHedge('c')) {
        hedger.recordHedge('c');
        hedges += 1;
      }
    }
    expect(hedges).toBe(50);
  });
});
