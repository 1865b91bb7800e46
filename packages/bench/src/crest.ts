import { isAnswered } from '@dotterelpass/load';
import type { Outcome, PlanInput } from '@dotterelpass/load';
import { deployments } from './deployment.js';
import { runTrial, formatDomainDelays } from './trial.js';
import type { Figure, Scenario } from './scenario.js';

const { quispe } = deployments;
const service = 'status';
const slots = 16 * 3;
/** Long enough that 5x capacity with retries does not saturate the machine. */
const workMs = 300;
const capacity = (slots * 1000) / workMs;
const deadlineMs = 2000;
const overloadFactors = [2, 5];
const baseMs = 2000;
const riseMs = 1000;
const peakMs = 4000;
const recoveryMs = 1000;
const afterMs = 4000;

/** Measures goodput while demand rises far above capacity and callers retry. */
export const crestScenario: Scenario = {
  name: 'crest',
  description: 'goodput and recovery when demand rises to 2x and 5x capacity within a second',
  async run({ seed, runs, reportProgress }) {
    const figures: Figure[] = [];
    for (const factor of overloadFactors) {
      const results: ReturnType<typeof summarize>[] = [];
      for (let run = 0; run < runs; run++) {
        const result = summarize(await sendOverload(seed + run, factor));
        results.push(result);
        reportProgress(`${factor}x, run ${run + 1}: ${JSON.stringify(result)}`);
      }
      const list = (key: keyof (typeof results)[number]) => results.map((result) => result[key]);
      figures.push(
        {
          name: `goodput at ${factor}x / capacity`,
          unit: 'x',
          values: list('goodput'),
          target: { atLeast: 0.95 },
        },
        {
          name: `admitted calls within their deadline at ${factor}x`,
          unit: 'share',
          values: list('inTime'),
          target: { atLeast: 1 },
        },
        {
          name: `answered at once 1 s after ${factor}x`,
          unit: 'share',
          values: list('recovered'),
          target: { atLeast: 0.99 },
        },
      );
    }
    return figures;
  },
};

async function sendOverload(seed: number, factor: number): Promise<readonly Outcome[]> {
  const baseRate = capacity / 2;
  const peakRate = factor * capacity;
  const plan: Omit<PlanInput, 'targets'> = {
    seed,
    phases: [
      { ms: baseMs, callsPerSecond: baseRate },
      { ms: riseMs, callsPerSecond: baseRate, toCallsPerSecond: peakRate },
      { ms: peakMs, callsPerSecond: peakRate },
      { ms: riseMs, callsPerSecond: peakRate, toCallsPerSecond: baseRate },
      { ms: recoveryMs + afterMs, callsPerSecond: baseRate },
    ],
    mix: [{ name: service, path: `/${service}/1`, workMs, resends: 2, resendAfterMs: 200 }],
  };
  return runTrial(
    {
      deployment: quispe,
      services: [service],
      delays: true,
      rule: { deadlineMs },
      entryFlags: { domainDelays: formatDomainDelays(quispe) },
    },
    plan,
  );
}

function summarize(outcomes: readonly Outcome[]) {
  const fromMs = baseMs + riseMs;
  const toMs = fromMs + peakMs;
  const answered = outcomes.filter(isAnswered);
  const good = answered.filter(({ atMs, latencyMs }) => {
    const endMs = atMs + latencyMs;
    return latencyMs <= deadlineMs && endMs >= fromMs && endMs < toMs;
  });
  // Every call that was not refused as `not-run` was admitted and should be answered in time.
  const admitted = outcomes.filter(
    ({ verdict, status }) => status === 200 || verdict !== 'not-run',
  );
  const inTime = admitted.filter((each) => isAnswered(each) && each.latencyMs <= deadlineMs);
  const after = outcomes.filter(
    ({ atMs, attempt: sending }) => sending === 0 && atMs >= toMs + riseMs + recoveryMs,
  );
  const promptlyAnswered = after.filter(
    (each) => isAnswered(each) && each.latencyMs <= deadlineMs / 2,
  );
  return {
    goodput: (good.length * 1000) / peakMs / capacity,
    inTime: inTime.length / admitted.length,
    recovered: promptlyAnswered.length / after.length,
  };
}
