import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { deployments } from '../src/deployment.js';
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
