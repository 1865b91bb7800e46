import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '@dotterelpass/values';
import type { EndpointId, InstanceId, ServiceId } from '@dotterelpass/values';
import { CreditPool, countExtraCredits, loanMs } from '../src/pool.js';
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

/** Three pools and the messages between them, which the test delivers in any order or loses. */
class Fleet {
  readonly clock = new ManualClock();

  readonly pools = new Map(live.map((self) => [self, openPool(self, this.clock)]));

  readonly busy: { self: InstanceId; credit: Credit }[] = [];

  #messages: (() => void)[] = [];

  find(self: InstanceId): CreditPool {
    return this.pools.get(self) as CreditPool;
  }

  send(message: () => void): void {
    this.#messages.push(message);
  }

  deliver(at: number, isLost: boolean): void {
    const [message] = this.#messages.splice(at % Math.max(1, this.#messages.length), 1);
    if (!isLost) message?.();
  }

  loseAll(): void {
    this.#messages = [];
  }

  askFor(self: InstanceId, peer: InstanceId, renew: readonly Loan[], wanted: number): void {
    const askedAt = this.clock.now();
    this.send(() => {
      const lender = this.find(peer);
      const loans = [...lender.renew(self, renew), ...lender.lend(self, wanted, 0)];
      this.send(() => this.find(self).receiveLoans(peer, loans, askedAt));
    });
  }

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

const stepSchema = fc.record({
  kind: fc.constantFrom(
    'borrow',
    'renew',
    'return',
    'acquire',
    'release',
    'deliver',
    'lose',
    'pass',
  ),
  self: fc.constantFrom(...live),
  peer: fc.constantFrom(...live),
  number: fc.nat(600),
});

type Step = typeof stepSchema extends fc.Arbitrary<infer T> ? T : never;

function runStep(fleet: Fleet, { kind, self, peer, number }: Step): void {
  const pool = fleet.find(self);
  if (kind === 'borrow') fleet.askFor(self, peer, [], 1 + (number % 3));
  if (kind === 'renew') fleet.askFor(self, peer, pool.listRenewable(loanMs), 0);
  if (kind === 'return') {
    pool.releaseIdleLoans(number % 2).forEach((loan) => {
      fleet.send(() => fleet.find(loan.peer).receiveReturnedLoans(self, [loan]));
    });
  }
  if (kind === 'acquire') {
    const credit = pool.acquire(e1);
    if (credit) fleet.busy.push({ self, credit });
  }
  if (kind === 'release') {
    const done = fleet.busy.splice(number % Math.max(1, fleet.busy.length), 1)[0];
    if (done) fleet.find(done.self).release(done.credit);
  }
  if (kind === 'deliver' || kind === 'lose') fleet.deliver(number, kind === 'lose');
  if (kind === 'pass') fleet.clock.advance(number);
}

describe('credits', () => {
  /** Guards endpoints from double use and fleets from lost slots, in any order of messages. */
  it('gives a credit one holder, and all credits are usable 500 ms after losses', () => {
    fc.assert(
      fc.property(fc.array(stepSchema, { maxLength: 120 }), (steps) => {
        const fleet = new Fleet();
        steps.forEach((step) => {
          runStep(fleet, step);
          fleet
            .countHolders()
            .forEach((count, name) => expect({ name, count }).toEqual({ name, count: 1 }));
        });
        fleet.loseAll();
        fleet.busy.forEach(({ self, credit }) => fleet.find(self).release(credit));
        fleet.clock.advance(loanMs);
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

  /** Guards against a paused borrower that goes on with a loan that its home has taken back. */
  it.each([
    { name: 'uses a loan in time', lateMs: 0, pauseMs: 499, has: true },
    { name: 'loses a loan in a pause', lateMs: 0, pauseMs: 500, has: false },
    { name: 'refuses a loan that came too late', lateMs: 500, pauseMs: 0, has: false },
    { name: 'counts from its question', lateMs: 300, pauseMs: 200, has: false },
  ])('$name', ({ lateMs, pauseMs, has }) => {
    const { clock, lender, borrower, loan } = openPair();
    const before = borrower.countHeld();
    const askedAt = clock.now();
    clock.advance(lateMs);
    borrower.receiveLoans(a, [loan], askedAt);
    clock.advance(pauseMs);
    expect(borrower.countHeld() - before).toBe(has ? 1 : 0);
    expect(
      lender.listHeld().some((one) => one.endpoint === loan.endpoint && one.index === loan.index),
    ).toBe(!has);
  });

  /** Guards long calls: a loan with a call on it goes on while it is renewed. */
  it('renews a loan on which a call runs, and nothing else', () => {
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
    const isLoan = (one: Credit) => one.endpoint === loan.endpoint && one.index === loan.index;
    expect(lender.listHeld().some(isLoan)).toBe(false);
    expect(lender.renew(b, [{ ...loan, loan: loan.loan + 1 }])).toEqual([]);
  });

  /** Guards against late messages that bring back a loan which the lender has again. */
  it('does not take a returned loan a second time', () => {
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

  /** Guards the endpoints' slots when members change: survivors use all, none twice for long. */
  it.each([
    { members: ['a', 'b', 'c'], rest: ['a', 'b'] },
    { members: ['a', 'b'], rest: ['a', 'b', 'c'] },
  ])('moves homes from $members to $rest', ({ members, rest }) => {
    const clock = new ManualClock();
    const limit = () => 3;
    const pools = rest.map((self) =>
      openPool(self as InstanceId, clock, limit, members as InstanceId[]),
    );
    pools.forEach((pool) => pool.setMembers(endpoints, rest as InstanceId[]));
    expect(pools.reduce((sum, pool) => sum + pool.countHeld(), 0)).toBe(6);
  });

  /** Guards a call in flight whose credit moves home: its release must not free a foreign credit. */
  it('keeps calls in flight over a change of members', () => {
    const clock = new ManualClock();
    const pool = openPool(a, clock, () => 3, [a]);
    const credit = pool.acquire(e1) as Credit;
    pool.setMembers(endpoints, [b]);
    expect(pool.countBusy(e1)).toBe(1);
    pool.release(credit);
    expect([pool.countBusy(e1), pool.countFree(e1)]).toEqual([0, 0]);
  });

  /** Guards cold, ejected and overloaded endpoints: the limit holds for calls and for loans. */
  it.each([
    { limit: 0, free: 0, lent: 0 },
    { limit: 1, free: 1, lent: 2 },
    { limit: 3, free: 3, lent: 6 },
    // Extra credits are for the calls that wait here and are never lent.
    { limit: 5, free: 5, lent: 6 },
  ])('with a limit of $limit has $free free and lends $lent', ({ limit, free, lent }) => {
    const pool = openPool(a, new ManualClock(), () => limit, [a]);
    expect(pool.countFree(e1)).toBe(free);
    expect(pool.lend(b, 99, 0)).toHaveLength(lent);
  });

  /** Guards requests that may crash an endpoint: no other call of the fleet runs beside them. */
  it('gives all slots of an endpoint to a call that runs alone', () => {
    const pool = openPool(a, new ManualClock(), () => 3, [a]);
    const credit = pool.acquire(e1) as Credit;
    expect(pool.acquireAll(e1)).toBeUndefined();
    pool.release(credit);
    expect(pool.acquireAll(e1)).toHaveLength(3);
    expect(pool.acquire(e1)).toBeUndefined();
    expect(openPool(a, new ManualClock()).acquireAll(e1)).toBeUndefined();
  });

  it.each([
    { rttMs: 3, serviceMs: 5, extra: 2 },
    { rttMs: 1, serviceMs: 100, extra: 1 },
    { rttMs: 300, serviceMs: 5, extra: 3 },
    { rttMs: 3, serviceMs: 0, extra: 0 },
  ])('adds $extra credits for $rttMs ms of way and $serviceMs ms of work', (row) => {
    expect(countExtraCredits(3, row.rttMs, row.serviceMs)).toBe(row.extra);
  });
});
