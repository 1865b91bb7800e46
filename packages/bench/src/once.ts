import { makeRandom, outcomeHeader } from '@dotterelpass/values';
import { call, sleep } from './cluster.js';
import { deployments } from './deployment.js';
import { Fleet } from './fleet.js';
import { recordHistory } from './history.js';
import { findMedian } from './scenario.js';
import type { Figure, Scenario, ScenarioOptions } from './scenario.js';

const service = 'fees';
const path = `/${service}`;
const historyMs = 30_000;
const costCalls = 200;
const lossCallsPerSecond = 50;
const lossMs = 8000;
const killAfterMs = 1500;

/** How a call is identified: not at all, by a ticket or by the caller's own key. */
type KeyKind = 'none' | 'ticket' | 'key';

/** Checks once-only calls under faults, and measures the loss of an instance and the cost of keys. */
export const onceScenario: Scenario = {
  name: 'once',
  description: 'once-only calls under faults, after the loss of an instance, and their cost',
  async run(options) {
    return [
      ...(await measureHistories(options)),
      ...(await measureInstanceLosses(options)),
      ...(await measureCosts(options)),
    ];
  },
};

async function openFleet(): Promise<Fleet> {
  const options = { deployment: deployments.quispe, services: [service] };
  return Fleet.open({ ...options, rule: { deadlineMs: 3000 } });
}

async function measureHistories({
  seed,
  runs,
  reportProgress,
}: ScenarioOptions): Promise<Figure[]> {
  const doubleRunCounts: number[] = [];
  const falseNotRunCounts: number[] = [];
  for (let run = 0; run < runs; run++) {
    const fleet = await openFleet();
    try {
      const plan = { seed: seed + run, ms: historyMs, callsPerSecond: 40, path, faultEveryMs: 900 };
      const report = await recordHistory(fleet, { ...plan, reportProgress: () => undefined });
      const { keys, attempts, doubleRuns, falseNotRuns } = report;
      doubleRunCounts.push(doubleRuns.length);
      falseNotRunCounts.push(falseNotRuns.length);
      reportProgress(
        `seed ${seed + run}: ${keys} keys, ${attempts.length} attempts, ${report.runs} runs`,
      );
      if (doubleRuns.length > 0) reportProgress(`run twice: ${doubleRuns.join(' ')}`);
      if (falseNotRuns.length > 0) reportProgress(`false not-run: ${JSON.stringify(falseNotRuns)}`);
    } finally {
      await fleet.close();
    }
  }
  return [
    { name: 'keys that ran twice', unit: '', values: doubleRunCounts, target: { atMost: 0 } },
    { name: 'false not-run answers', unit: '', values: falseNotRunCounts, target: { atMost: 0 } },
  ];
}

/**
 * Sends a request with a new key or ticket to a live entry instance.
 *
 * @returns Whether the request succeeded.
 */
async function sendFreshRequest(port: number, kind: KeyKind, name: string): Promise<boolean> {
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

/** Result of a request with a new key or ticket. */
interface FreshResult {
  readonly sentAt: number;
  readonly served: boolean;
  readonly ms: number;
}

async function measureRequest(
  port: number,
  kind: KeyKind,
  name: string,
  sentAt: number,
): Promise<FreshResult> {
  const served = await sendFreshRequest(port, kind, name);
  return { sentAt, served, ms: performance.now() - sentAt };
}

/**
 * Kills an entry instance while requests with new keys go to the other instances only, as with a
 * load balancer that detects the loss immediately.
 */
async function measureInstanceLosses({
  seed,
  runs,
  reportProgress,
}: ScenarioOptions): Promise<Figure[]> {
  const shares = {
    all: [] as number[],
    fromOneSecond: [] as number[],
    fromFiveSeconds: [] as number[],
  };
  const random = makeRandom(seed);
  for (let run = 0; run < runs; run++) {
    const fleet = await openFleet();
    try {
      const lostIndex = Math.floor(random.next() * fleet.entries.length);
      const ports = fleet.entries
        .filter((_, index) => index !== lostIndex)
        .map((e) => e.callerPort);
      const outcomes: Promise<FreshResult>[] = [];
      const startedAt = performance.now();
      let killedAt = Infinity;
      for (let index = 0; performance.now() - startedAt < lossMs; index++) {
        if (killedAt === Infinity && performance.now() - startedAt > killAfterMs) {
          killedAt = performance.now();
          void fleet.entries[lostIndex]?.program.end('SIGKILL');
        }
        const sentAt = performance.now();
        const kind = index % 2 === 0 ? 'key' : 'ticket';
        const port = ports[index % ports.length] as number;
        outcomes.push(measureRequest(port, kind, `loss-${seed}-${run}-${index}`, sentAt));
        await sleep((2000 / lossCallsPerSecond) * random.next());
      }
      const all = (await Promise.all(outcomes)).filter(({ sentAt }) => sentAt >= killedAt);
      // Share of the requests that succeed within a latency limit, from a time after the kill on.
      const share = (fromMs: number, maxLatencyMs: number) => {
        const chosen = all.filter(({ sentAt }) => sentAt - killedAt >= fromMs);
        return (
          chosen.filter(({ served, ms }) => served && ms <= maxLatencyMs).length / chosen.length
        );
      };
      shares.all.push(share(0, 1000));
      shares.fromOneSecond.push(share(1000, 1000));
      shares.fromFiveSeconds.push(share(5000, 1000));
      reportProgress(`killed entry-${lostIndex + 1}: ${all.length} requests after it`);
    } finally {
      await fleet.close();
    }
  }
  return [
    { name: 'fresh served in 1 s, all after a loss', unit: 'share', values: shares.all },
    {
      name: 'fresh served in 1 s, from 1 s after a loss',
      unit: 'share',
      values: shares.fromOneSecond,
      target: { atLeast: 0.99 },
    },
    {
      name: 'fresh served in 1 s, from 5 s after a loss',
      unit: 'share',
      values: shares.fromFiveSeconds,
    },
  ];
}

/** Sends calls one after another without a key, with a ticket and with the caller's own key. */
async function measureCosts({ runs }: ScenarioOptions): Promise<Figure[]> {
  const kinds: readonly KeyKind[] = ['none', 'ticket', 'key'];
  const median = new Map<KeyKind, number[]>(kinds.map((kind) => [kind, []]));
  const writes = new Map<KeyKind, number[]>(kinds.map((kind) => [kind, []]));
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
          await sendFreshRequest(port, kind, `cost-${run}-${kind}-${index}`);
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
