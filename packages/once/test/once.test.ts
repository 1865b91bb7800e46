import {
  Arbiter,
  ClaimTable,
  AttemptTable,
  MemoryJournal,
  PlatformJournal,
  TicketIssuer,
  makeMemoryLog,
} from '@dotterelpass/once';
import type { AttemptStatus, Holder, JournalRecord, Ticket } from '@dotterelpass/once';
import { ManualClock, makeRandom } from '@dotterelpass/values';
import type { Incarnation, InstanceId } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import { FaultyStore, Schedule } from './fakes.js';

const key = Buffer.alloc(32, 7);
const entry = 'entry-1' as InstanceId;
const run = '1700-ab' as Incarnation;
const holder = (attempt: number, incarnation = 'i1', instance = 'a'): Holder => ({
  instance: instance as InstanceId,
  incarnation: incarnation as Incarnation,
  attempt,
});
const claim = (attempt: number, digest = 'd', givenUp: number[] = []) => ({
  key: 'k',
  digest,
  holder: holder(attempt),
  givenUp,
});
const never = new AbortController().signal;

function read(mint: TicketIssuer, text: string): Ticket {
  const result = mint.verify(text);
  if (result.isErr()) throw new Error(result.error);
  return result.value;
}

describe('TicketMint', () => {
  const mint = new TicketIssuer(entry, run, key, new ManualClock());
  const ticket = mint.issue();

  it.each([
    ['its own ticket', ticket, 'ok'],
    ['a changed sequence', ticket.replace('.1.', '.2.'), 'forged'],
    ['a changed instance', ticket.replace('entry-1', 'entry-2'), 'forged'],
    [
      'a changed signature',
      `${ticket.slice(0, -2)}${ticket.endsWith('AA') ? 'BB' : 'AA'}`,
      'forged',
    ],
    ['a short text', 't1.entry-1', 'malformed'],
    ['a key of the caller', '8e03978e-40d5-43e8-bc93-6894a57f9324', 'malformed'],
    // Guards against tickets that were signed with another fleet's key.
    [
      'another key',
      new TicketIssuer(entry, run, Buffer.alloc(32), new ManualClock()).issue(),
      'forged',
    ],
  ])('checks %s', (_name, text, expected) => {
    expect(mint.verify(text).match(() => 'ok', String)).toBe(expected);
  });

  it('owns only tickets of its own incarnation', () => {
    // Guards against a restarted instance that grants what its former run may have granted.
    const later = new TicketIssuer(entry, '1800-cd' as Incarnation, key, new ManualClock());
    expect(mint.isOwn(read(mint, ticket))).toBe(true);
    expect(later.isOwn(read(later, ticket))).toBe(false);
  });

  it('expires tickets by monotonic time', () => {
    const clock = new ManualClock();
    const aging = new TicketIssuer(entry, run, key, clock, 1000);
    const own = read(aging, aging.issue());
    clock.advance(999);
    expect(aging.isExpired(own)).toBe(false);
    // Guards against a wall clock that is set back after the claim was forgotten.
    const { wall } = clock;
    clock.wall = () => wall.call(clock) - 1e6;
    clock.advance(1);
    expect(aging.isExpired(own)).toBe(true);
  });
});

describe('ClaimTable', () => {
  it.each([
    { name: 'a running key', end: undefined, next: claim(2), kind: 'wait' },
    { name: 'another body', end: undefined, next: claim(2, 'other'), kind: 'mismatch' },
    { name: 'a finished key', end: { verdict: 'ran' }, next: claim(2), kind: 'settled' },
    { name: 'a released key', end: { verdict: 'not-run' }, next: claim(2), kind: 'fresh' },
    { name: 'an uncertain key', end: { verdict: 'may-have-run' }, next: claim(2), kind: 'unknown' },
    { name: 'a grant that was lost', end: undefined, next: claim(2, 'd', [1]), kind: 'fresh' },
    { name: 'an older attempt', end: { verdict: 'ran' }, next: claim(0), kind: 'settled' },
    {
      // Guards against two runs of one instance name being taken for one.
      name: 'the next run of the executor',
      end: undefined,
      next: { ...claim(2, 'd', [1]), holder: holder(2, 'i2') },
      kind: 'wait',
    },
  ] as const)('answers a claim of $name with $kind', ({ end, next, kind }) => {
    const table = new ClaimTable(new ManualClock());
    expect(table.claim(claim(1), 1e6).kind).toBe('fresh');
    table.grant('k', holder(1));
    if (end) table.recordOutcome('k', holder(1), end);
    expect(table.claim(next, 1e6).kind).toBe(kind);
  });

  it('ignores the end of an attempt that no longer holds the key', () => {
    const table = new ClaimTable(new ManualClock());
    table.claim(claim(1), 1e6);
    table.recordOutcome('k', holder(1), { verdict: 'not-run' });
    table.claim(claim(2), 1e6);
    table.recordOutcome('k', holder(1), { verdict: 'not-run' });
    expect(table.find('k')).toMatchObject({ state: 'claimed', holder: { attempt: 2 } });
  });

  it('bounds keys and answers by size and time', () => {
    const clock = new ManualClock();
    const limits = { maxEntries: 3, maxAnswerBytes: 10, maxAnswerSize: 6, answerMs: 100 };
    const table = new ClaimTable(clock, limits);
    const settle = (name: string, size: number) => {
      table.claim({ ...claim(1), key: name }, 500);
      const body = Buffer.alloc(size);
      table.recordOutcome(name, holder(1), {
        verdict: 'ran',
        answer: { status: 200, headers: {}, body },
      });
    };
    settle('a', 6);
    settle('b', 7);
    settle('c', 6);
    const kept = () => ['a', 'b', 'c'].map((name) => table.find(name)?.answer?.body.length);
    expect(kept()).toEqual([undefined, undefined, 6]);
    expect(table.claim({ ...claim(1), key: 'd' }, 500).kind).toBe('full');
    clock.advance(100);
    table.expire();
    expect(kept()).toEqual([undefined, undefined, undefined]);
    expect(table.size).toBe(3);
    clock.advance(400);
    table.expire();
    expect(table.size).toBe(0);
  });
});

describe('Executions', () => {
  it.each([
    ['an attempt without a grant', [], { kind: 'ended', outcome: { verdict: 'not-run' } }],
    ['a running attempt', ['start'], { kind: 'running' }],
    ['a finished attempt', ['start', 'settle'], { kind: 'ended', outcome: { verdict: 'ran' } }],
    // A forgotten attempt may have run: `not-run` would allow a second run.
    ['a forgotten attempt', ['start', 'settle', 'wait'], { kind: 'gone' }],
    ['another incarnation', ['other'], { kind: 'gone' }],
  ])('answers for %s', (_name, steps, expected) => {
    const clock = new ManualClock();
    const executions = new AttemptTable(entry, run, clock, 100);
    const own = executions.open();
    if (steps.includes('start')) executions.start(own);
    if (steps.includes('settle')) executions.recordOutcome(own, { verdict: 'ran' });
    if (steps.includes('wait')) {
      clock.advance(101);
      executions.abandon(executions.open());
    }
    const asked = steps.includes('other') ? { ...own, incarnation: '9' as Incarnation } : own;
    expect(executions.answerInquiry(asked)).toEqual(expected);
    // Guards against a late grant that starts an attempt which was reported as not run.
    if (steps.length === 0) expect(executions.start(own)).toBe(false);
  });
});

describe('Arbiter', () => {
  const setUp = async (account: AttemptStatus, incarnation = 'i1') => {
    const clock = new ManualClock();
    const log = makeMemoryLog();
    const first = new Arbiter(
      new MemoryJournal(log, 'x'),
      async () => Promise.resolve(account),
      clock,
    );
    await first.claim({ ...claim(1), holder: holder(1, incarnation) }, never);
    const second = new Arbiter(
      new MemoryJournal(log, 'y'),
      async () => Promise.resolve(account),
      clock,
    );
    return { first, second, log };
  };

  it.each([
    { name: 'gone', account: { kind: 'gone' }, answer: 'unknown' },
    { name: 'done', account: { kind: 'ended', outcome: { verdict: 'ran' } }, answer: 'settled' },
    {
      name: 'given up',
      account: { kind: 'ended', outcome: { verdict: 'not-run' } },
      answer: 'granted',
    },
  ] as const)('asks the executor of a record that it took over: $name', async (row) => {
    const { second } = await setUp(row.account);
    expect((await second.claim(claim(2), never)).kind).toBe(row.answer);
  });

  it('does not grant from memory after another arbiter has taken over', async () => {
    // Guards against a paused arbiter that grants a released key which ran meanwhile.
    const { first, second, log } = await setUp({ kind: 'running' });
    first.recordOutcome('k', holder(1), { verdict: 'not-run' });
    await second.acquire();
    expect((await first.claim(claim(2), never)).kind).toBe('moved');
    expect(log.records).toHaveLength(1);
  });

  it('says that a key is fresh only when it cannot have been replaced', async () => {
    for (const replaced of [true, false]) {
      const journal = new MemoryJournal(makeMemoryLog(), 'x');
      const arbiter = new Arbiter(
        journal,
        async () => Promise.resolve({ kind: 'silent' }),
        new ManualClock(),
        {
          mayBeReplaced: async () => Promise.resolve(replaced),
        },
      );
      await arbiter.acquire();
      const ended = AbortSignal.abort();
      expect(await arbiter.claim(claim(1), ended)).toMatchObject({
        kind: 'refused',
        fresh: !replaced,
      });
    }
  });
});

/** A table without faults, batches or take-overs. */
class SequentialTable {
  readonly #keys = new Map<string, { digest: string; state: string }>();

  claim(name: string, digest: string): string {
    const known = this.#keys.get(name);
    if (known && known.digest !== digest) return 'mismatch';
    if (known && known.state !== 'not-run') return known.state === 'ran' ? 'settled' : 'unknown';
    this.#keys.set(name, { digest, state: 'running' });
    return 'granted';
  }

  settle(name: string, verdict: string): void {
    const known = this.#keys.get(name);
    if (known) this.#keys.set(name, { ...known, state: verdict });
  }
}

describe('Arbiter on a platform without faults', () => {
  it('answers like a sequential table, across take-overs and sealed segments', async () => {
    for (let seed = 1; seed <= 60; seed++) {
      const random = makeRandom(seed);
      const schedule = new Schedule();
      const store = new FaultyStore(schedule, random);
      store.faults = 0;
      const { clock, sleep } = schedule;
      const executions = new AttemptTable(entry, run, clock);
      const naive = new SequentialTable();
      const makeArbiter = (name: string) =>
        new Arbiter(
          new PlatformJournal(store, '0', name, clock, { sleep, sealBytes: 200 }),
          async (asked) => Promise.resolve(executions.answerInquiry(asked)),
          clock,
          { sleep },
        );
      let arbiter = makeArbiter('0');
      const differences: string[] = [];
      const play = async () => {
        for (let step = 1; step <= 60; step++) {
          if (random.next() < 0.1) arbiter = makeArbiter(String(step));
          const name = `k${Math.floor(random.next() * 12)}`;
          const digest = random.next() < 0.9 ? 'd' : 'e';
          const own = executions.open();
          const asked = { key: name, digest, holder: own, givenUp: [] };
          const answer = await arbiter.claim(asked, never);
          const expected = naive.claim(name, digest);
          if (answer.kind !== expected) differences.push(`${step}: ${answer.kind} ${expected}`);
          if (answer.kind === 'granted') {
            executions.start(own);
            const verdict = (['not-run', 'ran', 'may-have-run'] as const)[
              Math.floor(random.next() * 3)
            ];
            executions.recordOutcome(own, { verdict: verdict ?? 'ran' });
            naive.settle(name, verdict ?? 'ran');
            if (random.next() < 0.5)
              arbiter.recordOutcome(name, own, { verdict: verdict ?? 'ran' });
          } else executions.abandon(own);
        }
      };
      void play();
      await schedule.run(60_000);
      expect(differences, `seed ${seed}`).toEqual([]);
      const segments = [...store.values.keys()].filter((name) => name.includes('segments'));
      expect(segments.length, `seed ${seed}`).toBeGreaterThan(0);
    }
  });
});

describe('PlatformJournal', () => {
  const setUp = () => {
    const schedule = new Schedule();
    const store = new FaultyStore(schedule, makeRandom(1));
    store.faults = 0;
    const { clock, sleep } = schedule;
    const open = (name: string) =>
      new PlatformJournal(store, '0', name, clock, { sleep, sealBytes: 200, retentionMs: 10_000 });
    const record = (name: string): JournalRecord => ({
      key: name,
      digest: 'd',
      holder: holder(1),
      atMs: clock.wall(),
    });
    const results: unknown[] = [];
    const act = async (work: () => Promise<unknown>, untilMs: number) => {
      void work().then((result) => results.push(result));
      await schedule.run(untilMs);
      return results.at(-1);
    };
    return { store, open, record, act, clock, schedule };
  };

  it('never grants when the store has lost a committed write', async () => {
    const { store, open, record, act } = setUp();
    const journal = open('x');
    await act(async () => journal.takeOver(), 100);
    const saved = new Map(store.values);
    await act(async () => journal.commit(record('a')), 200);
    const seen = journal.mark;
    store.values.clear();
    saved.forEach((value, name) => store.values.set(name, value));
    const went = { error: { kind: 'went-back' } };
    expect(await act(async () => journal.commit(record('b')), 600)).toMatchObject(went);
    expect(await act(async () => open('y').takeOver(seen), 700)).toMatchObject(went);
  });

  it('refuses a shard with a missing segment', async () => {
    const { store, open, record, act } = setUp();
    const journal = open('x');
    await act(async () => journal.takeOver(), 100);
    for (let index = 0; index < 18; index++) {
      await act(async () => journal.commit(record(`k${index}`)), 300 + 200 * index);
    }
    const segments = [...store.values.keys()].filter((name) => name.includes('segments'));
    expect(segments.length).toBeGreaterThan(1);
    store.values.delete(segments[0] as string);
    const result = await act(async () => open('y').takeOver(), 5000);
    expect(result).toMatchObject({ error: { kind: 'went-back' } });
  });

  it('deletes segments after their time and keeps the others readable', async () => {
    const { store, open, record, act } = setUp();
    const journal = open('x');
    await act(async () => journal.takeOver(), 100);
    for (let index = 0; index < 20; index++) {
      await act(async () => journal.commit(record(`k${index}`)), 1000 * (index + 1));
    }
    // A segment that a replaced arbiter wrote and no tail counts.
    const orphan = 'once/0/segments/0-2';
    store.values.set(orphan, { key: orphan, value: Buffer.from('[]'), modifyIndex: 1 });
    const later = open('y');
    const taken = (await act(async () => later.takeOver(), 21_000)) as {
      value: readonly JournalRecord[];
    };
    const names = taken.value.map((one) => one.key);
    expect(names).not.toContain('k0');
    expect(names.slice(-9)).toEqual([11, 12, 13, 14, 15, 16, 17, 18, 19].map((n) => `k${n}`));
    await act(async () => later.commit(record('last')), 22_000);
    expect(store.values.has(orphan)).toBe(false);
  });

  it('writes at most once in 40 ms and puts waiting claims into one write', async () => {
    const { store, open, record, act, schedule } = setUp();
    const journal = open('x');
    await act(async () => journal.takeOver(), 100);
    const times: number[] = [];
    const { compareAndSwap } = store;
    store.compareAndSwap = async (...args) => {
      times.push(schedule.clock.now());
      return compareAndSwap.apply(store, args);
    };
    await act(async () => {
      const claims = [0, 1, 2].map((index) => journal.commit(record(`k${index}`)));
      await Promise.all(claims);
      return journal.commit(record('late'));
    }, 600);
    expect(times).toHaveLength(2);
    times.slice(1).forEach((time, index) => {
      expect(time - (times[index] ?? 0)).toBeGreaterThanOrEqual(40);
    });
  });
});
