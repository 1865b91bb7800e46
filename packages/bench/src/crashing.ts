import { outcomeHeader } from '@dotterelpass/values';
import { call, sleep } from './cluster.js';
import { deployments } from './deployment.js';
import { Fleet } from './fleet.js';
import type { Figure, Scenario } from './scenario.js';

export interface CrashReport {
  /** Endpoints that have crashed. */
  readonly lost: number;
  /** Other requests that were answered, out of those sent. */
  readonly answered: number;
  readonly sent: number;
  /** What the others were told. */
  readonly refusals: readonly string[];
  /** Answers to the last sending of the request that crashes endpoints. */
  readonly last: string;
}

const sendings = 6;
const pauseMs = 150;
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
  const others: Promise<string>[] = [];
  let last = '';
  for (let sending = 0; sending < sendings; sending++) {
    for (let index = 0; index < innocents; index++) {
      // Each path is sent once, so that a ban of it would show as a lost answer.
      const path = `/${service}/${sending}-${index}?ms=50`;
      others.push(
        call(pick(index), path).then(
          ({ status, body }) => (status === 200 ? '' : `${status} ${body.toString()}`),
          String,
        ),
      );
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
    answered: answers.filter((text) => text === '').length,
    sent: answers.length,
    refusals: answers.filter((text) => text !== ''),
    last,
  };
}

/** Counts endpoints that one request can crash, and the other requests that are answered. */
export const crashingScenario: Scenario = {
  name: 'crashing',
  describe: 'endpoints lost to a request that crashes each endpoint that runs it',
  async run(options) {
    const lost: number[] = [];
    const answered: number[] = [];
    for (let run = 0; run < options.runs; run++) {
      const report = await runOne();
      lost.push(report.lost);
      answered.push(report.answered / report.sent);
      options.tell(`run ${run + 1}: ${JSON.stringify(report)}`);
    }
    const figures: Figure[] = [
      { name: 'endpoints lost', unit: '', values: lost, target: { atMost: 2 } },
      { name: 'other requests answered', unit: 'share', values: answered, target: { atLeast: 1 } },
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
