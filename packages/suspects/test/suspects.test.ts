import { SuspectTable } from '@dotterelpass/suspects';
import { ManualClock } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';

type Step = (table: SuspectTable, clock: ManualClock) => unknown;

const add: Step = (table) => table.add('f');
const acquire: Step = (table) => table.acquire('f', 'a', 1000);
const outcomes = {
  crashed: { crashed: true, answered: false },
  answered: { crashed: false, answered: true },
  neither: { crashed: false, answered: false },
};
const releaseCrashed: Step = (table) => table.release('f', 'a', outcomes.crashed);
const releaseAnswered: Step = (table) => table.release('f', 'a', outcomes.answered);
const releaseNeither: Step = (table) => table.release('f', 'a', outcomes.neither);
const advance =
  (ms: number): Step =>
  (_table, clock) =>
    clock.advance(ms);

describe('SuspectTable', () => {
  /** Guards against banning harmless requests and against clearing suspects too early. */
  it.each([
    { name: 'starts clear', steps: [], status: 'clear' },
    { name: 'suspects a request after one crash', steps: [add], status: 'suspect' },
    // Guards against banning a request that shared endpoints with a request that crashes them.
    {
      name: 'does not ban after crashes with other calls',
      steps: [add, add, add],
      status: 'suspect',
    },
    {
      name: 'bans after a crash in isolation',
      steps: [add, acquire, releaseCrashed],
      status: 'banned',
    },
    { name: 'clears after a response', steps: [add, acquire, releaseAnswered], status: 'clear' },
    // Guards against clearing a suspect whose run got no slot or timed out.
    {
      name: 'keeps a suspect without a response',
      steps: [add, acquire, releaseNeither],
      status: 'suspect',
    },
    { name: 'bans only with permission', steps: [add, releaseCrashed], status: 'suspect' },
    {
      name: 'keeps a ban',
      steps: [add, acquire, releaseCrashed, add, acquire, releaseAnswered],
      status: 'banned',
    },
    {
      name: 'expires a ban',
      steps: [add, acquire, releaseCrashed, advance(600_000)],
      status: 'clear',
    },
    { name: 'expires a suspect', steps: [add, advance(600_000)], status: 'clear' },
    {
      name: 'lifts a ban',
      steps: [add, acquire, releaseCrashed, (table: SuspectTable) => table.lift('f')],
      status: 'clear',
    },
  ] as { name: string; steps: Step[]; status: string }[])('$name', ({ steps, status }) => {
    const clock = new ManualClock();
    const table = new SuspectTable(clock);
    steps.forEach((step) => step(table, clock));
    expect(table.findStatus('f')).toBe(status);
  });

  /** Guards against a ban by a run that was no longer alone. */
  it('grants permission to one holder at a time, until the permission expires', async () => {
    const clock = new ManualClock();
    const table = new SuspectTable(clock);
    table.add('f');
    expect(table.acquire('f', 'a', 1000)).toBe('run');
    expect(table.acquire('f', 'b', 1000)).toBe('wait');
    clock.advance(1000);
    expect(table.acquire('f', 'b', 1000)).toBe('run');
    // The outcome of a holder whose permission another run has acquired since is ignored.
    table.release('f', 'a', outcomes.crashed);
    expect(table.findStatus('f')).toBe('suspect');
    const change = table.waitForChange(new AbortController().signal);
    table.release('f', 'b', outcomes.answered);
    await change;
    expect(table.acquire('f', 'c', 1000)).toBe('clear');
  });

  /** Guards against a table that grows without bound. */
  it('limits suspects and bans and removes the oldest first', () => {
    const table = new SuspectTable(new ManualClock(), { maxSuspects: 3, maxBans: 2 });
    ['a', 'b', 'c', 'd'].forEach((name) => table.add(name));
    ['x', 'y', 'z'].forEach((name) => table.ban(name));
    expect(table.list().map(({ fingerprint }) => fingerprint)).toEqual(['y', 'z', 'b', 'c', 'd']);
  });
});
