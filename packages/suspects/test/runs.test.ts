import { ManualClock } from '@dotterelpass/values';
import type { Incarnation } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import { UnfinishedRuns } from '../src/runs.js';

const [first, second] = ['e1', 'e2'] as [Incarnation, Incarnation];

const deadlineMs = 1000;

describe('UnfinishedRuns', () => {
  // Guards against a crash that counts for a request which has nothing to do with it, or for none.
  it.each([
    { name: 'at the endpoint', at: first, pauseMs: 0, expected: ['r'] },
    { name: 'at another endpoint', at: second, pauseMs: 0, expected: [] },
    { name: 'a little after its deadline', at: first, pauseMs: 3000, expected: ['r'] },
    { name: 'long after its deadline', at: first, pauseMs: 60_000, expected: [] },
  ])('takes the runs $name as the cause of a crash', ({ at, pauseMs, expected }) => {
    const clock = new ManualClock();
    const runs = new UnfinishedRuns<string>(clock);
    runs.add(at, 'r', deadlineMs);
    clock.advance(pauseMs);
    expect(runs.has(first)).toBe(expected.length > 0);
    expect(runs.takeCrashed(first)).toEqual(expected);
    expect(runs.takeCrashed(first)).toEqual([]);
  });

  it('forgets a run that has ended well', () => {
    const runs = new UnfinishedRuns<string>(new ManualClock());
    const remove = runs.add(first, 'r', deadlineMs);
    runs.add(first, 's', deadlineMs);
    remove();
    expect(runs.takeCrashed(first)).toEqual(['s']);
  });

  // Guards against a run on the next process of an endpoint that counts for the crash of the last one.
  it.each([
    { name: 'began before', startedAt: 10, expected: true },
    { name: 'began after', startedAt: 11, expected: false },
  ])('tells that an endpoint has crashed since a run $name', ({ startedAt, expected }) => {
    const clock = new ManualClock();
    const runs = new UnfinishedRuns<string>(clock);
    clock.advance(10);
    runs.takeCrashed(first);
    expect(runs.hasCrashedSince(first, startedAt)).toBe(expected);
    expect(runs.hasCrashedSince(second, startedAt)).toBe(false);
  });

  // Guards against memory that grows with the number of runs.
  it('keeps the last of many runs', () => {
    const runs = new UnfinishedRuns<number>(new ManualClock());
    for (let index = 0; index < 10_000; index++) runs.add(first, index, deadlineMs);
    const kept = runs.takeCrashed(first);
    expect(kept.length).toBe(4096);
    expect(kept.at(-1)).toBe(9999);
  });
});
