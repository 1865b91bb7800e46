import { makeRandom, outcomeHeader } from '@dotterelpass/values';
import { call, sleep } from './cluster.js';
import { deployments } from './deployment.js';
import { Fleet } from './fleet.js';
import { runHistory } from './history.js';
import { findMedian } from './scenario.js';
import type { Figure, Scenario, ScenarioOptions } from './scenario.js';

const service = 'fees';
const path = `/${service}`;
const historyMs = 30_000;
const costCalls = 200;
const lossRate = 50;
const lossMs = 8000;
const killAfterMs = 1500;

type Kind = 'none' | 'ticket' | 'key';

/** Checks once-only calls under faults, and measures a lost instance and the cost of keys. */
export const onceScenario: Scenario = {
  name: 'once',
  describe: 'once-only calls under faults, after the loss of an instance, and their cost',
  async run(options) {
    return [
      ...(await measureHistories(options)),
      ...(await measureLosses(options)),
      ...(await measureCosts(options)),
    ];
  },
};

async function openFleet(): Promise<Fleet> {
  const options = { deployment: deployments.quispe, services: [service] };
  return Fleet.open({ ...options, rule: { deadlineMs: 3000 } });
}

async function measureHistories({ seed, runs, tell }: ScenarioOptions): Promise<Figure[]> {
  const doubles: number[] = [];
  const falses: number[] = [];
  for (let run = 0; run < runs; run++) {
    const fleet = await openFleet();
    try {
      const plan = { seed: seed + run, ms: historyMs, callsPerSecond: 40, path, faultEveryMs: 900 };
      const report = await runHistory(fleet, { ...plan, tell: () => undefined });
      const { keys, sendings, doubleRuns, falseNotRuns } = report;
      doubles.push(doubleRuns.length);
      falses.push(falseNotRuns.length);
      tell(`seed ${seed + run}: ${keys} keys, ${sendings.length} sendings, ${report.runs} runs`);
      if (doubleRuns.length > 0) tell(`run twice: ${doubleRuns.join(' ')}`);
      if (falseNotRuns.length > 0) tell(`false not-run: ${JSON.stringify(falseNotRuns)}`);
    } finally {
      await fleet.close();
    }
  }
  return [
    { name: 'keys that ran twice', unit: '', values: doubles, target: { atMost: 0 } },
    { name: 'false not-run answers', unit: '', values: falses, target: { atMost: 0 } },
  ];
}

/** One fresh request, with a new key or ticket, to an instance that stays. */
async function sendFresh(port: number, kind: Kind, name: string): Promise<boolean> {
  let key = name;
  if (kind === 'ticket') {
    const reply = await call(port, '/.well-known/dotterelpass/ticket');
    key = (JSON.parse(reply.body.toString()) as { ticket: string }).ticket;
  }
  const headers = kind === 'none' ? undefined : { 'idempotency-key': key };
  const options = { method: 'POST', body: name, ...(headers ? { headers } : {}) };
  const reply = await call(port, `${path}?ms=0`, options).catch(() => undefined);
  return reply?.status === 200 && reply.headers[outcomeHeader] === undefined;
}

interface Fresh {
  readonly sentAt: number;
  readonly served: boolean;
  readonly ms: number;
}

async function measureFresh(
  port: number,
  kind: Kind,
  name: string,
  sentAt: number,
): Promise<Fresh> {
  const served = await sendFresh(port, kind, name);
  return { sentAt, served, ms: performance.now() - sentAt };
}

/**
 * Kills an instance while fresh requests come to the others, as a balancer sends them that has
 * noticed the loss at once.
 */
async function measureLosses({ seed, runs, tell }: ScenarioOptions): Promise<Figure[]> {
  const after = { all: [] as number[], second: [] as number[], five: [] as number[] };
  const random = makeRandom(seed);
  for (let run = 0; run < runs; run++) {
    const fleet = await openFleet();
    try {
      const lost = Math.floor(random.next() * fleet.entries.length);
      const ports = fleet.entries.filter((_, index) => index !== lost).map((e) => e.callerPort);
      const outcomes: Promise<Fresh>[] = [];
      const startedAt = performance.now();
      let killedAt = Infinity;
      for (let index = 0; performance.now() - startedAt < lossMs; index++) {
        if (killedAt === Infinity && performance.now() - startedAt > killAfterMs) {
          killedAt = performance.now();
          void fleet.entries[lost]?.running.end('SIGKILL');
        }
        const sentAt = performance.now();
        const kind = index % 2 === 0 ? 'key' : 'ticket';
        const port = ports[index % ports.length] as number;
        outcomes.push(measureFresh(port, kind, `loss-${seed}-${run}-${index}`, sentAt));
        await sleep((2000 / lossRate) * random.next());
      }
      const all = (await Promise.all(outcomes)).filter(({ sentAt }) => sentAt >= killedAt);
      // Served within the time: the answer came before the end of the call's own patience.
      const share = (from: number, within: number) => {
        const chosen = all.filter(({ sentAt }) => sentAt - killedAt >= from);
        return chosen.filter(({ served, ms }) => served && ms <= within).length / chosen.length;
      };
      after.all.push(share(0, 1000));
      after.second.push(share(1000, 1000));
      after.five.push(share(5000, 1000));
      tell(`loss of entry ${lost + 1}: ${all.length} requests after it`);
    } finally {
      await fleet.close();
    }
  }
  return [
    { name: 'fresh served in 1 s, all after a loss', unit: 'share', values: after.all },
    {
      name: 'fresh served in 1 s, from 1 s after a loss',
      unit: 'share',
      values: after.second,
      target: { atLeast: 0.99 },
    },
    { name: 'fresh served in 1 s, from 5 s after a loss', unit: 'share', values: after.five },
  ];
}

/** Sends calls one after another with no key, a ticket or an own key. */
async function measureCosts({ runs }: ScenarioOptions): Promise<Figure[]> {
  const kinds: readonly Kind[] = ['none', 'ticket', 'key'];
  const median = new Map<Kind, number[]>(kinds.map((kind) => [kind, []]));
  const writes = new Map<Kind, number[]>(kinds.map((kind) => [kind, []]));
  const fleet = await openFleet();
  try {
    const ports = fleet.entries.map(({ callerPort }) => callerPort);
    for (let run = 0; run < runs; run++) {
      for (const kind of kinds) {
        const before = await readWrites(fleet);
        const latencies: number[] = [];
        for (let index = 0; index < costCalls; index++) {
          const startedAt = performance.now();
          const port = ports[index % ports.length] as number;
          await sendFresh(port, kind, `cost-${run}-${kind}-${index}`);
          latencies.push(performance.now() - startedAt);
        }
        median.get(kind)?.push(findMedian(latencies));
        writes.get(kind)?.push(((await readWrites(fleet)) - before) / costCalls);
      }
    }
  } finally {
    await fleet.close();
  }
  return kinds.flatMap((kind) => [
    { name: `median of a call, ${kind}`, unit: 'ms', values: median.get(kind) ?? [] },
    { name: `platform writes a call, ${kind}`, unit: '', values: writes.get(kind) ?? [] },
  ]);
}

async function readWrites(fleet: Fleet): Promise<number> {
  const reply = await call(fleet.platformPort, '/standin/counts');
  return (JSON.parse(reply.body.toString()) as { writes: number }).writes;
}
