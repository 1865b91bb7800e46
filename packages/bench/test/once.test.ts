import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { deployments } from '../src/deployment.js';
import { runCrashing } from '../src/crashing.js';
import { Fleet } from '../src/fleet.js';
import { runHistory } from '../src/history.js';

const [, , fees] = deployments.quispe.services;

describe('once-only requests through real processes with faults', () => {
  let fleet: Fleet;

  beforeAll(async () => {
    const services = [{ ...fees, workers: 4 }];
    const deployment = { ...deployments.quispe, services };
    fleet = await Fleet.open({ deployment, entries: 3, rule: { deadlineMs: 3000 } });
  });

  afterAll(() => fleet.close());

  // Guards against a second run, and against a caller who may take a run for none, when
  // instances are killed and paused and the platform loses answers or fails.
  it('run at most once, and never run after or before a not-run', async () => {
    const tell = () => undefined;
    const plan = {
      seed: 1,
      ms: 10_000,
      callsPerSecond: 25,
      path: '/fees',
      faultEveryMs: 900,
      tell,
    };
    const { runs, sendings, doubleRuns, falseNotRuns } = await runHistory(fleet, plan);
    expect({ doubleRuns, falseNotRuns }).toEqual({ doubleRuns: [], falseNotRuns: [] });
    // A history without runs and repeats would show nothing.
    expect(runs).toBeGreaterThan(0);
    expect(sendings.some(({ replayed }) => replayed)).toBe(true);
  });
});

describe('a request that crashes each endpoint that runs it', () => {
  // Guards against the loss of a pool to one request, and against a ban of its neighbours.
  it('costs at most two endpoints and bans no other request', async () => {
    const services = [{ ...deployments.quispe.services[0], workers: 6 }];
    const fleet = await Fleet.open({ deployment: { ...deployments.quispe, services }, entries: 3 });
    try {
      const { lost, refusals, last } = await runCrashing(fleet, 8);
      expect(lost).toBeLessThanOrEqual(2);
      // A neighbour may find no room in the budget for retries; the bench counts these.
      expect(refusals.filter((text) => text.includes('has crashed endpoints'))).toEqual([]);
      expect(last).toBe('503 may-have-run');
    } finally {
      await fleet.close();
    }
  });
});
