import { ManualClock, makeRandom, ruleSchema } from '@dotterelpass/values';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Hedger, RetryBudget, RetryPolicy } from '../src/index.js';
import type { RetryContext } from '../src/index.js';

const makeRule = (repeat: 'idempotent' | 'once') =>
  ruleSchema.parse({ name: 'r', repeat, retryStatuses: [502], maxAttempts: 3 });

describe('RetryPolicy', () => {
  const policy = new RetryPolicy(makeRandom(7));
  const makeContext = (change: Partial<RetryContext>): RetryContext => ({
    rule: makeRule('idempotent'),
    failure: { kind: 'reset', verdict: 'may-have-run' },
    attempts: 1,
    remainingMs: 1000,
    canResend: true,
    ...change,
  });

  /** Guards against retries that the rule, the attempts, the deadline or the body do not permit. */
  it.each([
    { name: 'a reset of an idempotent call', change: {}, expected: 'retry' },
    // The next two rows guard against a second run of a call that may have run.
    {
      name: 'a reset of a once call',
      change: { rule: makeRule('once') },
      expected: 'may-have-run',
    },
    {
      name: 'a status of a once call',
      change: { rule: makeRule('once'), failure: { kind: 'status', status: 502, verdict: 'ran' } },
      expected: 'may-have-run',
    },
    {
      name: 'a once call that has not run',
      change: { rule: makeRule('once'), failure: { kind: 'shed', verdict: 'not-run' } },
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
    {
      name: 'a streamed body that is no longer buffered',
      change: { canResend: false },
      expected: 'body',
    },
    { name: 'a deadline that has passed', change: { remainingMs: 0 }, expected: 'deadline' },
  ] as { name: string; change: Partial<RetryContext>; expected: string }[])(
    'decides $expected for $name',
    ({ change, expected }) => {
      const decision = policy.decide(makeContext(change));
      expect(decision.kind === 'stop' ? decision.reason : 'retry').toBe(expected);
    },
  );

  /** Guards against retries of calls that failed together arriving at the same time. */
  it('spreads delays over the whole range, which grows to its maximum', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 9 }), fc.integer(), (attempts, seed) => {
        const rule = { ...makeRule('idempotent'), maxAttempts: 10 };
        const jittered = new RetryPolicy(makeRandom(seed), { baseMs: 10, maxMs: 100 });
        const delaysMs = Array.from({ length: 64 }, () => {
          const decision = jittered.decide(makeContext({ rule, attempts }));
          return decision.kind === 'retry' ? decision.afterMs : NaN;
        });
        const boundMs = Math.min(100, 10 * 2 ** (attempts - 1));
        return (
          delaysMs.every((ms) => ms >= 0 && ms < boundMs) &&
          Math.min(...delaysMs) < boundMs / 4 &&
          Math.max(...delaysMs) > (boundMs * 3) / 4
        );
      }),
      { seed: 11, numRuns: 100 },
    );
  });
});

type Step = { kind: 'call' | 'extra'; group: string } | { kind: 'wait'; ms: number };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
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

/** Reference model of the budget, which keeps all events and counts them for every check. */
class ReferenceBudget {
  #events: { slice: number; group: string; kind: string }[] = [];

  add(kind: string, groups: string[], now: number) {
    groups.forEach((group) => this.#events.push({ slice: Math.floor(now / 1000), group, kind }));
  }

  allowsExtraAttempt(groups: string[], now: number): boolean {
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
  /** Guards against so many extra attempts that they amplify an overload. */
  it('agrees with a reference model and never exceeds a tenth of all calls', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 300 }), (steps) => {
        const clock = new ManualClock();
        const budget = new RetryBudget(clock);
        const reference = new ReferenceBudget();
        const totals = { call: 0, extra: 0 };
        for (const step of steps) {
          if (step.kind === 'wait') clock.advance(step.ms);
          else {
            // A call belongs to two groups, such as its tenant and service; both must agree.
            const groups = ['service', step.group];
            const isAllowed = budget.allowsExtraAttempt(groups);
            expect(isAllowed).toBe(reference.allowsExtraAttempt(groups, clock.now()));
            if (step.kind === 'call') budget.recordCall(groups);
            else if (isAllowed) budget.recordExtraAttempt(groups);
            if (step.kind === 'call' || isAllowed) {
              reference.add(step.kind, groups, clock.now());
              totals[step.kind] += 1;
            }
          }
        }
        expect(totals.extra).toBeLessThanOrEqual(totals.call * 0.1);
      }),
      { seed: 5, numRuns: 300 },
    );
  });
});

describe('a share of the retry budget', () => {
  /** Guards against hedged requests that leave no budget for calls that have failed. */
  it.each([
    { usableShare: 1, allowed: 12 },
    { usableShare: 0.5, allowed: 6 },
  ])('of $usableShare allows $allowed extra attempts', ({ usableShare, allowed }) => {
    const limits = { share: 0.1, allowance: 2, windowMs: 10_000 };
    const budget = new RetryBudget(new ManualClock(), limits);
    for (let call = 0; call < 100; call++) budget.recordCall(['a']);
    let made = 0;
    while (budget.allowsExtraAttempt(['a'], usableShare)) {
      budget.recordExtraAttempt(['a']);
      made += 1;
    }
    expect(made).toBe(allowed);
    // What one kind of attempt leaves is there for the others.
    expect(budget.allowsExtraAttempt(['a'])).toBe(usableShare < 1);
  });
});

describe('Hedger', () => {
  /** Guards against hedged requests based on too few samples. */
  it('waits for the 95th percentile after enough responses', () => {
    const hedger = new Hedger(new ManualClock());
    for (let ms = 1; ms <= 19; ms++) hedger.recordLatency('c', ms);
    expect(hedger.findDelayMs('c')).toBeUndefined();
    for (let ms = 20; ms <= 100; ms++) hedger.recordLatency('c', ms);
    expect(hedger.findDelayMs('c')).toBe(95);
    expect(hedger.findDelayMs('other')).toBeUndefined();
  });

  /** Guards against a delay that no longer matches the latency of the class. */
  it('ignores old latencies', () => {
    const hedger = new Hedger(new ManualClock());
    for (let count = 0; count < 200; count++) hedger.recordLatency('c', 500);
    for (let count = 0; count < 200; count++) hedger.recordLatency('c', 5);
    expect(hedger.findDelayMs('c')).toBe(5);
  });

  /** Guards against hedged requests that overload a slow class. */
  it('allows hedged requests for at most 5% of the calls of a class', () => {
    const hedger = new Hedger(new ManualClock());
    let hedgeCount = 0;
    for (let count = 0; count < 1000; count++) {
      hedger.recordCall('c');
      if (hedger.allowsHedge('c')) {
        hedger.recordHedge('c');
        hedgeCount += 1;
      }
    }
    expect(hedgeCount).toBe(50);
  });
});
