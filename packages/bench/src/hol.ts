import { isAnswered, measureLatency } from '@dotterelpass/load';
import type { PlanInput } from '@dotterelpass/load';
import { deployments } from './deployment.js';
import { runTrial, formatDomainDelays } from './trial.js';
import type { Scenario } from './scenario.js';

const { quispe } = deployments;
const service = 'status';
const slots = 16 * 3;
const longShare = 0.05;
const longFactor = 50;
const load = 0.7;
/** Short calls take 50 ms, so that the benchmark itself does not saturate the machine. */
const timings = { shortMs: 50, runMs: 15_000 };

/** Compares short calls alone with short calls beside long ones at the same load (head-of-line). */
export const headOfLineScenario: Scenario = {
  name: 'hol',
  description: 'p99 of short calls when 5% of calls run 50 times longer, at 70% load',
  async run({ seed, runs, reportProgress }) {
    const alone: number[] = [];
    const beside: number[] = [];
    for (let run = 0; run < runs; run++) {
      alone.push(await measureShortCalls(seed + run, 0));
      beside.push(await measureShortCalls(seed + run, longShare));
      reportProgress(
        `run ${run + 1}: p99 alone ${alone.at(-1)} ms, beside long calls ${beside.at(-1)} ms`,
      );
    }
    const ratios = beside.map((p99, run) => p99 / (alone[run] ?? 1));
    return [
      { name: 'p99 of short calls alone', unit: 'ms', values: alone },
      { name: 'p99 of short calls beside long ones', unit: 'ms', values: beside },
      { name: 'ratio', unit: 'x', values: ratios, target: { atMost: 1.5 } },
    ];
  },
};

async function measureShortCalls(seed: number, share: number): Promise<number> {
  const meanMs = timings.shortMs * (1 - share + share * longFactor);
  const plan: Omit<PlanInput, 'targets'> = {
    seed,
    phases: [{ ms: timings.runMs, callsPerSecond: (load * slots * 1000) / meanMs }],
    mix: [
      {
        name: service,
        path: `/${service}/1`,
        workMs: timings.shortMs,
        longShare: share,
        longFactor,
      },
    ],
  };
  const outcomes = await runTrial(
    {
      deployment: quispe,
      services: [service],
      delays: true,
      entryFlags: { domainDelays: formatDomainDelays(quispe) },
    },
    plan,
  );
  const short = outcomes.filter((outcome) => isAnswered(outcome) && !outcome.long);
  return measureLatency(short.map(({ latencyMs }) => latencyMs)).p99;
}
