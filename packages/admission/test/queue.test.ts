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

function dequeueAll(queue: AdmissionQueue<Call>): Call[] {
  return Array.from({ length: queue.size }, () => queue.dequeue() as Call);
}

describe('AdmissionQueue', () => {
  /** Guards against calls of a tenant that overtake calls of higher or equal priority. */
  it('serves one tenant by priority and arrival', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(9)), (priorities) => {
        const { queue } = openQueue();
        const calls = priorities.map((priority, number) => makeCall(number, { priority }));
        calls.forEach((call) => queue.enqueue(call));
        const sorted = [...calls].sort((x, y) => y.priority - x.priority || x.number - y.number);
        expect(dequeueAll(queue)).toEqual(sorted);
      }),
      { seed: 11 },
    );
  });

  /** Guards against a tenant whose flood of calls takes more than its weighted share. */
  it.each([
    { weights: [], shares: { a: 30, b: 30 } },
    { weights: [['b', 2]] as [string, number][], shares: { a: 20, b: 40 } },
    { weights: [['b', 0.5]] as [string, number][], shares: { a: 40, b: 20 } },
  ])('shares 60 dequeued calls as $shares', ({ weights, shares }) => {
    const { queue } = openQueue({ weights });
    for (let number = 0; number < 500; number++) queue.enqueue(makeCall(number, { priority: 9 }));
    for (let number = 0; number < 60; number++) {
      queue.enqueue(makeCall(number, { tenant: 'b' as TenantId, priority: 0 }));
    }
    const tenants = Array.from({ length: 60 }, () => queue.dequeue()?.tenant);
    Object.entries(shares).forEach(([tenant, count]) => {
      expect(Math.abs(tenants.filter((id) => id === tenant).length - count)).toBeLessThan(2);
    });
  });

  /** Guards against queued calls that are lost or run twice. */
  it('dequeues, expires or removes every admitted call exactly once', () => {
    const step = fc.record({
      kind: fc.constantFrom('enqueue', 'dequeue', 'requeue', 'advance', 'remove'),
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
          if (kind === 'enqueue' && queue.enqueue(call).isOk()) admitted.push(call);
          if (kind === 'advance') clock.advance(deadlineMs / 2);
          ended.push(...queue.removeExpired().map((expired) => expired.call));
          const requeued = kind === 'requeue' ? queue.dequeue() : undefined;
          if (requeued) {
            queue.requeue(requeued);
            expect(queue.dequeue()).toBe(requeued);
            queue.requeue(requeued);
          }
          const dequeued = kind === 'dequeue' ? queue.dequeue() : undefined;
          if (dequeued) {
            expect(dequeued.deadlineAt).toBeGreaterThanOrEqual(clock.now());
            ended.push(dequeued);
          }
          const first = admitted.find((queued) => !ended.includes(queued));
          if (kind === 'remove' && first && queue.remove(first)) ended.push(first);
        });
        ended.push(...dequeueAll(queue));
        const byNumber = (x: Call, y: Call) => x.number - y.number;
        expect([...ended].sort(byNumber)).toEqual([...admitted].sort(byNumber));
        expect(queue.size).toBe(0);
      }),
      { seed: 12 },
    );
  });

  /** Guards against admitting calls that will miss their deadline, and an unbounded queue. */
  it.each([
    { name: 'admits a call with', deadlineMs: 400, refused: undefined },
    { name: 'refuses a call with', deadlineMs: 250, refused: 'deadline' },
    // The queue may hold 100 calls/s * 0.3 s.
    { name: 'is too full for a call with', deadlineMs: 305, limit: 20, refused: 'queue-full' },
  ])('with 30 calls ahead $name a deadline of $deadlineMs ms', ({ deadlineMs, limit, refused }) => {
    const { queue, clock } = openQueue({ slots: 3, queue: limit ?? 1000 });
    for (let count = 0; count < 100; count++) {
      clock.advance(10);
      queue.recordCompletion(1);
    }
    for (let number = 0; number < 30; number++) queue.enqueue(makeCall(number));
    const call = makeCall(99, { deadlineMs, deadlineAt: clock.now() + deadlineMs });
    const result = queue.enqueue(call);
    expect(result.isErr() ? result.error.reason : undefined).toBe(refused);
    if (result.isErr()) {
      expect(result.error.retryAfterSeconds).toBeGreaterThanOrEqual(1);
      expect(dequeueAll(queue)).not.toContain(call);
    }
  });

  /** Guards against a queue that stays as long as before when the completion rate falls. */
  it.each([
    { completions: 100, admitted: 50 },
    { completions: 10, admitted: 5 },
    { completions: 0, admitted: 3 },
  ])(
    'admits $admitted calls with a deadline of 0.5 s after $completions completions in a second',
    ({ completions, admitted }) => {
      const { queue, clock } = openQueue({ slots: 3 });
      clock.advance(1000);
      for (let count = 0; count < completions; count++) queue.recordCompletion(0.01);
      const results = Array.from({ length: 200 }, (_, number) =>
        queue.enqueue(makeCall(number, { deadlineMs: 500 })),
      );
      expect(results.filter((result) => result.isOk())).toHaveLength(admitted);
    },
  );

  /** Guards against refusing a burst after a time of low demand and thus few completions. */
  it('derives the capacity from the held slots when demand was low', () => {
    const { queue, clock } = openQueue({ slots: 10 });
    queue.recordCompletion(10);
    queue.setHeldSlots(10);
    for (let number = 0; number < 9; number++) queue.enqueue(makeCall(number));
    const result = queue.enqueue(makeCall(9, { deadlineAt: clock.now() + 100 }));
    expect(result.isOk()).toBe(true);
  });

  /** Guards against missed deadlines on a slow host, which completes less than its slots allow. */
  it('derives the capacity from the completions while calls wait', () => {
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

  /**
   * Guards against long waits after a load peak: a backlog of a whole deadline takes at least that
   * long to clear.
   */
  it('holds calls for a quarter of the deadline after it has been non-empty for a second', () => {
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
    for (let remaining = queue.size; remaining > 1; remaining--) queue.dequeue();
    // The completions of the last second are counted in buckets of 50 ms.
    expect(fill()).toBeLessThanOrEqual(50);
    expect(queue.size).toBeGreaterThan(45);
  });

  /** Guards against running a call that can no longer meet its deadline. */
  it('expires a call whose deadline is closer than the service time', () => {
    const { queue, clock } = openQueue();
    queue.recordCompletion(10);
    const call = makeCall(1, { deadlineAt: 100 });
    queue.enqueue(call);
    clock.advance(89);
    expect(queue.removeExpired()).toEqual([]);
    clock.advance(2);
    expect(queue.removeExpired().map((expired) => expired.call)).toEqual([call]);
    expect(queue.dequeue()).toBeUndefined();
  });
});
