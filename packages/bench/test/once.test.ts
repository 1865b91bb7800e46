import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { deployments } from '../src/deployment.js';
import { sendCrashingRequest } from '../src/crashing.js';
import { Fleet } from '../src/fleet.js';
import { recordHistory } from '../src/history.js';

const [, , fees] = deployments.quispe.services;

describe('once-only requests to real processes under faults', () => {
  let fleet: Fleet;

  beforeAll(async () => {
    const services = [{ ...fees, endpointCount: 4 }];
    const deployment = { ...deployments.quispe, services };
    fleet = await Fleet.open({ deployment, entries: 3, rule: { deadlineMs: 3000 } });
  });

  afterAll(() => fleet.close());

  // Guards against a second run of a request, and against a `not-run` answer for a request that ran,
  // when entry instances are killed or paused and the platform fails or loses answers.
  it('run at most once, and neither before nor because of an attempt answered not-run', async () => {
    const reportProgress = () => undefined;
    const plan = {
      seed: 1,
      ms: 10_000,
      callsPerSecond: 25,
      path: '/fees',
      faultEveryMs: 900,
      reportProgress,
    };
    const { runs, attempts, doubleRuns, falseNotRuns } = await recordHistory(fleet, plan);
    expect({ doubleRuns, falseNotRuns }).toEqual({ doubleRuns: [], falseNotRuns: [] });
    // Without runs and replayed answers the checks above would prove nothing.
    expect(runs).toBeGreaterThan(0);
    expect(attempts.some(({ replayed }) => replayed)).toBe(true);
  });
});

describe('a request that crashes every endpoint that runs it', () => {
  // Guards against losing all endpoints of a service to one request, and against banning harmless
  // requests that ran beside it.
  it('costs at most two endpoints and bans no other request', async () => {
    const services = [{ ...deployments.quispe.services[0], endpointCount: 6 }];
    const fleet = await Fleet.open({ deployment: { ...deployments.quispe, services }, entries: 3 });
    try {
      const { lost, refusals, last } = await sendCrashingRequest(fleet, 8);
      expect(lost).toBeLessThanOrEqual(2);
      // A harmless request may fail because the retry budget is spent; the benchmark counts these.
      expect(refusals.filter((text) => text.includes('has crashed endpoints'))).toEqual([]);
      expect(last).toBe('503 may-have-run');
    } finally {
      await fleet.close();
    }
  });
});
