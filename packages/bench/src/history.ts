import { makeRandom, outcomeHeader, pickOne } from '@dotterelpass/values';
import type { Random } from '@dotterelpass/values';
import { call, sleep } from './cluster.js';
import type { EntryProcess, Fleet } from './fleet.js';

/** One attempt to send a request with a key, and the response to the caller. */
export interface Attempt {
  readonly key: string;
  readonly sentAt: number;
  readonly answeredAt: number;
  /** 0 when the connection failed or the response timed out. */
  readonly status: number;
  readonly outcome: string;
  /** Body of a response whose status is not 200. */
  readonly error: string;
  readonly replayed: boolean;
}

export interface HistoryPlan {
  readonly seed: number;
  /** Duration of the calls and faults, in milliseconds. */
  readonly ms: number;
  readonly callsPerSecond: number;
  /** Path of a service with once-only requests. */
  readonly path: string;
  /** Longest delay before each fault, in milliseconds. */
  readonly faultEveryMs: number;
  readonly reportProgress: (text: string) => void;
}

export interface HistoryReport {
  readonly keys: number;
  readonly attempts: readonly Attempt[];
  readonly runs: number;
  /** Keys of requests that ran more than once, once per additional run. */
  readonly doubleRuns: readonly string[];
  /** Attempts that were answered with `not-run` although the request had run. */
  readonly falseNotRuns: readonly Attempt[];
}

const maxRounds = 5;
const callTimeoutMs = 4000;

/**
 * Sends once-only requests while entry instances are killed and paused and the platform fails.
 * Retries them at random entry instances, and compares the responses with the ledger of the
 * endpoints.
 *
 * @param fleet - Fleet with a once-only service whose rule has a deadline below 4 s.
 * @param plan - Calls and faults; equal seeds choose the same calls and faults.
 * @returns The attempts and the violations of once-only execution.
 */
export async function recordHistory(fleet: Fleet, plan: HistoryPlan): Promise<HistoryReport> {
  const random = makeRandom(plan.seed);
  const attempts: Attempt[] = [];
  const calls: Promise<void>[] = [];
  const keys = Math.floor((plan.ms / 1000) * plan.callsPerSecond);
  const faults = injectFaults(fleet, plan, makeRandom(plan.seed + 1));
  for (let index = 0; index < keys; index++) {
    const callerRandom = makeRandom(Math.floor(random.next() * 2 ** 31));
    calls.push(sendWithRetries(fleet, { ...plan, index }, callerRandom, attempts));
    await sleep((1000 / plan.callsPerSecond) * 2 * random.next());
  }
  await faults;
  await Promise.all(calls);
  // A request whose caller has timed out may still reach an endpoint.
  await sleep(500);
  return checkAgainstLedger(fleet, keys, attempts);
}

/** Sends requests with one key until one succeeds, and sometimes again after a success. */
async function sendWithRetries(
  fleet: Fleet,
  { seed, path, index }: HistoryPlan & { index: number },
  random: Random,
  attempts: Attempt[],
): Promise<void> {
  // Picks among all entry instances, including those that are paused, killed or not ready.
  const pickPort = () => pickOne(random, fleet.entries).callerPort;
  let key = `key-${seed}-${index}`;
  if (random.next() < 0.4) {
    const reply = await call(pickPort(), '/.well-known/dotterelpass/ticket', {
      timeoutMs: 1000,
    }).catch(() => undefined);
    if (reply?.status !== 200) return;
    key = (JSON.parse(reply.body.toString()) as { ticket: string }).ticket;
  }
  const workMs = Math.floor(random.next() * 60);
  const send = async () => {
    const target = pickPort();
    const sentAt = Date.now();
    const reply = await call(target, `${path}?ms=${workMs}`, {
      method: 'POST',
      headers: { 'idempotency-key': key },
      body: `request ${index}`,
      timeoutMs: callTimeoutMs,
    }).catch(() => undefined);
    const attempt = {
      key,
      sentAt,
      answeredAt: Date.now(),
      status: reply?.status ?? 0,
      outcome: String(reply?.headers[outcomeHeader] ?? ''),
      error: reply && reply.status !== 200 ? reply.body.toString() : '',
      replayed: reply?.headers['idempotency-replayed'] === 'true',
    };
    attempts.push(attempt);
    return attempt;
  };
  for (let round = 0; round < maxRounds; round++) {
    // Some callers send a duplicate without waiting for the first response.
    const pending = random.next() < 0.2 ? [send(), send()] : [send()];
    const answers = await Promise.all(pending);
    if (answers.some(({ status }) => status === 200) && random.next() < 0.7) return;
    await sleep(random.next() * 400);
  }
}

async function injectFaults(fleet: Fleet, plan: HistoryPlan, random: Random): Promise<void> {
  const endAt = performance.now() + plan.ms;
  const ongoingFaults: Promise<void>[] = [];
  const restarting = new Set<number>();
  while (performance.now() < endAt) {
    await sleep(plan.faultEveryMs * random.next());
    const index = Math.floor(random.next() * fleet.entries.length);
    const kind = pickOne(random, [
      'kill',
      'pause',
      'pause',
      'lost',
      'lost',
      'down',
      'silent',
      'slow',
    ]);
    const ms = 200 + Math.floor(random.next() * 2500);
    plan.reportProgress(`${kind} ${kind === 'kill' || kind === 'pause' ? index : ''} ${ms} ms`);
    if (kind === 'kill' && !restarting.has(index)) {
      restarting.add(index);
      ongoingFaults.push(restartEntry(fleet, index).finally(() => restarting.delete(index)));
    }
    if (kind === 'pause') ongoingFaults.push(pauseEntry(fleet, index, ms));
    if (kind === 'lost') {
      await fleet.setPlatformFaults({ loseAnswers: 1 + (ms % 4), loseAnswersPrefix: 'once/' });
    }
    if (['down', 'silent', 'slow'].includes(kind)) {
      await fleet.setPlatformFaults(kind === 'slow' ? { delayMs: ms / 4 } : { [kind]: true });
      await sleep(ms / 2);
      await fleet.setPlatformFaults({});
    }
  }
  await fleet.setPlatformFaults({});
  await Promise.all(ongoingFaults);
}

async function restartEntry(fleet: Fleet, index: number): Promise<void> {
  await fleet.restartEntry(index);
  await fleet.waitUntilReady(fleet.entries[index] as EntryProcess);
}

async function pauseEntry(fleet: Fleet, index: number, ms: number): Promise<void> {
  const child = fleet.entries[index]?.program.process;
  child?.kill('SIGSTOP');
  await sleep(ms);
  child?.kill('SIGCONT');
}

async function checkAgainstLedger(
  fleet: Fleet,
  keys: number,
  attempts: readonly Attempt[],
): Promise<HistoryReport> {
  const startedAt = new Map<string, number>();
  const doubleRuns: string[] = [];
  for (const line of await fleet.readLedger()) {
    if (startedAt.has(line.key)) doubleRuns.push(line.key);
    else startedAt.set(line.key, line.startedAt);
  }
  const falseNotRuns = attempts.filter(({ key, sentAt, outcome }) => {
    const ranAt = startedAt.get(key);
    if (outcome !== 'not-run' || ranAt === undefined) return false;
    // The run started before this attempt, or every attempt was answered with `not-run`.
    const mayHaveRun = attempts.some(
      (attempt) => attempt.key === key && attempt.outcome !== 'not-run',
    );
    return ranAt < sentAt || !mayHaveRun;
  });
  return {
    keys,
    attempts,
    runs: startedAt.size,
    doubleRuns,
    falseNotRuns,
  };
}
