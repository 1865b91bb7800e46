import { measureLatency } from '@dotterelpass/load';
import type { PlanInput } from '@dotterelpass/load';
import { makeRandom, pickOne } from '@dotterelpass/values';
import { deployments } from './deployment.js';
import type { EndpointProcess, Fleet } from './fleet.js';
import { listLatencies, runPause, runTrial, toDelays } from './trial.js';
import type { FaultStep } from './trial.js';
import type { Figure, Scenario } from './scenario.js';

const baselines = ['random', 'round-robin', 'least-in-flight', 'power-of-two'] as const;
const runMs = 8000;
/** Long enough that the processes of the bench do not fill the machine. */
const workMs = 60;
const service = 'stock';
const workers = 12;
const slots = workers * 3;
/** 70% of what the slots can do. */
const callsPerSecond = (0.7 * slots * 1000) / workMs;
const slowdown = 3;
const noisyMs = 1000;
const { sateh } = deployments;
const domainDelays = toDelays(sateh);

/** Compares policies under slow endpoints, pauses, noisy neighbours and stragglers. */
export const tailScenario: Scenario = {
  name: 'tail',
  describe: 'p99 with slow endpoints, pauses and stragglers, against baselines and an oracle',
  async run({ seed, runs, tell }) {
    const names = ['credits', ...baselines, 'oracle'];
    const results = new Map<string, number[]>(names.map((name) => [name, []]));
    for (let run = 0; run < runs; run++) {
      for (const name of names) {
        const p99 = await measurePolicy(name, seed + run);
        results.get(name)?.push(p99.p99);
        tell(`run ${run + 1}: ${name} p50 ${p99.p50} ms, p99 ${p99.p99} ms, max ${p99.max} ms`);
      }
    }
    return toFigures(results);
  },
};

async function measurePolicy(name: string, seed: number) {
  const isOracle = name === 'oracle';
  const outcomes = await runTrial(
    {
      deployment: sateh,
      services: [service],
      // One instance that sees every call knows the true state of every slot.
      entries: isOracle ? 1 : 5,
      entryFlags: { policy: isOracle ? 'credits' : name, domainDelays },
      delays: true,
    },
    makePlan(seed),
    makeFaults(seed),
  );
  return measureLatency(listLatencies(outcomes));
}

function makePlan(seed: number): Omit<PlanInput, 'targets'> {
  return {
    seed,
    phases: [{ ms: runMs, callsPerSecond }],
    mix: [
      {
        name: service,
        path: `/${service}/1`,
        workMs,
        spread: 'exponential',
        longShare: 0.002,
        longFactor: 5,
      },
    ],
  };
}

/** One endpoint is slow all the time, one at a time has a noisy neighbour, and some pause. */
function makeFaults(seed: number): FaultStep[] {
  const random = makeRandom(seed);
  const find = (fleet: Fleet, index: number) => fleet.endpoints[index] as EndpointProcess;
  const steps: FaultStep[] = [
    { atMs: 0, act: (fleet) => fleet.setEndpointFaults(find(fleet, 0), { slowdown }) },
  ];
  for (let atMs = 0; atMs < runMs; atMs += noisyMs) {
    const index = 1 + Math.floor(random.next() * (workers - 1));
    const act = (factor: number) => (fleet: Fleet) =>
      fleet.setEndpointFaults(find(fleet, index), { slowdown: factor });
    steps.push({ atMs, act: act(2) }, { atMs: atMs + noisyMs - 50, act: act(1) });
  }
  for (let atMs = 200; atMs < runMs - 500; atMs += 300) {
    const index = pickOne(random, [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]);
    const ms = 20 + random.next() * 180;
    steps.push({ atMs, act: (fleet) => runPause(find(fleet, index), ms) });
  }
  return steps;
}

function toFigures(results: ReadonlyMap<string, readonly number[]>): Figure[] {
  const find = (name: string) => results.get(name) ?? [];
  const credits = find('credits');
  const ratios = (name: string) => credits.map((p99, run) => p99 / (find(name)[run] ?? 1));
  return [
    ...[...results].map(([name, values]) => ({ name: `p99, ${name}`, unit: 'ms', values })),
    ...baselines.map((name) => ({
      name: `p99 against ${name}`,
      unit: 'x',
      values: ratios(name),
      target: { atMost: 1 },
    })),
    { name: 'p99 against oracle', unit: 'x', values: ratios('oracle'), target: { atMost: 1.3 } },
  ];
}
