import { deployments } from './deployment.js';
import { call, sleep } from './cluster.js';
import { Fleet } from './fleet.js';
import type { FleetOptions } from './fleet.js';
import type { Figure, Scenario } from './scenario.js';

const { quispe } = deployments;
const service = 'claims';
const probesPerSecond = 1;
const runMs = 20_000;
const restartAtMs = 10_000;

/** One fleet whose probes are counted. */
interface FleetCase {
  readonly name: string;
  readonly options: Partial<FleetOptions>;
  disturb?(fleet: Fleet): Promise<void>;
}

const cases: readonly FleetCase[] = [
  { name: '1 instance', options: { entries: 1 } },
  { name: '5 instances', options: { entries: 5 } },
  { name: '40 instances', options: { entries: 40 } },
  {
    name: '5 instances, restarts',
    options: { entries: 5 },
    async disturb(fleet) {
      await sleep(restartAtMs);
      for (const index of fleet.entries.keys()) await fleet.restartEntry(index);
    },
  },
  { name: '5 instances without links', options: { entries: 5, entryFlags: { peers: '' } } },
];

/** Measures the rate of probes that idle endpoints receive. */
export const probeRateScenario: Scenario = {
  name: 'measure',
  description: 'probes per second on each endpoint, summed over all entry instances',
  async run({ reportProgress }) {
    const figures: Figure[] = [];
    for (const each of cases) {
      const rates = await measureProbeRates(each);
      reportProgress(`${each.name}: ${rates.map((rate) => rate.toFixed(2)).join(' ')} probes/s`);
      figures.push({
        name: `highest probe rate, ${each.name}`,
        unit: '1/s',
        values: [Math.max(...rates)],
        target: { atMost: probesPerSecond },
      });
    }
    return figures;
  },
};

/** @returns Probes per second on each endpoint. */
async function measureProbeRates({ options, disturb }: FleetCase): Promise<number[]> {
  const startedAt = performance.now();
  const fleet = await Fleet.open({ deployment: quispe, services: [service], ...options });
  try {
    await Promise.all([sleep(runMs), disturb?.(fleet)]);
    const seconds = (performance.now() - startedAt) / 1000;
    return await Promise.all(
      fleet.findEndpoints(service).map(async ({ port }) => {
        const reply = await call(port, '/standin/counts');
        return (JSON.parse(reply.body.toString()) as { probes: number }).probes / seconds;
      }),
    );
  } finally {
    await fleet.close();
  }
}
