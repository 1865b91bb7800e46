import { Runner, isAnswered, planSchema } from '@dotterelpass/load';
import type { Outcome, PlanInput } from '@dotterelpass/load';
import { sleep } from './cluster.js';
import type { Deployment } from './deployment.js';
import { Fleet } from './fleet.js';
import type { EndpointProcess, FleetOptions } from './fleet.js';

/** A fault that is injected while calls run. */
export interface FaultStep {
  readonly atMs: number;
  inject(fleet: Fleet): Promise<void> | void;
}

/** Time for entry instances to discover each other and to gather averages, in milliseconds. */
const warmUpMs = 1500;

/**
 * Starts a fleet, sends the calls of a plan while faults are injected, and stops the fleet.
 *
 * @param options - Sizes and settings of the fleet.
 * @param plan - Calls to send; their targets are the entry instances of the fleet.
 * @param faults - Faults to inject while the calls run.
 * @returns Outcomes of the calls, without those of the warm-up.
 */
export async function runTrial(
  options: FleetOptions,
  plan: Omit<PlanInput, 'targets'>,
  faults: readonly FaultStep[] = [],
): Promise<readonly Outcome[]> {
  const fleet = await Fleet.open(options);
  try {
    const [first] = plan.phases;
    const warmUp = { ms: warmUpMs, callsPerSecond: (first?.callsPerSecond ?? 0) / 2 };
    await sendCalls(fleet, { ...plan, phases: [warmUp] });
    const injections = Promise.all(
      faults.map(async ({ atMs, inject }) => {
        await sleep(atMs);
        await inject(fleet);
      }),
    );
    const outcomes = await sendCalls(fleet, plan);
    await injections;
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

/** @returns Value of the setting `domainDelays` for a deployment. */
export function formatDomainDelays({ failureDomains, betweenDomainsMs }: Deployment): string {
  return failureDomains.map((domain) => `${domain}=${betweenDomainsMs}`).join(',');
}

/** @returns Latencies of answered calls, in milliseconds. */
export function listLatencies(outcomes: readonly Outcome[]): number[] {
  return outcomes.filter(isAnswered).map(({ latencyMs }) => latencyMs);
}

/** Pauses an endpoint's process for a time, as a paused virtual machine would. */
export async function pauseEndpoint(endpoint: EndpointProcess, ms: number): Promise<void> {
  endpoint.program.process.kill('SIGSTOP');
  await sleep(ms);
  endpoint.program.process.kill('SIGCONT');
}
