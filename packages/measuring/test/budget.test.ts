import { describe, expect, it } from 'vitest';
import { ManualClock, makeRandom } from '@dotterelpass/values';
import type { EndpointId } from '@dotterelpass/values';
import { ProbeBudget } from '../src/budget.js';

const endpoint = 'e1' as EndpointId;
const leaseMs = 10_000;
const renewMs = 3000;
const stepMs = 50;

interface Prober {
  budget: ProbeBudget;
  pausedUntil: number;
  renewAt: number;
}

/** The platform's lease, which the platform ends by its own time. */
class Lease {
  #holder: Prober | undefined;

  #until = 0;

  acquire(prober: Prober, now: number): boolean {
    if (this.#until > now && this.#holder !== prober) return false;
    this.#holder = prober;
    this.#until = now + leaseMs;
    return true;
  }
}

interface Conditions {
  readonly instances: number;
  readonly probesPerSecond?: number;
  /** Mean time between restarts of an instance, in milliseconds. */
  readonly restartMs?: number;
  /** Mean time between pauses of an instance, each of 1 to 30 s. */
  readonly pauseMs?: number;
}

function listProbes({ instances, restartMs, pauseMs, probesPerSecond = 1 }: Conditions): number[] {
  const clock = new ManualClock();
  const random = makeRandom(instances);
  const lease = new Lease();
  const limits = { probesPerSecond, maxInstances: 5 };
  const start = (index: number): Prober => {
    const budget = new ProbeBudget(clock, limits);
    budget.setShare(index < limits.maxInstances);
    return { budget, pausedUntil: 0, renewAt: clock.now() };
  };
  const probers = Array.from({ length: instances }, (_, index) => start(index));
  const probes: number[] = [];
  for (let now = 0; now < 600_000; now += stepMs) {
    probers.forEach((prober, index) => {
      if (restartMs && random.next() < stepMs / restartMs) probers[index] = start(index);
      if (now < prober.pausedUntil) return;
      if (prober.budget.acquire(endpoint)) probes.push(now);
      if (now >= prober.renewAt) {
        Object.assign(prober, { renewAt: now + renewMs });
        // The answer is that of a platform that got the renewal up to 2 s later.
        const isHeld = lease.acquire(prober, now + random.next() * 2000);
        if (isHeld) prober.budget.holdLeaseUntil(now + leaseMs);
        else prober.budget.endLease();
      }
      if (pauseMs && random.next() < stepMs / pauseMs) {
        Object.assign(prober, { pausedUntil: now + 1000 + random.next() * 29_000 });
      }
    });
    clock.advance(stepMs);
  }
  return probes;
}

describe('the probe budget', () => {
  /** Guards endpoints: the sum over all instances stays within the rate, whatever happens. */
  it.each([
    { instances: 1 },
    { instances: 5 },
    { instances: 40 },
    { instances: 5, probesPerSecond: 0.1 },
    { instances: 5, restartMs: 20_000 },
    { instances: 5, restartMs: 2000 },
    { instances: 5, pauseMs: 20_000 },
    { instances: 40, pauseMs: 20_000, restartMs: 20_000 },
  ])('holds with $instances instances, restarts $restartMs, pauses $pauseMs', (conditions) => {
    const probes = listProbes(conditions);
    const perMs = (conditions.probesPerSecond ?? 1) / 1000;
    expect(probes.length).toBeLessThanOrEqual(600_000 * perMs);
    // In a window, each bucket that was full at its start adds one probe.
    const buckets = Math.min(conditions.instances, 5) + 1;
    probes.forEach((from) => {
      const inWindow = probes.filter((at) => at >= from && at < from + 20_000).length;
      expect(inWindow).toBeLessThanOrEqual(20_000 * perMs + buckets);
    });
  });

  /** Guards the use of the budget: a bound that holds because nothing is probed is no bound. */
  it('is used to nine tenths by five instances without faults', () => {
    expect(listProbes({ instances: 5 }).length).toBeGreaterThan(540);
  });

  /** Guards endpoints from a holder that returns: another may have probed in the meantime. */
  it('starts with an empty bucket when a lapsed lease is taken again', () => {
    const clock = new ManualClock();
    const budget = new ProbeBudget(clock, { probesPerSecond: 1, maxInstances: 5 });
    budget.holdLeaseUntil(leaseMs);
    budget.acquire(endpoint);
    clock.advance(leaseMs);
    budget.holdLeaseUntil(2 * leaseMs);
    expect(budget.acquire(endpoint)).toBe(false);
  });

  /** Guards against a paused holder that goes on probing after its lease has lapsed. */
  it('takes the lease to end by the local time', () => {
    const clock = new ManualClock();
    const budget = new ProbeBudget(clock, { probesPerSecond: 1, maxInstances: 5 });
    budget.holdLeaseUntil(leaseMs);
    expect(budget.acquire(endpoint)).toBe(false);
    clock.advance(leaseMs);
    expect(budget.acquire(endpoint)).toBe(false);
  });
});
