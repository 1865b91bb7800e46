import { ManualClock, makeRandom } from '@dotterelpass/values';
import type { EndpointId, FailureDomain, InstanceId, ServiceId } from '@dotterelpass/values';
import { afterEach, describe, expect, it } from 'vitest';
import type { Route, RouteName } from '../src/catalog.js';
import { Endpoint } from '../src/endpoint.js';
import { createBackpressure } from './backpressure.js';
import type { AttemptEnding } from '../src/endpoint.js';
import { calculateHedgeDelayMs } from '../src/hedge.js';
import { Picker, hasSpareCapacity } from '../src/picker.js';
import { EndpointPreference } from '../src/preference.js';
import { LatencyEstimator } from '../src/latency.js';

const service = 'a' as ServiceId;
const clock = new ManualClock();
let endpoints: Endpoint[] = [];

afterEach(() => {
  endpoints.forEach((endpoint) => endpoint.close());
  endpoints = [];
});

interface EndpointSpec {
  readonly domain?: string;
  readonly running?: number;
  readonly slowdown?: number;
  readonly outcomes?: readonly AttemptEnding[];
  readonly warmupMs?: number;
  readonly responds?: boolean | 'late';
}

interface Fixture {
  readonly picker: Picker;
  readonly probed: string[];
}

/** Creates a picker with endpoints e0, e1 and so on, which report their load when probed. */
function makePicker(specs: readonly EndpointSpec[]): Fixture {
  const probed: string[] = [];
  endpoints = specs.map(({ domain = 'z1', warmupMs = 0 }, index) => {
    const registration = {
      id: `e${index}` as EndpointId,
      service,
      address: `127.0.0.1:${index + 1}`,
      failureDomain: domain as FailureDomain,
      slots: 3,
      state: 'ready' as const,
      startedAtMs: undefined,
      warmupMs,
    };
    return new Endpoint(registration, 4, clock, createBackpressure(clock));
  });
  endpoints.forEach((endpoint, index) => {
    specs[index]?.outcomes?.forEach((outcome) => {
      endpoint.startCall();
      endpoint.endCall(outcome);
    });
  });
  const picker = new Picker({
    preference: new EndpointPreference('i' as InstanceId, 'z1' as FailureDomain),
    random: makeRandom(3),
    latency: new LatencyEstimator(),
    listEndpoints: () => endpoints,
    getFleetSize: () => 3,
    async probeEndpoint(endpoint) {
      const index = endpoints.indexOf(endpoint);
      const { running = 0, slowdown = 1, responds = true } = specs[index] as EndpointSpec;
      probed.push(`e${index}`);
      if (responds === 'late') return new Promise(() => {});
      if (responds) endpoint.recordReport({ running, waiting: 0, slots: 3, slowdown });
      else endpoint.recordUnreachable();
      return responds;
    },
  });
  return { picker, probed };
}

const makeRoute = (name: string, targetLatencyMs = 200): Route => ({
  name: name as RouteName,
  host: 'h',
  pathPrefix: '/',
  targets: [{ service, weight: 1 }],
  repeat: 'idempotent',
  timeoutMs: 5000,
  targetLatencyMs,
  maxAttempts: 3,
  priority: 0,
});

const request = { service, route: makeRoute('r'), tried: [] };

describe('Picker', () => {
  it.each([
    { name: 'the faster endpoint', specs: [{ slowdown: 4 }, {}], expected: 'e1' },
    {
      name: 'the endpoint with free slots',
      specs: [{ running: 2 }, { running: 0 }],
      expected: 'e1',
    },
    // Guards against full endpoints: calls slow each other down when all slots are in use.
    {
      name: 'a slightly slower endpoint with spare capacity',
      specs: [{ running: 3 }, { slowdown: 1.4 }],
      expected: 'e1',
    },
    {
      name: 'the endpoint that is not warming up',
      specs: [{ warmupMs: 3000 }, {}],
      expected: 'e1',
    },
    {
      name: 'the endpoint without failures',
      specs: [{ outcomes: ['failed' as const] }, { slowdown: 2 }],
      expected: 'e1',
    },
    // Guards against a call to an endpoint that no longer responds.
    {
      name: 'the endpoint that responds',
      specs: [{ responds: false }, { slowdown: 4 }],
      expected: 'e1',
    },
    {
      name: 'a local endpoint that is fast enough',
      specs: [{ slowdown: 2 }, { domain: 'z2' }],
      expected: 'e0',
    },
    // Guards against a long call on a slow endpoint: the call stays slow to its end.
    {
      name: 'a remote endpoint when all local ones are slow',
      specs: [{ slowdown: 4 }, { domain: 'z2' }],
      expected: 'e1',
    },
    {
      name: 'a remote endpoint when the local one is very slow',
      specs: [{ slowdown: 6 }, { domain: 'z2' }],
      expected: 'e1',
    },
    {
      name: 'a remote endpoint when there is no local one',
      specs: [{ domain: 'z2' }],
      expected: 'e0',
    },
  ])('picks $name', async ({ specs, expected }) => {
    const { picker } = makePicker(specs);
    expect((await picker.pick(request))?.endpoint.registration.id).toBe(expected);
  });

  /** Guards against needless traffic between failure domains. */
  it('probes no remote endpoint while a local one is fast enough', async () => {
    const { picker, probed } = makePicker([{}, { domain: 'z2' }, { domain: 'z2' }]);
    await picker.pick(request);
    expect(probed).toEqual(['e0']);
  });

  it('probes only some endpoints of a large group', async () => {
    const { picker, probed } = makePicker(Array.from({ length: 40 }, () => ({})));
    await picker.pick(request);
    expect(probed).toHaveLength(4);
  });

  /** Guards against a busy or dark endpoint that looks idle while its probe is not answered. */
  it('prefers an endpoint that has answered to one that has not answered yet', async () => {
    const { picker } = makePicker([{ responds: 'late' }, { running: 2, slowdown: 2 }]);
    expect((await picker.pick(request))?.endpoint.registration.id).toBe('e1');
  });

  /** Guards against a call that waits while endpoints elsewhere have room. */
  it.each([
    { needsSpareCapacity: false, expected: 'e0' },
    { needsSpareCapacity: true, expected: 'e1' },
  ])(
    'picks $expected when all local slots are in use and spare capacity is needed: $needsSpareCapacity',
    async ({ needsSpareCapacity, expected }) => {
      const { picker } = makePicker([{ running: 2 }, { domain: 'z2' }]);
      const pick = await picker.pick({ ...request, needsSpareCapacity });
      expect(pick?.endpoint.registration.id).toBe(expected);
    },
  );

  it('reuses a load report only for a short time', async () => {
    const { picker, probed } = makePicker([{}]);
    await picker.pick(request);
    await picker.pick(request);
    expect(probed).toHaveLength(1);
    clock.advance(100);
    await picker.pick(request);
    expect(probed).toHaveLength(2);
  });

  it('never picks an endpoint that was tried', async () => {
    const { picker } = makePicker([{}, { slowdown: 9 }]);
    const pick = await picker.pick({ ...request, tried: ['e0' as EndpointId] });
    expect(pick?.endpoint.registration.id).toBe('e1');
    expect(await picker.pick({ ...request, tried: ['e0', 'e1'] as EndpointId[] })).toBeUndefined();
  });

  /** Guards against refusing all calls when all endpoints shed some. */
  it('ignores shed calls that all endpoints have in common in the expected time', async () => {
    const { picker } = makePicker([{ outcomes: ['shed', 'shed'] }, { outcomes: ['shed', 'shed'] }]);
    const pick = await picker.pick(request);
    expect(pick?.expectedMs).toBeLessThan(70);
    expect(pick?.rankMs).toBeLessThan(70);
  });
});

describe('hasSpareCapacity', () => {
  it.each([
    { running: 0, expected: true },
    { running: 1, expected: true },
    { running: 2, expected: false },
    { running: 3, expected: false },
  ])('is $expected with $running of 3 slots in use', async ({ running, expected }) => {
    makePicker([{}]);
    const [endpoint] = endpoints as [Endpoint];
    endpoint.recordReport({ running, waiting: 0, slots: 3, slowdown: 1 });
    expect(hasSpareCapacity(endpoint)).toBe(expected);
  });
});

describe('LatencyEstimator', () => {
  /** Guards against estimates of slow routes that are lowered by calls of some milliseconds. */
  it('estimates each route separately', () => {
    const estimator = new LatencyEstimator();
    const slowRoute = makeRoute('slow', 1200);
    const fastRoute = makeRoute('fast', 1200);
    for (let call = 0; call < 100; call++) {
      estimator.recordCall(slowRoute, 380, 1);
      estimator.recordCall(fastRoute, 2, 1);
    }
    expect(estimator.estimateMs(slowRoute)).toBeCloseTo(380, 0);
    expect(estimator.estimateMs(fastRoute)).toBeLessThan(30);
  });

  /** Guards against picks by a wrong initial estimate while an instance has seen few calls. */
  it('starts from the target latency and adapts within a few responses', () => {
    const estimator = new LatencyEstimator();
    const route = makeRoute('r', 1000);
    expect(estimator.estimateMs(route)).toBe(300);
    for (let call = 0; call < 12; call++) estimator.recordCall(route, 400, 2);
    expect(estimator.estimateMs(route)).toBeLessThan(230);
  });

  /** Guards against a single very slow call that changes the estimate for all calls. */
  it('caps the time of an outlier', () => {
    const estimator = new LatencyEstimator();
    const route = makeRoute('r', 100);
    for (let call = 0; call < 100; call++) estimator.recordCall(route, 30, 1);
    estimator.recordCall(route, 30_000, 1);
    expect(estimator.estimateMs(route)).toBeLessThan(33);
  });
});

describe('calculateHedgeDelayMs', () => {
  it.each([
    {
      name: 'as late as the second attempt can meet the target',
      usual: 300,
      target: 800,
      expected: 395,
    },
    { name: 'not before most first attempts have ended', usual: 500, target: 800, expected: 650 },
    // Guards against a delay of half of a long target latency.
    { name: 'not long after the estimated latency', usual: 50, target: 800, expected: 125 },
  ])('is $name', ({ usual, target, expected }) => {
    expect(calculateHedgeDelayMs(usual, target)).toBeCloseTo(expected);
  });
});
