import { measureLatency } from '@dotterelpass/load';
import type { PlanInput } from '@dotterelpass/load';
import { makeRandom, pickOne } from '@dotterelpass/values';
import { deployments } from './deployment.js';
import type { EndpointProcess, Fleet } from './fleet.js';
import { listLatencies, pauseEndpoint, runTrial, formatDomainDelays } from './trial.js';
import type { FaultStep } from './trial.js';
import type { Figure, Scenario } from './scenario.js';

const baselines = ['random', 'round-robin', 'least-in-flight', 'power-of-two'] as const;
const runMs = 8000;
/** Long enough that the benchmark itself does not saturate the machine. */
const workMs = 60;
const service = 'stock';
const endpointCount = 12;
const slots = endpointCount * 3;
/** 70% of the capacity of the slots. */
const callsPerSecond = (0.7 * slots * 1000) / workMs;
const slowdown = 3;
const noiseIntervalMs = 1000;
const { sateh } = deployments;
const domainDelays = formatDomainDelays(sateh);

/** Compares policies under slow endpoints, pauses, noisy neighbours and stragglers. */
export const tailScenario: Scenario = {
  name: 'tail',
  description: 'p99 with slow endpoints, pauses and stragglers, against baselines and an oracle',
  async run({ seed, runs, reportProgress }) {
    const names = ['credits', ...baselines, 'oracle'];
    const results = new Map<string, number[]>(names.map((name) => [name, []]));
    for (let run = 0; run < runs; run++) {
      for (const name of names) {
        const latency = await measurePolicy(name, seed + run);
        results.get(name)?.push(latency.p99);
        reportProgress(
          `run ${run + 1}: ${name} p50 ${latency.p50} ms, p99 ${latency.p99} ms, max ${latency.max} ms`,
        );
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
      // A single instance handles every call and therefore knows the exact state of every slot.
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

/**
 * Makes one endpoint slow for the whole run, slows down a random other endpoint for each second as a
 * noisy neighbour would, and pauses random endpoints for 20 to 200 ms every 300 ms.
 */
function makeFaults(seed: number): FaultStep[] {
  const random = makeRandom(seed);
  const getEndpoint = (fleet: Fleet, index: number) => fleet.endpoints[index] as EndpointProcess;
  const steps: FaultStep[] = [
    { atMs: 0, inject: (fleet) => fleet.setEndpointFaults(getEndpoint(fleet, 0), { slowdown }) },
  ];
  for (let atMs = 0; atMs < runMs; atMs += noiseIntervalMs) {
    const index = 1 + Math.floor(random.next() * (endpointCount - 1));
    const slowDown = (factor: number) => (fleet: Fleet) =>
      fleet.setEndpointFaults(getEndpoint(fleet, index), { slowdown: factor });
    steps.push(
      { atMs, inject: slowDown(2) },
      { atMs: atMs + noiseIntervalMs - 50, inject: slowDown(1) },
    );
  }
  for (let atMs = 200; atMs < runMs - 500; atMs += 300) {
    const index = pickOne(random, [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]);
    const ms = 20 + random.next() * 180;
    steps.push({ atMs, inject: (fleet) => pauseEndpoint(getEndpoint(fleet, index), ms) });
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
