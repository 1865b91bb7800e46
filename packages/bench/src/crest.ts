import { isAnswered } from '@dotterelpass/load';
import type { Outcome, PlanInput } from '@dotterelpass/load';
import { deployments } from './deployment.js';
import { runTrial, toDelays } from './trial.js';
import type { Figure, Scenario } from './scenario.js';

const { quispe } = deployments;
const service = 'status';
const slots = 16 * 3;
/** Long enough that 5x capacity with re-sends does not fill the machine. */
const workMs = 300;
const capacity = (slots * 1000) / workMs;
const deadlineMs = 2000;
const crests = [2, 5];
const calmMs = 2000;
const riseMs = 1000;
const highMs = 4000;
const recoveryMs = 1000;
const afterMs = 4000;

/** Measures goodput while demand rises far above capacity, with callers that send again. */
export const crestScenario: Scenario = {
  name: 'crest',
  describe: 'goodput and recovery when demand rises to 2x and 5x capacity within a second',
  async run({ seed, runs, tell }) {
    const figures: Figure[] = [];
    for (const crest of crests) {
      const results: ReturnType<typeof measure>[] = [];
      for (let run = 0; run < runs; run++) {
        const result = measure(await runCrest(seed + run, crest));
        results.push(result);
        tell(`${crest}x, run ${run + 1}: ${JSON.stringify(result)}`);
      }
      const list = (key: keyof (typeof results)[number]) => results.map((result) => result[key]);
      figures.push(
        {
          name: `goodput at ${crest}x / capacity`,
          unit: 'x',
          values: list('goodput'),
          target: { atLeast: 0.95 },
        },
        {
          name: `admitted calls within their deadline at ${crest}x`,
          unit: 'share',
          values: list('inTime'),
          target: { atLeast: 1 },
        },
        {
          name: `answered at once 1 s after ${crest}x`,
          unit: 'share',
          values: list('recovered'),
          target: { atLeast: 0.99 },
        },
      );
    }
    return figures;
  },
};

async function runCrest(seed: number, crest: number): Promise<readonly Outcome[]> {
  const calm = capacity / 2;
  const high = crest * capacity;
  const plan: Omit<PlanInput, 'targets'> = {
    seed,
    phases: [
      { ms: calmMs, callsPerSecond: calm },
      { ms: riseMs, callsPerSecond: calm, toCallsPerSecond: high },
      { ms: highMs, callsPerSecond: high },
      { ms: riseMs, callsPerSecond: high, toCallsPerSecond: calm },
      { ms: recoveryMs + afterMs, callsPerSecond: calm },
    ],
    mix: [{ name: service, path: `/${service}/1`, workMs, resends: 2, resendAfterMs: 200 }],
  };
  return runTrial(
    {
      deployment: quispe,
      services: [service],
      delays: true,
      rule: { deadlineMs },
      entryFlags: { domainDelays: toDelays(quispe) },
    },
    plan,
  );
}

function measure(outcomes: readonly Outcome[]) {
  const fromMs = calmMs + riseMs;
  const toMs = fromMs + highMs;
  const answered = outcomes.filter(isAnswered);
  const good = answered.filter(({ atMs, latencyMs }) => {
    const endMs = atMs + latencyMs;
    return latencyMs <= deadlineMs && endMs >= fromMs && endMs < toMs;
  });
  // What was neither refused unrun nor answered in time had been admitted in vain.
  const admitted = outcomes.filter(
    ({ verdict, status }) => status === 200 || verdict !== 'not-run',
  );
  const inTime = admitted.filter((each) => isAnswered(each) && each.latencyMs <= deadlineMs);
  const after = outcomes.filter(
    ({ atMs, sending }) => sending === 0 && atMs >= toMs + riseMs + recoveryMs,
  );
  const prompt = after.filter((each) => isAnswered(each) && each.latencyMs <= deadlineMs / 2);
  return {
    goodput: (good.length * 1000) / highMs / capacity,
    inTime: inTime.length / admitted.length,
    recovered: prompt.length / after.length,
  };
}
