import { Runner, isAnswered, planSchema } from '@dotterelpass/load';
import type { Outcome, PlanInput } from '@dotterelpass/load';
import { sleep } from './cluster.js';
import type { Deployment } from './deployment.js';
import { Fleet } from './fleet.js';
import type { EndpointProcess, FleetOptions } from './fleet.js';

/** A change of an endpoint while calls run. */
export interface FaultStep {
  readonly atMs: number;
  act(fleet: Fleet): Promise<void> | void;
}

/** Time for entry instances to meet each other and to learn averages, in milliseconds. */
const warmMs = 1500;

/**
 * Starts a fleet, sends the calls of a plan while faults happen, and ends the fleet.
 *
 * @param options - The fleet.
 * @param plan - The calls; targets are the entry instances of the fleet.
 * @param faults - What happens meanwhile.
 * @returns How each call ended, without those of the warm-up.
 */
export async function runTrial(
  options: FleetOptions,
  plan: Omit<PlanInput, 'targets'>,
  faults: readonly FaultStep[] = [],
): Promise<readonly Outcome[]> {
  const fleet = await Fleet.open(options);
  try {
    const [first] = plan.phases;
    const warm = { ms: warmMs, callsPerSecond: (first?.callsPerSecond ?? 0) / 2 };
    await sendCalls(fleet, { ...plan, phases: [warm] });
    const ending = Promise.all(
      faults.map(async ({ atMs, act }) => {
        await sleep(atMs);
        await act(fleet);
      }),
    );
    const outcomes = await sendCalls(fleet, plan);
    await ending;
    return outcomes;
  } finally {
    await fleet.close();
  }
}

/** Sends the calls of a plan to the entry instances of a fleet. */
export async function sendCalls(
  fleet: Fleet,
  plan: Omit<PlanInput, 'targets'>,
): Promise<readonly Outcome[]> {
  return new Runner(planSchema.parse({ ...plan, targets: fleet.targets })).run();
}

/** Value of the setting `domainDelays` for a deployment. */
export function toDelays({ failureDomains, betweenDomainsMs }: Deployment): string {
  return failureDomains.map((domain) => `${domain}=${betweenDomainsMs}`).join(',');
}

/** Latencies of answered calls, in milliseconds. */
export function listLatencies(outcomes: readonly Outcome[]): number[] {
  return outcomes.filter(isAnswered).map(({ latencyMs }) => latencyMs);
}

/** Stops an endpoint's process for a time, as a paused machine would. */
export async function runPause(endpoint: EndpointProcess, ms: number): Promise<void> {
  endpoint.running.process.kill('SIGSTOP');
  await sleep(ms);
  endpoint.running.process.kill('SIGCONT');
}
