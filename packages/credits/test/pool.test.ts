import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '@dotterelpass/values';
import type { EndpointId, InstanceId, ServiceId } from '@dotterelpass/values';
import { CreditPool, countExtraCredits, loanDurationMs } from '../src/pool.js';
import type { Credit, Loan } from '../src/pool.js';

const live = ['a', 'b', 'c'] as InstanceId[];
const [a, b] = live as [InstanceId, InstanceId];
const endpoints = ['e1', 'e2'].map((id) => ({ id: id as EndpointId, slots: 3 }));
const [e1] = endpoints.map(({ id }) => id) as [EndpointId];

function openPool(self: InstanceId, clock: ManualClock, findLimit = () => 3, members = live) {
  const pool = new CreditPool('status' as ServiceId, self, clock, findLimit);
  pool.setMembers(endpoints, members);
  return pool;
}

/** Three pools and the messages between them, which the test delivers in any order or drops. */
class Fleet {
  readonly clock = new ManualClock();

  readonly pools = new Map(live.map((self) => [self, openPool(self, this.clock)]));

  readonly usedCredits: { self: InstanceId; credit: Credit }[] = [];

  #messages: (() => void)[] = [];

  findPool(self: InstanceId): CreditPool {
    return this.pools.get(self) as CreditPool;
  }

  send(message: () => void): void {
    this.#messages.push(message);
  }

  /** Delivers or drops one of the pending messages. */
  deliver(index: number, isLost: boolean): void {
    const [message] = this.#messages.splice(index % Math.max(1, this.#messages.length), 1);
    if (!isLost) message?.();
  }

  dropAllMessages(): void {
    this.#messages = [];
  }

  requestLoans(self: InstanceId, peer: InstanceId, renew: readonly Loan[], wanted: number): void {
    const askedAt = this.clock.now();
    this.send(() => {
      const lender = this.findPool(peer);
      const loans = [...lender.renew(self, renew), ...lender.lend(self, wanted, 0)];
      this.send(() => this.findPool(self).receiveLoans(peer, loans, askedAt));
    });
  }

  /** @returns The number of instances that hold each credit. */
  countHolders(): Map<string, number> {
    const holders = new Map<string, number>();
    this.pools.forEach((pool) =>
      pool.listHeld().forEach(({ endpoint, index }) => {
        const name = `${endpoint}/${index}`;
        holders.set(name, (holders.get(name) ?? 0) + 1);
      }),
    );
    return holders;
  }
}

const stepArbitrary = fc.record({
  kind: fc.constantFrom(
    'borrow',
    'renew',
    'return',
    'acquire',
    'release',
    'deliver',
    'lose',
    'advance',
  ),
  self: fc.constantFrom(...live),
  peer: fc.constantFrom(...live),
  number: fc.nat(600),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

function performStep(fleet: Fleet, { kind, self, peer, number }: Step): void {
  const pool = fleet.findPool(self);
  if (kind === 'borrow') fleet.requestLoans(self, peer, [], 1 + (number % 3));
  if (kind === 'renew') fleet.requestLoans(self, peer, pool.listRenewable(loanDurationMs), 0);
  if (kind === 'return') {
    pool.releaseIdleLoans(number % 2).forEach((loan) => {
      fleet.send(() => fleet.findPool(loan.peer).receiveReturnedLoans(self, [loan]));
    });
  }
  if (kind === 'acquire') {
    const credit = pool.acquire(e1);
    if (credit) fleet.usedCredits.push({ self, credit });
  }
  if (kind === 'release') {
    const used = fleet.usedCredits.splice(number % Math.max(1, fleet.usedCredits.length), 1)[0];
    if (used) fleet.findPool(used.self).release(used.credit);
  }
  if (kind === 'deliver' || kind === 'lose') fleet.deliver(number, kind === 'lose');
  if (kind === 'advance') fleet.clock.advance(number);
}

describe('CreditPool', () => {
  /**
   * Guards against credits that two instances use at once or that no instance uses any more, after
   * lost, late or reordered messages.
   */
  it('gives each credit one holder, and makes all credits usable 500 ms after message loss', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 120 }), (steps) => {
        const fleet = new Fleet();
        steps.forEach((step) => {
          performStep(fleet, step);
          fleet
            .countHolders()
            .forEach((count, name) => expect({ name, count }).toEqual({ name, count: 1 }));
        });
        fleet.dropAllMessages();
        fleet.usedCredits.forEach(({ self, credit }) => fleet.findPool(self).release(credit));
        fleet.clock.advance(loanDurationMs);
        const held = [...fleet.pools.values()].map((pool) => pool.countHeld());
        expect(held.reduce((sum, count) => sum + count)).toBe(6);
        expect(fleet.countHolders().size).toBe(12);
      }),
      { seed: 5, numRuns: 1000 },
    );
  });

  function openPair() {
    const clock = new ManualClock();
    const members = [a, b];
    const lender = openPool(a, clock, () => 3, members);
    const borrower = openPool(b, clock, () => 3, members);
    const [loan] = lender.lend(b, 1, 0) as [Loan];
    return { clock, lender, borrower, loan };
  }

  /** Guards against a borrower that was paused and then uses a loan that has expired. */
  it.each([
    { name: 'uses a loan that has not expired', lateMs: 0, pauseMs: 499, has: true },
    {
      name: 'does not use a loan that expired during a pause',
      lateMs: 0,
      pauseMs: 500,
      has: false,
    },
    { name: 'ignores a loan that arrives after its expiry', lateMs: 500, pauseMs: 0, has: false },
    {
      name: 'counts the duration of a loan from the request',
      lateMs: 300,
      pauseMs: 200,
      has: false,
    },
  ])('$name', ({ lateMs, pauseMs, has }) => {
    const { clock, lender, borrower, loan } = openPair();
    const before = borrower.countHeld();
    const askedAt = clock.now();
    clock.advance(lateMs);
    borrower.receiveLoans(a, [loan], askedAt);
    clock.advance(pauseMs);
    expect(borrower.countHeld() - before).toBe(has ? 1 : 0);
    expect(
      lender
        .listHeld()
        .some((credit) => credit.endpoint === loan.endpoint && credit.index === loan.index),
    ).toBe(!has);
  });

  /** Guards against a loan that expires while a long call still uses it. */
  it('renews only loans that a call uses', () => {
    const { clock, lender, borrower, loan } = openPair();
    borrower.receiveLoans(a, [loan], clock.now());
    expect(borrower.listRenewable(500)).toEqual([]);
    while (borrower.countFree(loan.endpoint) > 0) borrower.acquire(loan.endpoint);
    clock.advance(300);
    const renewed = lender.renew(b, borrower.listRenewable(250));
    expect(renewed).toHaveLength(1);
    borrower.receiveLoans(a, renewed, clock.now());
    clock.advance(300);
    expect(borrower.listRenewable(500)).toHaveLength(1);
    const isLoan = (credit: Credit) =>
      credit.endpoint === loan.endpoint && credit.index === loan.index;
    expect(lender.listHeld().some(isLoan)).toBe(false);
    expect(lender.renew(b, [{ ...loan, loan: loan.loan + 1 }])).toEqual([]);
  });

  /** Guards against late messages that make a returned loan valid again at the borrower. */
  it('ignores a duplicate of a returned loan', () => {
    const { clock, lender, borrower, loan } = openPair();
    const before = borrower.countHeld();
    borrower.receiveLoans(a, [loan], clock.now());
    borrower.releaseIdleLoans(0);
    borrower.receiveLoans(a, [loan], clock.now());
    expect(borrower.countHeld()).toBe(before);
    lender.receiveReturnedLoans(b, [loan]);
    const [next] = lender.lend(b, 1, 0) as [Loan];
    borrower.receiveLoans(a, [next], clock.now());
    borrower.receiveLoans(a, [loan], clock.now());
    clock.advance(1);
    lender.receiveReturnedLoans(b, borrower.releaseIdleLoans(0));
    expect(lender.countHeld() + borrower.countHeld()).toBe(6);
  });

  /** Guards against slots that no instance holds, or several hold, after a change of members. */
  it.each([
    { before: ['a', 'b', 'c'], after: ['a', 'b'] },
    { before: ['a', 'b'], after: ['a', 'b', 'c'] },
  ])('moves the credits from the members $before to $after', ({ before, after }) => {
    const clock = new ManualClock();
    const limit = () => 3;
    const pools = after.map((self) =>
      openPool(self as InstanceId, clock, limit, before as InstanceId[]),
    );
    pools.forEach((pool) => pool.setMembers(endpoints, after as InstanceId[]));
    expect(pools.reduce((sum, pool) => sum + pool.countHeld(), 0)).toBe(6);
  });

  /**
   * Guards against a call in flight whose credit gets another owner: its release must not free a
   * credit that this instance does not hold.
   */
  it('keeps credits in use when members change', () => {
    const clock = new ManualClock();
    const pool = openPool(a, clock, () => 3, [a]);
    const credit = pool.acquire(e1) as Credit;
    pool.setMembers(endpoints, [b]);
    expect(pool.countBusy(e1)).toBe(1);
    pool.release(credit);
    expect([pool.countBusy(e1), pool.countFree(e1)]).toEqual([0, 0]);
  });

  /** Guards against exceeding the limit of an endpoint in slow start, ejected or overloaded. */
  it.each([
    { limit: 0, free: 0, lent: 0 },
    { limit: 1, free: 1, lent: 2 },
    { limit: 3, free: 3, lent: 6 },
    // Extra credits serve calls that wait at this instance, and are never lent.
    { limit: 5, free: 5, lent: 6 },
  ])('with a limit of $limit has $free free credits and lends $lent', ({ limit, free, lent }) => {
    const pool = openPool(a, new ManualClock(), () => limit, [a]);
    expect(pool.countFree(e1)).toBe(free);
    expect(pool.lend(b, 99, 0)).toHaveLength(lent);
  });

  /** Guards against other calls on an endpoint while it runs a request that may crash it. */
  it('acquires all slots of an endpoint for a call that runs alone', () => {
    const pool = openPool(a, new ManualClock(), () => 3, [a]);
    const credit = pool.acquire(e1) as Credit;
    expect(pool.acquireAll(e1)).toBeUndefined();
    pool.release(credit);
    expect(pool.acquireAll(e1)).toHaveLength(3);
    expect(pool.acquire(e1)).toBeUndefined();
    expect(openPool(a, new ManualClock()).acquireAll(e1)).toBeUndefined();
  });

  /** Guards against slots that stay idle during the network round trip. */
  it.each([
    { rttMs: 3, serviceMs: 5, extra: 2 },
    { rttMs: 1, serviceMs: 100, extra: 1 },
    { rttMs: 300, serviceMs: 5, extra: 3 },
    { rttMs: 3, serviceMs: 0, extra: 0 },
  ])(
    'adds $extra credits for a round trip of $rttMs ms and a service time of $serviceMs ms',
    (row) => {
      expect(countExtraCredits(3, row.rttMs, row.serviceMs)).toBe(row.extra);
    },
  );
});
