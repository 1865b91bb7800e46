import { PeerTransport } from '@dotterelpass/peers';
import { CallerServer } from '@dotterelpass/proxy';
import { FleetLimiter } from '@dotterelpass/quota';
import type { LimitSpec, QuotaDecision } from '@dotterelpass/quota';
import { Metrics } from '@dotterelpass/telemetry';
import { makeRandom, systemClock } from '@dotterelpass/values';
import type { Incarnation, InstanceId, LimitKey, WorkspaceId } from '@dotterelpass/values';
import { WorkspaceTable, hashKey } from '@dotterelpass/workspaces';
import type { Workspace } from '@dotterelpass/workspaces';
import { ok } from 'neverthrow';
import { afterEach, describe, expect, it } from 'vitest';
import type { Call, CallResult } from '../src/call.js';
import type { GatewayConfig } from '../src/catalog.js';
import { CallHandler } from '../src/handler.js';
import { FleetQuota } from '../src/limiter.js';
import { LimitedSender } from '../src/quota.js';

const makeWorkspace = (ratePerSecond: number, name = 'office'): Workspace => ({
  name: name as WorkspaceId,
  priority: undefined,
  ratePerSecond,
  burst: 5,
});

const makeConfig = (version: number, ...workspaces: Workspace[]): GatewayConfig => ({
  version,
  routes: [],
  services: new Map(),
  bounds: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleMs: 1 },
  workspaces: WorkspaceTable.build(
    workspaces.map((workspace, index) => ({ workspace, keyDigests: [hashKey(`key-${index}`)] })),
  ).unwrapOr(undefined),
});

class FakeLimiter extends FleetLimiter {
  readonly taken: LimitSpec[] = [];

  readonly givenBack: LimitKey[] = [];

  decision: QuotaDecision = { kind: 'granted' };

  override async take(limit: LimitSpec): Promise<QuotaDecision> {
    this.taken.push(limit);
    return this.decision;
  }

  override giveBack(key: LimitKey): void {
    this.givenBack.push(key);
  }
}

const failed = (verdict: 'not-run' | 'may-have-run'): CallResult => ({
  kind: 'failed',
  verdict,
  reason: 'overload',
  message: 'none',
});

const answered: CallResult = {
  kind: 'answer',
  response: {} as never,
  bufferedBody: undefined,
  isSuccess: true,
  finish: () => undefined,
};

describe('a call of a workspace', () => {
  /** Guards against tokens for calls without a limit, twice for handovers, or lost with refusals. */
  it.each([
    { name: 'without a workspace', workspace: undefined, taken: 0, givenBack: 0 },
    { name: 'without a limit', workspace: makeWorkspace(0), taken: 0, givenBack: 0 },
    {
      name: 'handed over',
      workspace: makeWorkspace(3),
      handedOverBy: 'two',
      taken: 0,
      givenBack: 0,
    },
    { name: 'answered', workspace: makeWorkspace(3), taken: 1, givenBack: 0 },
    {
      name: 'not run',
      workspace: makeWorkspace(3),
      result: failed('not-run'),
      taken: 1,
      givenBack: 1,
    },
    {
      name: 'that may have run',
      workspace: makeWorkspace(3),
      result: failed('may-have-run'),
      taken: 1,
      givenBack: 0,
    },
  ])('$name takes $taken and gives back $givenBack', async (row) => {
    const limiter = new FakeLimiter();
    const result = row.result ?? answered;
    const sender = new LimitedSender({
      sender: { sendCall: async () => result },
      limiter,
      getConfig: () => makeConfig(4, makeWorkspace(3)),
      getQuotaWindowMs: () => 5000,
    });
    const call = { workspace: row.workspace, handedOverBy: row.handedOverBy } as unknown as Call;
    expect(await sender.sendCall(call, { attempts: [], handovers: [] })).toBe(result);
    expect(limiter.taken.length).toBe(row.taken);
    expect(limiter.givenBack.length).toBe(row.givenBack);
  });

  /** Guards against an old limit that a call in progress puts under the version of the new one. */
  it.each([
    { name: 'changed', config: makeConfig(5, makeWorkspace(1)), rate: 1, version: 5 },
    { name: 'removed', config: makeConfig(5, makeWorkspace(1, 'other')), rate: 3, version: 0 },
  ])('takes the limit in force, when it was $name meanwhile', async ({ config, rate, version }) => {
    const limiter = new FakeLimiter();
    const sender = new LimitedSender({
      sender: { sendCall: async () => answered },
      limiter,
      getConfig: () => config,
      getQuotaWindowMs: () => 5000,
    });
    await sender.sendCall({ workspace: makeWorkspace(3) } as Call, { attempts: [], handovers: [] });
    expect(limiter.taken).toEqual([
      // Half of the burst of 5 is spread over the window of 5 s.
      { key: 'workspace:office', ratePerSecond: rate + 0.5, burst: 2.5, version },
    ]);
  });

  /** Guards against a refusal that callers take for another failure, or with another time. */
  it('beyond the limit gets 429, the verdict and the time at which a token is due', async () => {
    const outcomes: string[] = [];
    const limiter = new FakeLimiter();
    limiter.decision = { kind: 'denied', retryAfterMs: 1500 };
    const limited = new LimitedSender({
      sender: { sendCall: async () => answered },
      limiter,
      getConfig: () => makeConfig(4, makeWorkspace(3)),
      getQuotaWindowMs: () => 5000,
    });
    const handler = new CallHandler({
      headerCodec: { parseRequestHeaders: () => ({ id: undefined, timeoutMs: undefined }) },
      routes: {
        version: 4,
        findRoute: () => ({ name: 'all', timeoutMs: 1000, targetLatencyMs: 100, priority: 0 }),
        pickService: () => 'a',
        isUrgent: () => false,
        isDeferrable: () => false,
      },
      sender: limited,
      identifier: {
        readMark: () => undefined,
        identifyCall: () => ok({ workspace: makeWorkspace(3), hidesCredentials: true }),
      },
      crashes: { isBanned: () => false },
      callerTimeouts: { estimateWaitedMs: () => 0 },
      latency: { estimateMs: () => 1 },
      random: makeRandom(3),
      recorder: {
        recordOutcome: (...values: readonly unknown[]) => {
          outcomes.push((values[3] as { reason: string }).reason);
        },
      },
      readCallerBounds: () => ({ maxBodyBytes: 1000 }),
      getStop: () => undefined,
    } as unknown as ConstructorParameters<typeof CallHandler>[0]);
    const server = new CallerServer(
      (call) => handler.handleCall(call),
      { idleMs: 1000, headersTimeoutMs: 1000 },
      () => undefined,
    );
    const port = await server.listen('127.0.0.1', 0);
    const response = await fetch(`http://127.0.0.1:${port}/`);
    expect(response.status).toBe(429);
    expect(response.headers.get('retry-after')).toBe('1.5');
    expect(response.headers.get('x-request-outcome')).toBe('not-run');
    expect(outcomes).toEqual(['quota']);
    await server.close(0);
  });
});

describe('the limits of a fleet over connections', () => {
  const silent = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
  };

  let transports: PeerTransport[] = [];

  let quotas: FleetQuota[] = [];

  afterEach(() => {
    quotas.forEach((quota) => quota.close());
    transports.forEach((transport) => transport.close());
    transports = [];
    quotas = [];
  });

  const names = ['one', 'two', 'three'] as InstanceId[];

  /** Starts three instances, of which each knows the others. */
  async function startFleet(): Promise<void> {
    const ports: number[] = [];
    for (const instance of names) {
      const identity = { instance, incarnation: `${instance}-1` as Incarnation };
      const transport = new PeerTransport(identity, 'a key of sixteen or more', silent);
      ports.push(await transport.listen('127.0.0.1', 0));
      transports.push(transport);
      const quota = new FleetQuota({
        instance,
        clock: systemClock,
        random: makeRandom(ports.length),
        log: silent,
        metrics: new Metrics(),
        bounds: {},
      });
      quota.setMessenger(transport);
      quotas.push(quota);
    }
    transports.forEach((transport, index) => {
      names.forEach((peer, other) => {
        if (other !== index) transport.setAddress(peer, `127.0.0.1:${ports[other]}`);
      });
      quotas[index]?.setPeers(names.filter((_, other) => other !== index));
      quotas[index]?.setSize(names.length);
    });
  }

  const limit = (version: number) => ({
    key: 'workspace:office' as LimitKey,
    ratePerSecond: 1,
    burst: 30,
    version,
  });

  /** Guards against messages that the connections do not carry, or that change on their way. */
  it('are kept by all instances together, also when the coordinator has stopped', async () => {
    await startFleet();
    quotas.forEach((quota) => quota.setConfig(makeConfig(1, makeWorkspace(1))));
    const readAttached = () =>
      quotas.map((quota) => quota.readStatus()?.coordinating[0]?.attached ?? 0);
    await expect.poll(readAttached, { timeout: 10_000 }).toContain(names.length);
    const coordinator = readAttached().indexOf(names.length);
    const decisions = await Promise.all(
      Array.from({ length: 90 }, (_, index) => quotas[index % 3]?.limiter.take(limit(1))),
    );
    const granted = decisions.filter((decision) => decision?.kind === 'granted').length;
    // A coordinator that has just begun does not grant the whole burst; nobody has more than that.
    expect(granted).toBeGreaterThanOrEqual(10);
    expect(granted).toBeLessThanOrEqual(45);
    quotas[coordinator]?.close();
    transports[coordinator]?.close();
    const others = quotas.filter((_, index) => index !== coordinator);
    const findCoordinators = () => others.map((q) => q.readStatus()?.groups[0]?.coordinator);
    await expect.poll(findCoordinators, { timeout: 10_000 }).toEqual([undefined, undefined]);
    const decision = await others[0]?.limiter.take(limit(1));
    expect(decision?.kind).toBe('denied');
  });

  /** Guards against connections and messages where the configuration asks for no limits. */
  it('cost no message without a limit', async () => {
    await startFleet();
    quotas.forEach((quota) => quota.setConfig(makeConfig(1, makeWorkspace(0))));
    const sockets: unknown[] = [];
    transports.forEach((transport) => {
      Object.assign(transport, { request: async () => sockets.push('request') });
    });
    await new Promise((resolve) => {
      setTimeout(resolve, 1500);
    });
    expect(sockets).toEqual([]);
    expect(quotas.map((quota) => quota.readStatus())).toEqual([undefined, undefined, undefined]);
  });
});
