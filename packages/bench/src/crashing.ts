import { outcomeHeader } from '@dotterelpass/values';
import { call, sleep } from './cluster.js';
import { deployments } from './deployment.js';
import { Fleet } from './fleet.js';
import type { Figure, Scenario } from './scenario.js';

export interface CrashReport {
  /** Endpoints that have crashed. */
  readonly lost: number;
  /** Other requests that were sent. */
  readonly sent: number;
  /** Those that were answered when first sent; the budget for retries may not allow for all. */
  readonly atOnce: number;
  /** What those were told that were never answered, though they were sent again. */
  readonly refusals: readonly string[];
  /** Answers to the last sending of the request that crashes endpoints. */
  readonly last: string;
}

const sendings = 6;
const pauseMs = 150;
const innocentTries = 3;
const warmCalls = 300;
const service = 'status';

/**
 * Sends a request that crashes each endpoint that runs it, again and again to any entry
 * instance, among requests that do not.
 *
 * @param fleet - Fleet with the service `status`.
 * @param innocents - Requests that are in flight at each sending.
 */
export async function runCrashing(fleet: Fleet, innocents: number): Promise<CrashReport> {
  const ports = fleet.entries.map(({ callerPort }) => callerPort);
  const pick = (index: number) => ports[index % ports.length] as number;
  const others: Promise<readonly string[]>[] = [];
  let last = '';
  // Retries are a share of recent calls, so a fleet without traffic would allow none.
  for (let index = 0; index < warmCalls; index++) await call(pick(index), `/${service}/warm?ms=0`);
  for (let sending = 0; sending < sendings; sending++) {
    for (let index = 0; index < innocents; index++) {
      // Each path is of one caller, so that a ban of it would show as a missing answer.
      const path = `/${service}/${sending}-${index}?ms=50`;
      others.push(sendInnocent(pick(index), path));
    }
    const options = { method: 'GET', timeoutMs: 5000 };
    const reply = await call(pick(sending), `/${service}/poison?crash`, options).catch(
      () => undefined,
    );
    last = `${reply?.status ?? 0} ${String(reply?.headers[outcomeHeader] ?? '')}`;
    await sleep(pauseMs);
  }
  const answers = await Promise.all(others);
  const isLost = ({ running }: { running: { process: { exitCode: number | null } } }) =>
    running.process.exitCode !== null;
  return {
    lost: fleet.findEndpoints(service).filter(isLost).length,
    sent: answers.length,
    atOnce: answers.filter((refusals) => refusals.length === 0).length,
    refusals: answers.filter(({ length }) => length === innocentTries).flat(),
    last,
  };
}

/** @returns What the caller was told before the answer. */
async function sendInnocent(port: number, path: string): Promise<readonly string[]> {
  const refusals: string[] = [];
  while (refusals.length < innocentTries) {
    const reply = await call(port, path).catch(String);
    if (typeof reply === 'string') refusals.push(reply);
    else if (reply.status === 200) return refusals;
    else refusals.push(`${reply.status} ${reply.body.toString()}`);
    const retryAfter = typeof reply === 'string' ? undefined : reply.headers['retry-after'];
    await sleep(retryAfter === undefined ? pauseMs : Number(retryAfter) * 1000);
  }
  return refusals;
}

/** Counts endpoints that one request can crash, and the other requests that are answered. */
export const crashingScenario: Scenario = {
  name: 'crashing',
  describe: 'endpoints lost to a request that crashes each endpoint that runs it',
  async run(options) {
    const lost: number[] = [];
    const answered: number[] = [];
    const atOnce: number[] = [];
    for (let run = 0; run < options.runs; run++) {
      const report = await runOne();
      lost.push(report.lost);
      answered.push(1 - report.refusals.length / innocentTries / report.sent);
      atOnce.push(report.atOnce / report.sent);
      options.tell(`run ${run + 1}: ${JSON.stringify(report)}`);
    }
    const figures: Figure[] = [
      { name: 'endpoints lost', unit: '', values: lost, target: { atMost: 2 } },
      { name: 'other requests answered', unit: 'share', values: answered, target: { atLeast: 1 } },
      { name: 'of these when first sent', unit: 'share', values: atOnce },
    ];
    return figures;
  },
};

async function runOne(): Promise<CrashReport> {
  const fleet = await Fleet.open({ deployment: deployments.quispe, services: [service] });
  try {
    return await runCrashing(fleet, 20);
  } finally {
    await fleet.close();
  }
}
