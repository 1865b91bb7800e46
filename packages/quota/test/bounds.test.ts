import { ManualClock, makeRandom } from '@dotterelpass/values';
import type { InstanceId } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import { QuotaCoordinator, buildWorkspaceLimit, defaultQuotaBounds } from '../src/index.js';

const one = 'one' as InstanceId;

describe('the limit of a workspace', () => {
  /** Guards against a workspace that stays beyond its quota and gets less than its window allows. */
  it.each([
    { ratePerSecond: 103, burst: 103, quotaWindowMs: 5000 },
    { ratePerSecond: 5, burst: 5, quotaWindowMs: 5000 },
    { ratePerSecond: 20, burst: 0, quotaWindowMs: 5000 },
    { ratePerSecond: 2, burst: 40, quotaWindowMs: 1000 },
  ])('allows as much in a window as $ratePerSecond/s and $burst', (quota) => {
    const { ratePerSecond, burst, quotaWindowMs } = quota;
    const seconds = quotaWindowMs / 1000;
    const limit = buildWorkspaceLimit({ ...quota, name: 'office', version: 1 }, quota);
    const allowed = ratePerSecond * seconds + burst;
    expect(limit.ratePerSecond * seconds + limit.burst).toBeCloseTo(allowed);
    expect(limit.burst).toBeLessThanOrEqual(burst);
  });
});

/** Grants counted for requests that come first and for those that come back, 40 and 20 ms apart. */
function countGrants(rate: number, freshPerTurn: number, returningPerTurn: number) {
  const clock = new ManualClock();
  const coordinator = new QuotaCoordinator({
    clock,
    random: makeRandom(5),
    getBounds: () => defaultQuotaBounds,
  });
  const limit = buildWorkspaceLimit(
    { name: 'office', ratePerSecond: rate, burst: rate, version: 1 },
    defaultQuotaBounds,
  );
  const ask = (wanted: number, returning: number) =>
    coordinator.handleRequest(one, {
      groupCount: 1,
      groups: [0],
      overlapsMs: undefined,
      stamp: coordinator.readStamp(),
      questions: [{ ...limit, wanted, returning, returned: 0, denied: 0 }],
    }).answers[0]?.granted ?? 0;
  const granted = { fresh: 0, returning: 0 };
  for (let turn = 0; turn < 500; turn++) {
    clock.advance(20);
    granted.returning += ask(returningPerTurn, returningPerTurn);
    granted.fresh += ask(freshPerTurn, 0);
  }
  return granted;
}

describe('requests whose callers have come back', () => {
  /**
   * Load: a workspace at six times its usual, whose callers come back once after each refusal. Guards
   * against late requests that take the tokens of those that could be in time.
   */
  it('take no tokens of first requests beyond the limit', () => {
    const { fresh, returning } = countGrants(100, 4, 4);
    expect(fresh).toBeGreaterThan(0.9 * (10 * 110 + 50));
    expect(returning).toBeLessThan(0.1 * fresh);
  });

  /** Guards against callers that are refused again although there are tokens. */
  it('get tokens below the limit', () => {
    expect(countGrants(100, 1, 1)).toEqual({ fresh: 500, returning: 500 });
  });
});
