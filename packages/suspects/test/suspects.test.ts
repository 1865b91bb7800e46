import { SuspectTable } from '@dotterelpass/suspects';
import { ManualClock } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';

type Step = (table: SuspectTable, clock: ManualClock) => unknown;

const add: Step = (table) => table.add('f');
const run: Step = (table) => table.acquire('f', 'a', 1000);
const ends = {
  crashed: { crashed: true, answered: false },
  answered: { crashed: false, answered: true },
  neither: { crashed: false, answered: false },
};
const crash: Step = (table) => table.release('f', 'a', ends.crashed);
const end: Step = (table) => table.release('f', 'a', ends.answered);
const refuse: Step = (table) => table.release('f', 'a', ends.neither);
const wait =
  (ms: number): Step =>
  (_table, clock) =>
    clock.advance(ms);

describe('SuspectTable', () => {
  it.each([
    { name: 'is clear at first', steps: [], standing: 'clear' },
    { name: 'suspects a request after one crash', steps: [add], standing: 'suspect' },
    // Guards against a ban of a request that shared endpoints with the one that crashes them.
    { name: 'does not ban after crashes in company', steps: [add, add, add], standing: 'suspect' },
    { name: 'bans after a crash alone', steps: [add, run, crash], standing: 'banned' },
    { name: 'clears after a good end', steps: [add, run, end], standing: 'clear' },
    // Guards against a clearing by a run that was refused a slot or timed out.
    { name: 'learns nothing without an answer', steps: [add, run, refuse], standing: 'suspect' },
    { name: 'needs permission for a ban', steps: [add, crash], standing: 'suspect' },
    { name: 'keeps a ban', steps: [add, run, crash, add, run, end], standing: 'banned' },
    { name: 'ends a ban', steps: [add, run, crash, wait(600_000)], standing: 'clear' },
    { name: 'forgets a suspect', steps: [add, wait(600_000)], standing: 'clear' },
    {
      name: 'lifts a ban',
      steps: [add, run, crash, (t: SuspectTable) => t.lift('f')],
      standing: 'clear',
    },
  ] as { name: string; steps: Step[]; standing: string }[])('$name', ({ steps, standing }) => {
    const clock = new ManualClock();
    const table = new SuspectTable(clock);
    steps.forEach((step) => step(table, clock));
    expect(table.findStatus('f')).toBe(standing);
  });

  it('lets one holder run a suspect at a time, until its permission lapses', async () => {
    const clock = new ManualClock();
    const table = new SuspectTable(clock);
    table.add('f');
    expect(table.acquire('f', 'a', 1000)).toBe('run');
    expect(table.acquire('f', 'b', 1000)).toBe('wait');
    clock.advance(1000);
    expect(table.acquire('f', 'b', 1000)).toBe('run');
    // The word of a holder whose permission has passed on decides nothing.
    table.release('f', 'a', ends.crashed);
    expect(table.findStatus('f')).toBe('suspect');
    const change = table.waitForChange(new AbortController().signal);
    table.release('f', 'b', ends.answered);
    await change;
    expect(table.acquire('f', 'c', 1000)).toBe('clear');
  });

  it('bounds suspects and bans, the oldest going first', () => {
    const table = new SuspectTable(new ManualClock(), { maxSuspects: 3, maxBans: 2 });
    ['a', 'b', 'c', 'd'].forEach((name) => table.add(name));
    ['x', 'y', 'z'].forEach((name) => table.ban(name));
    expect(table.list().map(({ fingerprint }) => fingerprint)).toEqual(['y', 'z', 'b', 'c', 'd']);
  });
});
