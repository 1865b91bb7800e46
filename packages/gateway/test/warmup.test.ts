import { request } from 'node:http';
import type { RequestListener } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { FleetLimiter } from '@dotterelpass/quota';
import type { LimitSpec, QuotaDecision } from '@dotterelpass/quota';
import { Metrics, createLogger, setLogDestination } from '@dotterelpass/telemetry';
import { ManualClock, makeRandom, systemClock } from '@dotterelpass/values';
import type { Clock, EndpointId, FailureDomain, LimitKey, ServiceId } from '@dotterelpass/values';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Endpoint } from '../src/endpoint.js';
import { WarmupGate } from '../src/gate.js';
import { EndpointWarmup } from '../src/warmup.js';
import { createBackpressure } from './backpressure.js';
import { GatewayBed } from './bed.js';

/** Rate of the deployments, and the bound on the requests of any one second. */
const rate = 4.6;
const maxPerSecond = 1.5 * rate + 8;

const warmKey = 'endpoint:i-1' as LimitKey;

/** Token buckets that start full, as the coordinator of a limit keeps them. */
class FakeLimiter extends FleetLimiter {
  readonly #clock: Clock;

  readonly #buckets = new Map<LimitKey, { tokens: number; at: number }>();

  readonly taken: LimitSpec[] = [];

  readonly givenBack: LimitKey[] = [];

  constructor(clock: Clock = systemClock) {
    super();
    this.#clock = clock;
  }

  override async take(limit: LimitSpec): Promise<QuotaDecision> {
    this.taken.push(limit);
    const { key, burst, ratePerSecond } = limit;
    const now = this.#clock.now();
    const bucket = this.#buckets.get(key) ?? { tokens: burst, at: now };
    const refilled = bucket.tokens + ((now - bucket.at) / 1000) * ratePerSecond;
    const tokens = Math.min(burst, refilled);
    const isGranted = tokens >= 1;
    this.#buckets.set(key, { tokens: isGranted ? tokens - 1 : tokens, at: now });
    if (isGranted) return { kind: 'granted' };
    return { kind: 'denied', retryAfterMs: ((1 - tokens) / ratePerSecond) * 1000 };
  }

  override giveBack(key: LimitKey): void {
    this.givenBack.push(key);
    const bucket = this.#buckets.get(key);
    if (bucket) bucket.tokens += 1;
  }
}

describe('EndpointWarmup', () => {
  type Step =
    | { readonly registered: number }
    | { readonly check: number | undefined }
    | { readonly wait: number };

  /** Guards against an endpoint that gets its usual calls while it is cold, or few once it is warm. */
  it.each<{ name: string; initial: number; steps: Step[]; isCold: boolean; isKnown: boolean }>([
    { name: 'new and warm', initial: 0, steps: [], isCold: false, isKnown: false },
    { name: 'new and cold', initial: 3000, steps: [], isCold: true, isKnown: false },
    {
      name: 'past its registered time',
      initial: 3000,
      steps: [{ wait: 3000 }],
      isCold: false,
      isKnown: false,
    },
    {
      name: 'checked and warm',
      initial: 0,
      steps: [{ check: undefined }],
      isCold: false,
      isKnown: true,
    },
    // It may turn cold at any moment, without a new registration.
    {
      name: 'cold by its last health check',
      initial: 0,
      steps: [{ check: undefined }, { wait: 500 }, { check: 900 }],
      isCold: true,
      isKnown: true,
    },
    {
      name: 'warm by a later health check',
      initial: 0,
      steps: [{ check: 900 }, { wait: 100 }, { check: undefined }],
      isCold: false,
      isKnown: true,
    },
    { name: 'warm by 0', initial: 0, steps: [{ check: 0 }], isCold: false, isKnown: true },
    {
      name: 'cold by its registration although a check says nothing',
      initial: 3000,
      steps: [{ check: undefined }],
      isCold: true,
      isKnown: true,
    },
    {
      name: 'cold by a later registration',
      initial: 0,
      steps: [{ check: undefined }, { registered: 2000 }],
      isCold: true,
      isKnown: true,
    },
    {
      name: 'warm by a later registration',
      initial: 3000,
      steps: [{ registered: 0 }],
      isCold: false,
      isKnown: false,
    },
    {
      name: 'unknown again after a time without checks',
      initial: 0,
      steps: [{ check: undefined }, { wait: 3001 }],
      isCold: false,
      isKnown: false,
    },
  ])('tells an endpoint that is $name', ({ initial, steps, isCold, isKnown }) => {
    const clock = new ManualClock();
    const warmup = new EndpointWarmup(clock, initial);
    steps.forEach((step) => {
      if ('wait' in step) clock.advance(step.wait);
      else if ('check' in step) warmup.recordHealthCheck(step.check);
      else warmup.setRegistered(step.registered);
    });
    expect(warmup).toMatchObject({ isCold, isKnown });
  });

  /** Guards against an endpoint that is left alone although it has turned warm. */
  it('is left alone after a denied token until one is due, or it is warm', () => {
    const clock = new ManualClock();
    const warmup = new EndpointWarmup(clock, 3000);
    warmup.recordDenial(200);
    expect(warmup.notBefore).toBe(clock.now() + 200);
    warmup.setRegistered(0);
    warmup.recordHealthCheck(undefined);
    expect(warmup.notBefore).toBe(-Infinity);
  });
});

describe('WarmupGate', () => {
  const clock = new ManualClock();
  let endpoint: Endpoint;
  let limiter: FakeLimiter;
  let lines: Record<string, unknown>[];

  beforeEach(() => {
    limiter = new FakeLimiter(clock);
    lines = [];
    setLogDestination({
      write: (line: string) => {
        lines.push(JSON.parse(line) as Record<string, unknown>);
      },
    });
    const registration = {
      id: 'i-1' as EndpointId,
      service: 'a' as ServiceId,
      address: '127.0.0.1:1',
      failureDomain: 'z' as FailureDomain,
      slots: 3,
      state: 'ready' as const,
      startedAtMs: undefined,
      warmupMs: 0,
    };
    endpoint = new Endpoint(registration, 4, clock, createBackpressure(clock));
  });

  afterEach(() => {
    endpoint.close();
    setLogDestination({ write: () => undefined });
  });

  const makeGate = (findRate: () => number | undefined = () => rate) =>
    new WarmupGate({ limiter, log: createLogger('test'), metrics: new Metrics(), findRate });

  /** Guards against messages for warm endpoints, and against unlimited requests to cold ones. */
  it.each([
    { name: 'that is cold', checked: [900], limit: undefined, isLimited: true, needed: true },
    { name: 'that is warm', checked: [0], limit: undefined, isLimited: true, needed: false },
    { name: 'never checked', checked: [], limit: undefined, isLimited: true, needed: true },
    // Such an endpoint cannot be probed, so only its registration shows whether it is cold.
    { name: 'not to be probed', checked: [], limit: 5, isLimited: true, needed: false },
    {
      name: 'of another service',
      checked: [900],
      limit: undefined,
      isLimited: false,
      needed: false,
    },
  ])('needs a token for an endpoint $name: $needed', ({ checked, limit, isLimited, needed }) => {
    checked.forEach((ms) => endpoint.warmup.recordHealthCheck(ms));
    if (limit !== undefined) {
      const signal = { maxRequestsPerSecond: limit, isLeaving: false, quietMs: 0 };
      endpoint.backpressure.recordSignal(signal, true);
    }
    expect(makeGate(() => (isLimited ? rate : undefined)).needsToken(endpoint)).toBe(needed);
  });

  it('leaves an endpoint without a token alone until one is due, and counts', async () => {
    const gate = makeGate();
    endpoint.warmup.recordHealthCheck(3000);
    const tokens = [
      await gate.takeToken(endpoint),
      await gate.takeToken(endpoint),
      await gate.takeToken(endpoint),
    ];
    expect(tokens.map((token) => token !== undefined)).toEqual([true, true, false]);
    expect(limiter.taken[0]).toEqual({ key: warmKey, ratePerSecond: rate, burst: 2, version: 0 });
    expect(endpoint.allowsRequest).toBe(false);
    expect(endpoint.findNextRequestAt()).toBeCloseTo(clock.now() + 1000 / rate);
    expect(endpoint.warmup.readStatus()).toEqual({ leftMs: 3000, granted: 2, denied: 1 });
    tokens[0]?.giveBack();
    expect(limiter.givenBack).toEqual([warmKey]);
    expect(endpoint.warmup.readStatus()).toMatchObject({ granted: 1 });
    clock.advance(217);
    expect(endpoint.allowsRequest).toBe(false);
    clock.advance(1);
    expect(endpoint.allowsRequest).toBe(true);
  });

  /** Guards against operators who do not see why an endpoint gets few calls. */
  it('logs each change once, with what showed it', () => {
    const gate = makeGate();
    endpoint.warmup.recordHealthCheck(900);
    gate.reportChange(endpoint, 'health-check');
    gate.reportChange(endpoint, 'registration');
    clock.advance(900);
    gate.reportChange(endpoint, 'registration');
    expect(lines).toMatchObject([
      { event: 'endpoint-cold', endpoint: 'i-1', evidence: 'health-check', leftMs: 900 },
      { event: 'endpoint-warm', endpoint: 'i-1', evidence: 'registration', leftMs: 0 },
    ]);
  });

  /**
   * Guards against a burst that lets a cold endpoint get more than its bound: tokens are used up to 250
   * ms after their grant, and another coordinator takes over the limit with a full bucket.
   */
  it.each([{ seed: 1 }, { seed: 2 }, { seed: 3 }])(
    'keeps requests of 47 instances to the bound, seed $seed',
    async ({ seed }) => {
      const random = makeRandom(seed);
      let current = limiter;
      const gate = new WarmupGate({
        limiter: {
          take: async (limit: LimitSpec) => current.take(limit),
          giveBack: () => undefined,
        },
        log: createLogger('test'),
        metrics: new Metrics(),
        findRate: () => rate,
      });
      endpoint.warmup.recordHealthCheck(1_000_000);
      const arrivals: number[] = [];
      for (let step = 0; step < 2000; step++) {
        clock.advance(10);
        if (step === 1000) current = new FakeLimiter(clock);
        // Each of them asks on its own, since none knows what the others were denied.
        for (let instance = 0; instance < 47; instance++) {
          if (random.next() < 0.05 && (await gate.takeToken(endpoint))) {
            arrivals.push(clock.now() + 250 * random.next());
          }
        }
      }
      const counts = arrivals.map(
        (start) => arrivals.filter((at) => at >= start && at < start + 1000).length,
      );
      expect(Math.max(...counts)).toBeLessThanOrEqual(maxPerSecond);
      expect(arrivals.length).toBeGreaterThan(0.9 * rate * 20);
    },
  );
});

describe('calls to cold endpoints', () => {
  let bed: GatewayBed;
  let limiter: FakeLimiter;
  let arrivals: number[][];

  beforeEach(() => {
    limiter = new FakeLimiter();
    bed = new GatewayBed('one', limiter);
    bed.warmupRatePerSecond = rate;
    arrivals = [[], []];
  });

  afterEach(async () => bed.close());

  const respond =
    (index: number, status = 200, delayMs = 0): RequestListener =>
    (incoming, response) => {
      incoming.resume();
      arrivals[index]?.push(performance.now());
      setTimeout(() => response.writeHead(status).end(`e${index}`), delayMs);
    };

  async function send(method = 'GET'): Promise<{ status: number; retryAfter: string | undefined }> {
    return new Promise((resolve, reject) => {
      const headers = { host: 'h' };
      const outgoing = request({ port: bed.port, method, agent: false, headers }, (response) => {
        response.resume();
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            retryAfter: response.headers['retry-after'],
          }),
        );
      });
      outgoing.on('error', reject);
      outgoing.end();
    });
  }

  async function sendMany(count: number, intervalMs: number) {
    const responses = [];
    for (let index = 0; index < count; index++) {
      responses.push(send());
      await sleep(intervalMs);
    }
    return Promise.all(responses);
  }

  const countMaxPerSecond = (times: readonly number[]) =>
    Math.max(
      0,
      ...times.map((start) => times.filter((at) => at >= start && at < start + 1000).length),
    );

  /** Guards against a cold endpoint that is flooded, and against calls refused while another is warm. */
  it('stay within the limit, and the others go to a warm endpoint', async () => {
    await bed.start(respond(0), respond(1));
    bed.warmupMs[0] = 60_000;
    const responses = await sendMany(150, 10);
    expect(responses.filter(({ status }) => status !== 200)).toEqual([]);
    expect(countMaxPerSecond(arrivals[0] ?? [])).toBeLessThanOrEqual(maxPerSecond);
    expect(arrivals[1]?.length).toBeGreaterThan(100);
  });

  /** Guards against an endpoint that keeps its calls after it has turned cold without notice. */
  it('are limited from the first health check that says so', async () => {
    await bed.start(respond(0), respond(1));
    await sendMany(20, 10);
    expect(limiter.taken).toEqual([]);
    [bed.warmupMs[0], bed.warmupMs[1]] = [60_000, 60_000];
    await sleep(50);
    const before = arrivals.flat().length;
    bed.setRoute({ targetLatencyMs: 300, timeoutMs: 1000 });
    await sendMany(60, 10);
    expect(limiter.taken.length).toBeGreaterThan(0);
    const [first = [], second = []] = arrivals;
    expect(arrivals.flat().length - before).toBeGreaterThanOrEqual(4);
    expect(first.length + second.length - before).toBeLessThanOrEqual(2 * (2 + rate * 1.6));
  });

  /** Guards against calls that wait until their deadlines for tokens that come too late. */
  it('are refused with the time of the next token when there is none in time', async () => {
    await bed.start(respond(0));
    bed.warmupMs[0] = 60_000;
    bed.warmupRatePerSecond = 0.5;
    bed.setRoute({ targetLatencyMs: 200, timeoutMs: 1000 });
    await send();
    await send();
    const startedAt = performance.now();
    const refused = await send();
    expect(performance.now() - startedAt).toBeLessThan(500);
    expect(refused.status).toBe(503);
    expect(Number(refused.retryAfter)).toBeGreaterThan(0);
    expect(arrivals[0]).toHaveLength(2);
  });

  /** Guards against a call that is refused although a token is due before its target. */
  it('wait for a token that is due in time', async () => {
    await bed.start(respond(0));
    bed.warmupMs[0] = 60_000;
    bed.setRoute({ targetLatencyMs: 2000 });
    await Promise.all([send(), send()]);
    const startedAt = performance.now();
    expect((await send()).status).toBe(200);
    expect(performance.now() - startedAt).toBeGreaterThan(50);
  });

  /** Guards against tokens that are lost to requests which do not count. */
  it('give the token back for a 421 answer', async () => {
    await bed.start(respond(0, 421));
    bed.warmupMs[0] = 60_000;
    expect((await send()).status).toBe(503);
    expect(limiter.givenBack).toEqual([warmKey]);
  });

  /** Guards against hedges that pass the limit by. */
  it('take a token also for a hedge', async () => {
    await bed.start(respond(0, 200, 600), respond(1, 200, 600));
    [bed.warmupMs[0], bed.warmupMs[1]] = [60_000, 60_000];
    bed.setRoute({ repeat: 'idempotent', targetLatencyMs: 500, timeoutMs: 5000 });
    expect((await send()).status).toBe(200);
    expect(arrivals.flat()).toHaveLength(2);
    expect(limiter.taken.map(({ key }) => key).sort()).toEqual(['endpoint:i-1', 'endpoint:i-2']);
  });

  /** Guards against messages for limits where no service asks for them. */
  it('take no tokens where the service names no limit', async () => {
    bed.warmupRatePerSecond = undefined;
    await bed.start(respond(0));
    bed.warmupMs[0] = 60_000;
    await sendMany(20, 5);
    expect(limiter.taken).toEqual([]);
    expect(arrivals[0]).toHaveLength(20);
    expect(bed.gateway.coldEndpoints).toEqual([]);
  });

  it('are shown to operators', async () => {
    await bed.start(respond(0));
    bed.warmupMs[0] = 60_000;
    await send();
    expect(bed.gateway.coldEndpoints).toMatchObject([
      { endpoint: 'i-1', service: 'a', granted: 1, denied: 0 },
    ]);
    expect(bed.lines.map(({ event }) => event)).toContain('endpoint-cold');
  });
});
