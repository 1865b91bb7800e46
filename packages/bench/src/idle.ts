import { sleep } from './cluster.js';
import { deployments } from './deployment.js';
import { Fleet } from './fleet.js';
import { readCpuSeconds } from './path.js';
import type { Scenario } from './scenario.js';

/** Time for entry instances to discover each other, in milliseconds. */
const warmUpMs = 3000;
const runMs = 10_000;

/** Measures the processor time of entry instances that serve no calls. */
export const idleScenario: Scenario = {
  name: 'idle',
  description: 'processor time of five entry instances without calls',
  async run({ runs }) {
    const fleet = await Fleet.open({ deployment: deployments.quispe });
    try {
      const pids = fleet.entries.map(({ program }) => program.process.pid as number);
      const shares: number[] = [];
      await sleep(warmUpMs);
      for (let run = 0; run < runs; run++) {
        const before = await Promise.all(pids.map(readCpuSeconds));
        await sleep(runMs);
        const after = await Promise.all(pids.map(readCpuSeconds));
        after.forEach((seconds, index) => {
          shares.push((100_000 * (seconds - (before[index] as number))) / runMs);
        });
      }
      const target = { atMost: 3.9 };
      return [{ name: 'share of a core', unit: '%', values: shares, target }];
    } finally {
      await fleet.close();
    }
  },
};
