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
const instance = 'entry-1' as InstanceId;
const incarnation = '1700-ab' as Incarnation;
const holder = (attempt: number, ofIncarnation = 'i1', ofInstance = 'a'): Holder => ({
  instance: ofInstance as InstanceId,
  incarnation: ofIncarnation as Incarnation,
  attempt,
});
const claim = (attempt: number, digest = 'd', givenUp: number[] = []) => ({
  key: 'k',
  digest,
  holder: holder(attempt),
  givenUp,
});
const neverAborted = new AbortController().signal;

function verify(issuer: TicketIssuer, text: string): Ticket {
  const result = issuer.verify(text);
  if (result.isErr()) throw new Error(result.error);
  return result.value;
}

describe('TicketMint', () => {
  const issuer = new TicketIssuer(instance, incarnation, key, new ManualClock());
  const ticket = issuer.issue();

  it.each([
    ['its own ticket', ticket, 'ok'],
    ['a changed sequence', ticket.replace('.1.', '.2.'), 'forged'],
    ['a changed instance', ticket.replace('entry-1', 'entry-2'), 'forged'],
    [
      'a changed signature',
      `${ticket.slice(0, -2)}${ticket.endsWith('AA') ? 'BB' : 'AA'}`,
      'forged',
    ],
    ['an incomplete ticket', 't1.entry-1', 'malformed'],
    ['a key that the caller chose', '8e03978e-40d5-43e8-bc93-6894a57f9324', 'malformed'],
    // Guards against tickets that were signed with the key of another fleet.
    [
      'a ticket signed with another key',
      new TicketIssuer(instance, incarnation, Buffer.alloc(32), new ManualClock()).issue(),
      'forged',
    ],
  ])('verifies %s', (_name, text, expected) => {
    expect(issuer.verify(text).match(() => 'ok', String)).toBe(expected);
  });

  it('regards only tickets of its own incarnation as its own', () => {
    // Guards against a restarted instance that grants a ticket which its former incarnation may
    // have granted.
    const later = new TicketIssuer(instance, '1800-cd' as Incarnation, key, new ManualClock());
    expect(issuer.isOwn(verify(issuer, ticket))).toBe(true);
    expect(later.isOwn(verify(later, ticket))).toBe(false);
  });

  it('expires tickets by the monotonic clock', () => {
    const clock = new ManualClock();
    const shortLived = new TicketIssuer(instance, incarnation, key, clock, 1000);
    const own = verify(shortLived, shortLived.issue());
    clock.advance(999);
    expect(shortLived.isExpired(own)).toBe(false);
    // Guards against a wall clock that is set back after the claim of the ticket has expired.
    const { readWallTime: wall } = clock;
    clock.readWallTime = () => wall.call(clock) - 1e6;
    clock.advance(1);
    expect(shortLived.isExpired(own)).toBe(true);
  });
});

describe('ClaimTable', () => {
  it.each([
    { name: 'a running key', end: undefined, next: claim(2), kind: 'wait' },
    {
      name: 'a key with another digest',
      end: undefined,
      next: claim(2, 'other'),
      kind: 'mismatch',
    },
    { name: 'a finished key', end: { verdict: 'ran' }, next: claim(2), kind: 'settled' },
    {
      name: 'a key that was not executed',
      end: { verdict: 'not-run' },
      next: claim(2),
      kind: 'fresh',
    },
    {
      name: 'a key with an unknown outcome',
      end: { verdict: 'may-have-run' },
      next: claim(2),
      kind: 'unknown',
    },
    { name: 'a key whose grant was lost', end: undefined, next: claim(2, 'd', [1]), kind: 'fresh' },
    {
      name: 'a finished key by an older attempt',
      end: { verdict: 'ran' },
      next: claim(0),
      kind: 'settled',
    },
    {
      // Guards against confusing two incarnations of the same instance.
      name: 'a running key by the next incarnation',
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

  it('limits keys and cached responses by size and age', () => {
    const clock = new ManualClock();
    const limits = { maxEntries: 3, maxCachedBytes: 10, maxResponseBytes: 6, responseTtlMs: 100 };
    const table = new ClaimTable(clock, limits);
    const finish = (name: string, size: number) => {
      table.claim({ ...claim(1), key: name }, 500);
      const body = Buffer.alloc(size);
      table.recordOutcome(name, holder(1), {
        verdict: 'ran',
        answer: { status: 200, headers: {}, body },
      });
    };
    finish('a', 6);
    finish('b', 7);
    finish('c', 6);
    const cachedSizes = () => ['a', 'b', 'c'].map((name) => table.find(name)?.answer?.body.length);
    expect(cachedSizes()).toEqual([undefined, undefined, 6]);
    expect(table.claim({ ...claim(1), key: 'd' }, 500).kind).toBe('full');
    clock.advance(100);
    table.removeExpired();
    expect(cachedSizes()).toEqual([undefined, undefined, undefined]);
    expect(table.size).toBe(3);
    clock.advance(400);
    table.removeExpired();
    expect(table.size).toBe(0);
  });
});

describe('AttemptTable', () => {
  it.each([
    ['an attempt without a grant', [], { kind: 'ended', outcome: { verdict: 'not-run' } }],
    ['a running attempt', ['start'], { kind: 'running' }],
    ['a finished attempt', ['start', 'finish'], { kind: 'ended', outcome: { verdict: 'ran' } }],
    // A removed attempt may have been executed: `not-run` would allow a second execution.
    ['a removed attempt', ['start', 'finish', 'wait'], { kind: 'gone' }],
    ['another incarnation', ['other'], { kind: 'gone' }],
  ])('answers an inquiry about %s', (_name, steps, expected) => {
    const clock = new ManualClock();
    const attempts = new AttemptTable(instance, incarnation, clock, 100);
    const opened = attempts.open();
    if (steps.includes('start')) attempts.start(opened);
    if (steps.includes('finish')) attempts.recordOutcome(opened, { verdict: 'ran' });
    if (steps.includes('wait')) {
      clock.advance(101);
      attempts.abandon(attempts.open());
    }
    const inquired = steps.includes('other')
      ? { ...opened, incarnation: '9' as Incarnation }
      : opened;
    expect(attempts.answerInquiry(inquired)).toEqual(expected);
    // Guards against a late grant that starts an attempt after it was reported as not run.
    if (steps.length === 0) expect(attempts.start(opened)).toBe(false);
  });
});

describe('Arbiter', () => {
  const setUp = async (status: AttemptStatus, ofIncarnation = 'i1') => {
    const clock = new ManualClock();
    const log = makeMemoryLog();
    const first = new Arbiter(
      new MemoryJournal(log, 'x'),
      async () => Promise.resolve(status),
      clock,
    );
    await first.claim({ ...claim(1), holder: holder(1, ofIncarnation) }, neverAborted);
    const second = new Arbiter(
      new MemoryJournal(log, 'y'),
      async () => Promise.resolve(status),
      clock,
    );
    return { first, second, log };
  };

  it.each([
    { name: 'gone', status: { kind: 'gone' }, answer: 'unknown' },
    { name: 'finished', status: { kind: 'ended', outcome: { verdict: 'ran' } }, answer: 'settled' },
    {
      name: 'not executed',
      status: { kind: 'ended', outcome: { verdict: 'not-run' } },
      answer: 'granted',
    },
  ] as const)('asks the executor about a record after a take-over: $name', async (row) => {
    const { second } = await setUp(row.status);
    expect((await second.claim(claim(2), neverAborted)).kind).toBe(row.answer);
  });

  it('does not grant from memory after another arbiter has taken over', async () => {
    // Guards against a paused arbiter that grants a released key which was executed meanwhile.
    const { first, second, log } = await setUp({ kind: 'running' });
    first.recordOutcome('k', holder(1), { verdict: 'not-run' });
    await second.acquire();
    expect((await first.claim(claim(2), neverAborted)).kind).toBe('moved');
    expect(log.records).toHaveLength(1);
  });

  it('reports a key as fresh only when no other arbiter can have taken over', async () => {
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
      const aborted = AbortSignal.abort();
      expect(await arbiter.claim(claim(1), aborted)).toMatchObject({
        kind: 'refused',
        fresh: !replaced,
      });
    }
  });
});

/** A reference model of the claim table without faults, batches or take-overs. */
class SequentialTable {
  readonly #keys = new Map<string, { digest: string; state: string }>();

  claim(name: string, digest: string): string {
    const entry = this.#keys.get(name);
    if (entry && entry.digest !== digest) return 'mismatch';
    if (entry && entry.state !== 'not-run') return entry.state === 'ran' ? 'settled' : 'unknown';
    this.#keys.set(name, { digest, state: 'running' });
    return 'granted';
  }

  recordOutcome(name: string, verdict: string): void {
    const entry = this.#keys.get(name);
    if (entry) this.#keys.set(name, { ...entry, state: verdict });
  }
}

describe('Arbiter on a platform without faults', () => {
  it('answers like a sequential table, across take-overs and sealed segments', async () => {
    for (let seed = 1; seed <= 60; seed++) {
      const random = makeRandom(seed);
      const schedule = new Schedule();
      const store = new FaultyStore(schedule, random);
      store.faultRate = 0;
      const { clock, sleep } = schedule;
      const attempts = new AttemptTable(instance, incarnation, clock);
      const model = new SequentialTable();
      const makeArbiter = (name: string) =>
        new Arbiter(
          new PlatformJournal(store, '0', name, clock, { sleep, maxTailBytes: 200 }),
          async (inquired) => Promise.resolve(attempts.answerInquiry(inquired)),
          clock,
          { sleep },
        );
      let arbiter = makeArbiter('0');
      const differences: string[] = [];
      const runSteps = async () => {
        for (let step = 1; step <= 60; step++) {
          if (random.next() < 0.1) arbiter = makeArbiter(String(step));
          const name = `k${Math.floor(random.next() * 12)}`;
          const digest = random.next() < 0.9 ? 'd' : 'e';
          const opened = attempts.open();
          const request = { key: name, digest, holder: opened, givenUp: [] };
          const answer = await arbiter.claim(request, neverAborted);
          const expected = model.claim(name, digest);
          if (answer.kind !== expected) differences.push(`${step}: ${answer.kind} ${expected}`);
          if (answer.kind === 'granted') {
            attempts.start(opened);
            const verdict = (['not-run', 'ran', 'may-have-run'] as const)[
              Math.floor(random.next() * 3)
            ];
            attempts.recordOutcome(opened, { verdict: verdict ?? 'ran' });
            model.recordOutcome(name, verdict ?? 'ran');
            if (random.next() < 0.5)
              arbiter.recordOutcome(name, opened, { verdict: verdict ?? 'ran' });
          } else attempts.abandon(opened);
        }
      };
      void runSteps();
      await schedule.runUntil(60_000);
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
    store.faultRate = 0;
    const { clock, sleep } = schedule;
    const open = (name: string) =>
      new PlatformJournal(store, '0', name, clock, {
        sleep,
        maxTailBytes: 200,
        retentionMs: 10_000,
      });
    const record = (name: string): JournalRecord => ({
      key: name,
      digest: 'd',
      holder: holder(1),
      atMs: clock.readWallTime(),
    });
    const results: unknown[] = [];
    const execute = async (operation: () => Promise<unknown>, endMs: number) => {
      void operation().then((result) => results.push(result));
      await schedule.runUntil(endMs);
      return results.at(-1);
    };
    return { store, open, record, execute, clock, schedule };
  };

  it('fails instead of granting when the store has lost a committed write', async () => {
    const { store, open, record, execute } = setUp();
    const journal = open('x');
    await execute(async () => journal.takeOver(), 100);
    const backup = new Map(store.values);
    await execute(async () => journal.commit(record('a')), 200);
    const seen = journal.position;
    store.values.clear();
    backup.forEach((value, name) => store.values.set(name, value));
    const expected = { error: { kind: 'went-back' } };
    expect(await execute(async () => journal.commit(record('b')), 600)).toMatchObject(expected);
    expect(await execute(async () => open('y').takeOver(seen), 700)).toMatchObject(expected);
  });

  it('refuses to take over a shard with a missing segment', async () => {
    const { store, open, record, execute } = setUp();
    const journal = open('x');
    await execute(async () => journal.takeOver(), 100);
    for (let index = 0; index < 18; index++) {
      await execute(async () => journal.commit(record(`k${index}`)), 300 + 200 * index);
    }
    const segments = [...store.values.keys()].filter((name) => name.includes('segments'));
    expect(segments.length).toBeGreaterThan(1);
    store.values.delete(segments[0] as string);
    const result = await execute(async () => open('y').takeOver(), 5000);
    expect(result).toMatchObject({ error: { kind: 'went-back' } });
  });

  it('deletes expired segments and keeps the others readable', async () => {
    const { store, open, record, execute } = setUp();
    const journal = open('x');
    await execute(async () => journal.takeOver(), 100);
    for (let index = 0; index < 20; index++) {
      await execute(async () => journal.commit(record(`k${index}`)), 1000 * (index + 1));
    }
    // A segment that a replaced arbiter wrote and to which no tail refers.
    const orphan = 'once/0/segments/0-2';
    store.values.set(orphan, { key: orphan, value: Buffer.from('[]'), modifyIndex: 1 });
    const later = open('y');
    const takenOver = (await execute(async () => later.takeOver(), 21_000)) as {
      value: readonly JournalRecord[];
    };
    const names = takenOver.value.map((item) => item.key);
    expect(names).not.toContain('k0');
    expect(names.slice(-9)).toEqual([11, 12, 13, 14, 15, 16, 17, 18, 19].map((n) => `k${n}`));
    await execute(async () => later.commit(record('last')), 22_000);
    expect(store.values.has(orphan)).toBe(false);
  });

  it('writes at most once in 40 ms and combines pending records in one write', async () => {
    const { store, open, record, execute, schedule } = setUp();
    const journal = open('x');
    await execute(async () => journal.takeOver(), 100);
    const times: number[] = [];
    const { compareAndSwap } = store;
    store.compareAndSwap = async (...args) => {
      times.push(schedule.clock.now());
      return compareAndSwap.apply(store, args);
    };
    await execute(async () => {
      const commits = [0, 1, 2].map((index) => journal.commit(record(`k${index}`)));
      await Promise.all(commits);
      return journal.commit(record('late'));
    }, 600);
    expect(times).toHaveLength(2);
    times.slice(1).forEach((time, index) => {
      expect(time - (times[index] ?? 0)).toBeGreaterThanOrEqual(40);
    });
  });
});
