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

/** The lease as stored by the platform, whose clock decides when it expires there. */
class PlatformLease {
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

/** Simulates ten minutes of probing and returns the time of each probe, in milliseconds. */
function simulateProbes({
  instances,
  restartMs,
  pauseMs,
  probesPerSecond = 1,
}: Conditions): number[] {
  const clock = new ManualClock();
  const random = makeRandom(instances);
  const lease = new PlatformLease();
  const limits = { probesPerSecond, maxInstances: 5 };
  const startProber = (index: number): Prober => {
    const budget = new ProbeBudget(clock, limits);
    budget.setShare(index < limits.maxInstances);
    return { budget, pausedUntil: 0, renewAt: clock.now() };
  };
  const probers = Array.from({ length: instances }, (_, index) => startProber(index));
  const probeTimes: number[] = [];
  for (let now = 0; now < 600_000; now += stepMs) {
    probers.forEach((prober, index) => {
      if (restartMs && random.next() < stepMs / restartMs) probers[index] = startProber(index);
      if (now < prober.pausedUntil) return;
      if (prober.budget.acquire(endpoint)) probeTimes.push(now);
      if (now >= prober.renewAt) {
        Object.assign(prober, { renewAt: now + renewMs });
        // The platform receives the renewal up to 2 s after it was sent.
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
  return probeTimes;
}

describe('ProbeBudget', () => {
  /** Guards against exceeding the rate over all instances, also on restarts and pauses. */
  it.each([
    { instances: 1 },
    { instances: 5 },
    { instances: 40 },
    { instances: 5, probesPerSecond: 0.1 },
    { instances: 5, restartMs: 20_000 },
    { instances: 5, restartMs: 2000 },
    { instances: 5, pauseMs: 20_000 },
    { instances: 40, pauseMs: 20_000, restartMs: 20_000 },
  ])('is kept by $instances instances, restarts $restartMs, pauses $pauseMs', (conditions) => {
    const probeTimes = simulateProbes(conditions);
    const probesPerMs = (conditions.probesPerSecond ?? 1) / 1000;
    expect(probeTimes.length).toBeLessThanOrEqual(600_000 * probesPerMs);
    // Each bucket that is full at the start of a window allows one additional probe in it.
    const buckets = Math.min(conditions.instances, 5) + 1;
    probeTimes.forEach((from) => {
      const inWindow = probeTimes.filter((at) => at >= from && at < from + 20_000).length;
      expect(inWindow).toBeLessThanOrEqual(20_000 * probesPerMs + buckets);
    });
  });

  /** Guards against a budget that is kept only because too few probes are sent. */
  it('is used to at least 90% by five instances without faults', () => {
    expect(simulateProbes({ instances: 5 }).length).toBeGreaterThan(540);
  });

  /**
   * Guards against too many probes after an expired lease was acquired again: another instance may
   * have sent probes in the meantime.
   */
  it('starts with an empty bucket when an expired lease is acquired again', () => {
    const clock = new ManualClock();
    const budget = new ProbeBudget(clock, { probesPerSecond: 1, maxInstances: 5 });
    budget.holdLeaseUntil(leaseMs);
    budget.acquire(endpoint);
    clock.advance(leaseMs);
    budget.holdLeaseUntil(2 * leaseMs);
    expect(budget.acquire(endpoint)).toBe(false);
  });

  /** Guards against probes from an instance that was paused until after its lease expired. */
  it('ends the lease by the local clock', () => {
    const clock = new ManualClock();
    const budget = new ProbeBudget(clock, { probesPerSecond: 1, maxInstances: 5 });
    budget.holdLeaseUntil(leaseMs);
    expect(budget.acquire(endpoint)).toBe(false);
    clock.advance(leaseMs);
    expect(budget.acquire(endpoint)).toBe(false);
  });
});
