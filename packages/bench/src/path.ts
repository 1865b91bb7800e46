import { readFile } from 'node:fs/promises';
import { Runner, measureLatency, planSchema } from '@dotterelpass/load';
import type { PlanInput } from '@dotterelpass/load';
import { deployments } from './deployment.js';
import { Fleet } from './fleet.js';
import type { Figure, Scenario, ScenarioOptions } from './scenario.js';

const callsPerSecond = 1000;
const runMs = 10_000;
const warmUpMs = 3000;
const answerBytes = 1024;

/** Rates of the saturation measurement in ascending order, in calls per second. */
const saturationRates = [3000, 4000, 5000, 6000, 7000, 8000, 10_000, 12_000];
const saturationMs = 3000;

/** Measures the latency that one entry instance adds, compared with direct calls in the same run. */
export const pathScenario: Scenario = {
  name: 'path',
  description: 'latency added by one entry instance at 1,000 calls/s, and calls/s per core',
  async run(options) {
    const fleet = await Fleet.open({
      deployment: deployments.quispe,
      entries: 1,
      services: ['status'],
      endpointFlags: { workMs: 0 },
    });
    try {
      return [...(await measureAdded(fleet, options)), await measureSaturation(fleet, options)];
    } finally {
      await fleet.close();
    }
  },
};

async function measureAdded(fleet: Fleet, options: ScenarioOptions): Promise<Figure[]> {
  const directTargets = fleet.endpoints.map(({ address }) => address);
  await sendCalls(fleet.targets, options.seed, callsPerSecond, warmUpMs);
  await sendCalls(directTargets, options.seed, callsPerSecond, warmUpMs);
  const added: { p50: number[]; p99: number[] } = { p50: [], p99: [] };
  const proxiedP99: number[] = [];
  for (let run = 0; run < options.runs; run++) {
    const seed = options.seed + run;
    const direct = measureLatency(await sendCalls(directTargets, seed, callsPerSecond, runMs));
    const proxied = measureLatency(await sendCalls(fleet.targets, seed, callsPerSecond, runMs));
    added.p50.push(proxied.p50 - direct.p50);
    added.p99.push(proxied.p99 - direct.p99);
    proxiedP99.push(proxied.p99);
    options.reportProgress(
      `run ${run + 1}: direct p99 ${direct.p99} ms, through ${proxied.p99} ms`,
    );
  }
  return [
    { name: 'added at p50', unit: 'ms', values: added.p50 },
    { name: 'added at p99', unit: 'ms', values: added.p99, target: { atMost: 0.57 } },
    { name: 'p99 through one entry instance', unit: 'ms', values: proxiedP99 },
  ];
}

/** Raises the rate until more than a tenth of the calls fail or the median exceeds 20 ms. */
async function measureSaturation(fleet: Fleet, options: ScenarioOptions): Promise<Figure> {
  const [entry] = fleet.entries;
  const pid = entry?.program.process.pid as number;
  let best = 0;
  for (const rate of saturationRates) {
    const before = await readCpuSeconds(pid);
    const latencies = await sendCalls(fleet.targets, options.seed, rate, saturationMs);
    const cpuSeconds = (await readCpuSeconds(pid)) - before;
    const perCore = latencies.length / Math.max(cpuSeconds, 0.001);
    const { p50 } = measureLatency(latencies);
    const share = latencies.length / ((rate * saturationMs) / 1000);
    options.reportProgress(
      `${rate} calls/s: ${Math.round(share * 100)}% answered, p50 ${p50} ms, ` +
        `${Math.round(perCore)} calls per core-second`,
    );
    if (share < 0.9 || p50 > 20) break;
    best = Math.max(best, perCore);
  }
  return { name: 'calls per core', unit: '1/s', values: [best], target: { atLeast: 5000 } };
}

/** @returns Latencies of the successful calls, in milliseconds. */
async function sendCalls(
  targets: readonly string[],
  seed: number,
  rate: number,
  ms: number,
): Promise<number[]> {
  const plan: PlanInput = {
    seed,
    targets: [...targets],
    phases: [{ ms, callsPerSecond: rate }],
    mix: [{ name: 'status', path: '/status/1', workMs: 0, answerBytes }],
  };
  const outcomes = await new Runner(planSchema.parse(plan)).run();
  return outcomes.filter(({ status }) => status === 200).map(({ latencyMs }) => latencyMs);
}

/** @returns User and system time that a process has used, in seconds. */
export async function readCpuSeconds(pid: number): Promise<number> {
  const text = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticksPerSecond = 100;
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}
