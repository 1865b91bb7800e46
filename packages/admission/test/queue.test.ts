import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '@dotterelpass/values';
import type { TenantId } from '@dotterelpass/values';
import { AdmissionQueue } from '../src/queue.js';
import type { WaitingCall } from '../src/queue.js';

interface Call extends WaitingCall {
  readonly number: number;
}

function makeCall(number: number, change: Partial<Call> = {}): Call {
  const tenant = 'a' as TenantId;
  return { number, tenant, priority: 5, deadlineAt: 1e6, deadlineMs: 1e6, ...change };
}

function openQueue(change: { queue?: number; slots?: number; weights?: [string, number][] } = {}) {
  const clock = new ManualClock();
  const { queue = 1000, slots = 2000, weights = [] } = change;
  const limits = { queue, slots, weights: new Map(weights as [TenantId, number][]) };
  return { clock, queue: new AdmissionQueue<Call>(clock, limits) };
}

function drain(queue: AdmissionQueue<Call>): Call[] {
  return Array.from({ length: queue.size }, () => queue.dequeue() as Call);
}

describe('admission', () => {
  /** Guards the order against a naive queue that sorts by priority and arrival. */
  it('serves one tenant like a sorted list', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(9)), (priorities) => {
        const { queue } = openQueue();
        const calls = priorities.map((priority, number) => makeCall(number, { priority }));
        calls.forEach((call) => queue.enqueue(call));
        const sorted = [...calls].sort((x, y) => y.priority - x.priority || x.number - y.number);
        expect(drain(queue)).toEqual(sorted);
      }),
      { seed: 11 },
    );
  });

  /** Guards small tenants: a flood of one tenant takes no more than its weight from others. */
  it.each([
    { weights: [], shares: { a: 30, b: 30 } },
    { weights: [['b', 2]] as [string, number][], shares: { a: 20, b: 40 } },
    { weights: [['b', 0.5]] as [string, number][], shares: { a: 40, b: 20 } },
  ])('shares 60 turns as $shares', ({ weights, shares }) => {
    const { queue } = openQueue({ weights });
    for (let number = 0; number < 500; number++) queue.enqueue(makeCall(number, { priority: 9 }));
    for (let number = 0; number < 60; number++) {
      queue.enqueue(makeCall(number, { tenant: 'b' as TenantId, priority: 0 }));
    }
    const turns = Array.from({ length: 60 }, () => queue.dequeue()?.tenant);
    Object.entries(shares).forEach(([tenant, count]) => {
      expect(Math.abs(turns.filter((turn) => turn === tenant).length - count)).toBeLessThan(2);
    });
  });

  /** Guards against a call that vanishes: each is picked, dropped or removed exactly once. */
  it('gives every admitted call exactly one end', () => {
    const step = fc.record({
      kind: fc.constantFrom('offer', 'pick', 'restore', 'advance', 'remove'),
      tenant: fc.constantFrom('a', 'b', 'c'),
      deadlineMs: fc.integer({ min: 1, max: 50 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const { queue, clock } = openQueue({ weights: [['b', 0.3]] });
        const admitted: Call[] = [];
        const ended: Call[] = [];
        steps.forEach(({ kind, tenant, deadlineMs }, number) => {
          const call = makeCall(number, {
            tenant: tenant as TenantId,
            deadlineMs,
            deadlineAt: clock.now() + deadlineMs,
          });
          if (kind === 'offer' && queue.enqueue(call).isOk()) admitted.push(call);
          if (kind === 'advance') clock.advance(deadlineMs / 2);
          ended.push(...queue.removeExpired().map((late) => late.call));
          const tried = kind === 'restore' ? queue.dequeue() : undefined;
          if (tried) {
            queue.requeue(tried);
            expect(queue.dequeue()).toBe(tried);
            queue.requeue(tried);
          }
          const picked = kind === 'pick' ? queue.dequeue() : undefined;
          if (picked) {
            expect(picked.deadlineAt).toBeGreaterThanOrEqual(clock.now());
            ended.push(picked);
          }
          const first = admitted.find((one) => !ended.includes(one));
          if (kind === 'remove' && first && queue.remove(first)) ended.push(first);
        });
        ended.push(...drain(queue));
        const byNumber = (x: Call, y: Call) => x.number - y.number;
        expect([...ended].sort(byNumber)).toEqual([...admitted].sort(byNumber));
        expect(queue.size).toBe(0);
      }),
      { seed: 12 },
    );
  });

  /** Guards callers from waiting for nothing, and the queue from growing without bound. */
  it.each([
    { name: 'meets', deadlineMs: 400, refused: undefined },
    { name: 'cannot meet', deadlineMs: 250, refused: 'deadline' },
    // The queue may hold 100 calls/s * 0.3 s.
    { name: 'finds the queue full at', deadlineMs: 305, limit: 20, refused: 'queue-full' },
  ])('with 30 calls ahead $name a deadline of $deadlineMs ms', ({ deadlineMs, limit, refused }) => {
    const { queue, clock } = openQueue({ slots: 3, queue: limit ?? 1000 });
    for (let count = 0; count < 100; count++) {
      clock.advance(10);
      queue.recordCompletion(1);
    }
    for (let number = 0; number < 30; number++) queue.enqueue(makeCall(number));
    const call = makeCall(99, { deadlineMs, deadlineAt: clock.now() + deadlineMs });
    const answer = queue.enqueue(call);
    expect(answer.isErr() ? answer.error.reason : undefined).toBe(refused);
    if (answer.isErr()) {
      expect(answer.error.retryAfterSeconds).toBeGreaterThanOrEqual(1);
      expect(drain(queue)).not.toContain(call);
    }
  });

  /** Guards the bound when service slows down: the queue shrinks with the completions. */
  it.each([
    { completions: 100, admitted: 50 },
    { completions: 10, admitted: 5 },
    { completions: 0, admitted: 3 },
  ])(
    'admits $admitted calls of 0.5 s after $completions in a second',
    ({ completions, admitted }) => {
      const { queue, clock } = openQueue({ slots: 3 });
      clock.advance(1000);
      for (let count = 0; count < completions; count++) queue.recordCompletion(0.01);
      const offers = Array.from({ length: 200 }, (_, number) =>
        queue.enqueue(makeCall(number, { deadlineMs: 500 })),
      );
      expect(offers.filter((offer) => offer.isOk())).toHaveLength(admitted);
    },
  );

  /** Guards a burst after a quiet time: low demand is not a low capacity. */
  it('takes held slots for capacity when demand was low', () => {
    const { queue, clock } = openQueue({ slots: 10 });
    queue.recordCompletion(10);
    queue.setHeldSlots(10);
    for (let number = 0; number < 9; number++) queue.enqueue(makeCall(number));
    const offer = queue.enqueue(makeCall(9, { deadlineAt: clock.now() + 100 }));
    expect(offer.isOk()).toBe(true);
  });

  /** Guards deadlines on a slow host: once calls wait, only what was done counts as capacity. */
  it('believes completions rather than slots while calls wait', () => {
    const { queue, clock } = openQueue({ slots: 10 });
    queue.recordCompletion(10);
    queue.setHeldSlots(10);
    queue.enqueue(makeCall(0));
    expect(queue.completionsPerSecond).toBe(1000);
    for (let count = 0; count < 20; count++) {
      clock.advance(100);
      queue.recordCompletion(10);
    }
    expect(queue.completionsPerSecond).toBe(10);
  });

  /** Guards the time after a crest: a backlog of a whole deadline would last as long again. */
  it('holds a quarter of the deadline once it was not empty for a second', () => {
    const { queue, clock } = openQueue({ slots: 3 });
    const fill = () => {
      while (queue.enqueue(makeCall(0, { deadlineMs: 2000 })).isOk());
      return queue.size;
    };
    fill();
    for (let count = 0; count < 200; count++) {
      clock.advance(10);
      queue.recordCompletion(0.01);
    }
    for (let left = queue.size; left > 1; left--) queue.dequeue();
    // The completions of the last second are counted in steps of 50 ms.
    expect(fill()).toBeLessThanOrEqual(50);
    expect(queue.size).toBeGreaterThan(45);
  });

  /** Guards callers with a call that waits behind others until its time is over. */
  it('drops a call once its deadline is nearer than the service time', () => {
    const { queue, clock } = openQueue();
    queue.recordCompletion(10);
    const call = makeCall(1, { deadlineAt: 100 });
    queue.enqueue(call);
    clock.advance(89);
    expect(queue.removeExpired()).toEqual([]);
    clock.advance(2);
    expect(queue.removeExpired().map((late) => late.call)).toEqual([call]);
    expect(queue.dequeue()).toBeUndefined();
  });
});
