import { outcomeHeader } from '@dotterelpass/values';
import { call, sleep } from './cluster.js';
import { deployments } from './deployment.js';
import { Fleet } from './fleet.js';
import type { Figure, Scenario } from './scenario.js';

export interface CrashReport {
  /** Number of endpoints that crashed. */
  readonly lost: number;
  /** Number of harmless requests that were sent. */
  readonly sent: number;
  /**
   * Harmless requests that succeeded at the first attempt. The retry budget may be too small for
   * all of them.
   */
  readonly atOnce: number;
  /** Errors of the harmless requests that failed at every attempt. */
  readonly refusals: readonly string[];
  /** Status and outcome of the last attempt of the crashing request; status 0 without a response. */
  readonly last: string;
}

const crashAttempts = 6;
const pauseMs = 150;
const harmlessAttempts = 3;
const warmUpCalls = 300;
const service = 'status';

/**
 * Repeatedly sends a request that crashes every endpoint that runs it, to one entry instance after
 * the other, while harmless requests are in flight.
 *
 * @param fleet - Fleet with the service `status`.
 * @param harmlessCount - Number of harmless requests that start with each attempt.
 * @returns Endpoints that crashed and results of the requests.
 */
export async function sendCrashingRequest(
  fleet: Fleet,
  harmlessCount: number,
): Promise<CrashReport> {
  const ports = fleet.entries.map(({ callerPort }) => callerPort);
  const pickPort = (index: number) => ports[index % ports.length] as number;
  const harmlessResults: Promise<readonly string[]>[] = [];
  let lastAnswer = '';
  // The retry budget is a share of recent calls, so a fleet without traffic allows no retry.
  for (let index = 0; index < warmUpCalls; index++)
    await call(pickPort(index), `/${service}/warm?ms=0`);
  for (let attempt = 0; attempt < crashAttempts; attempt++) {
    for (let index = 0; index < harmlessCount; index++) {
      // Every request has its own path, so that a ban of one of them shows as a failed request.
      const path = `/${service}/${attempt}-${index}?ms=50`;
      harmlessResults.push(sendHarmlessRequest(pickPort(index), path));
    }
    const options = { method: 'GET', timeoutMs: 5000 };
    const reply = await call(pickPort(attempt), `/${service}/poison?crash`, options).catch(
      () => undefined,
    );
    lastAnswer = `${reply?.status ?? 0} ${String(reply?.headers[outcomeHeader] ?? '')}`;
    await sleep(pauseMs);
  }
  const results = await Promise.all(harmlessResults);
  const hasExited = ({ program }: { program: { process: { exitCode: number | null } } }) =>
    program.process.exitCode !== null;
  return {
    lost: fleet.findEndpoints(service).filter(hasExited).length,
    sent: results.length,
    atOnce: results.filter((refusals) => refusals.length === 0).length,
    refusals: results.filter(({ length }) => length === harmlessAttempts).flat(),
    last: lastAnswer,
  };
}

/** @returns Errors of the attempts before the first success. */
async function sendHarmlessRequest(port: number, path: string): Promise<readonly string[]> {
  const refusals: string[] = [];
  while (refusals.length < harmlessAttempts) {
    const reply = await call(port, path).catch(String);
    if (typeof reply === 'string') refusals.push(reply);
    else if (reply.status === 200) return refusals;
    else refusals.push(`${reply.status} ${reply.body.toString()}`);
    const retryAfter = typeof reply === 'string' ? undefined : reply.headers['retry-after'];
    await sleep(retryAfter === undefined ? pauseMs : Number(retryAfter) * 1000);
  }
  return refusals;
}

/** Counts the endpoints that one request crashes and the harmless requests that succeed. */
export const crashingScenario: Scenario = {
  name: 'crashing',
  description: 'endpoints lost to a request that crashes every endpoint that runs it',
  async run(options) {
    const lost: number[] = [];
    const answered: number[] = [];
    const atOnce: number[] = [];
    for (let run = 0; run < options.runs; run++) {
      const report = await crashNewFleet();
      lost.push(report.lost);
      answered.push(1 - report.refusals.length / harmlessAttempts / report.sent);
      atOnce.push(report.atOnce / report.sent);
      options.reportProgress(`run ${run + 1}: ${JSON.stringify(report)}`);
    }
    const figures: Figure[] = [
      { name: 'endpoints lost', unit: '', values: lost, target: { atMost: 2 } },
      { name: 'other requests answered', unit: 'share', values: answered, target: { atLeast: 1 } },
      { name: 'of these when first sent', unit: 'share', values: atOnce },
    ];
    return figures;
  },
};

async function crashNewFleet(): Promise<CrashReport> {
  const fleet = await Fleet.open({ deployment: deployments.quispe, services: [service] });
  try {
    return await sendCrashingRequest(fleet, 20);
  } finally {
    await fleet.close();
  }
}
