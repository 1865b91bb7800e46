import { ManualClock, makeRandom } from '@dotterelpass/values';
import type { EndpointId, FailureDomain, ServiceId } from '@dotterelpass/values';
import { afterEach, describe, expect, it } from 'vitest';
import type { Route, RouteName } from '../src/catalog.js';
import { Endpoint } from '../src/endpoint.js';
import type { AttemptEnding } from '../src/endpoint.js';
import { calculateHedgeDelayMs } from '../src/hedge.js';
import { Picker, hasSpareCapacity } from '../src/picker.js';
import { LatencyEstimator } from '../src/latency.js';

const service = 'a' as ServiceId;
const clock = new ManualClock();
let opened: Endpoint[] = [];

afterEach(() => {
  opened.forEach((endpoint) => endpoint.close());
  opened = [];
});

interface Shape {
  readonly domain?: string;
  readonly running?: number;
  readonly slowdown?: number;
  readonly endings?: readonly AttemptEnding[];
  readonly warmupMs?: number;
  readonly answers?: boolean;
}

interface Fixture {
  readonly picker: Picker;
  readonly probed: string[];
}

/** Endpoints named e0, e1 and so on; each reports its load when it is asked. */
function makePicker(shapes: readonly Shape[]): Fixture {
  const probed: string[] = [];
  opened = shapes.map(({ domain = 'z1', warmupMs = 0 }, index) => {
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
    return new Endpoint(registration, 4, clock);
  });
  opened.forEach((endpoint, index) => {
    shapes[index]?.endings?.forEach((ending) => {
      endpoint.startCall();
      endpoint.endCall(ending);
    });
  });
  const picker = new Picker({
    failureDomain: 'z1' as FailureDomain,
    random: makeRandom(3),
    latency: new LatencyEstimator(),
    listEndpoints: () => opened,
    async probeEndpoint(endpoint) {
      const index = opened.indexOf(endpoint);
      const { running = 0, slowdown = 1, answers = true } = shapes[index] as Shape;
      probed.push(`e${index}`);
      if (answers) endpoint.recordReport({ running, waiting: 0, slots: 3, slowdown });
      else endpoint.recordUnreachable();
      return answers;
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

const need = { service, route: makeRoute('r'), tried: [] };

describe('Picker', () => {
  it.each([
    { name: 'the faster of two', shapes: [{ slowdown: 4 }, {}], expected: 'e1' },
    { name: 'the one with free slots', shapes: [{ running: 2 }, { running: 0 }], expected: 'e1' },
    // Full slots slow all calls of an endpoint down, so a free one is worth some slowness.
    {
      name: 'a slightly slower one with room',
      shapes: [{ running: 3 }, { slowdown: 1.4 }],
      expected: 'e1',
    },
    { name: 'the warm one', shapes: [{ warmupMs: 3000 }, {}], expected: 'e1' },
    {
      name: 'the one that did not fail',
      shapes: [{ endings: ['failed' as const] }, { slowdown: 2 }],
      expected: 'e1',
    },
    // Guards against a call on an endpoint that has gone dark.
    { name: 'the one that answers', shapes: [{ answers: false }, { slowdown: 4 }], expected: 'e1' },
    {
      name: 'a near one that is good enough',
      shapes: [{ slowdown: 2 }, { domain: 'z2' }],
      expected: 'e0',
    },
    // Guards against a long call on an endpoint that is slow now, on which it stays slow to its end.
    {
      name: 'a far one when all near ones are slow',
      shapes: [{ slowdown: 4 }, { domain: 'z2' }],
      expected: 'e1',
    },
    { name: 'a far one in need', shapes: [{ slowdown: 6 }, { domain: 'z2' }], expected: 'e1' },
    { name: 'a far one when there is no near one', shapes: [{ domain: 'z2' }], expected: 'e0' },
  ])('takes $name', async ({ shapes, expected }) => {
    const { picker } = makePicker(shapes);
    expect((await picker.pick(need))?.endpoint.registration.id).toBe(expected);
  });

  /** Guards the bytes between failure domains: nobody far is asked without need. */
  it('asks no far endpoint while a near one is good enough', async () => {
    const { picker, probed } = makePicker([{}, { domain: 'z2' }, { domain: 'z2' }]);
    await picker.pick(need);
    expect(probed).toEqual(['e0']);
  });

  it('asks only some of a large group', async () => {
    const { picker, probed } = makePicker(Array.from({ length: 40 }, () => ({})));
    await picker.pick(need);
    expect(probed).toHaveLength(4);
  });

  it('uses a report again for a short time only', async () => {
    const { picker, probed } = makePicker([{}]);
    await picker.pick(need);
    await picker.pick(need);
    expect(probed).toHaveLength(1);
    clock.advance(100);
    await picker.pick(need);
    expect(probed).toHaveLength(2);
  });

  it('never takes one that was tried', async () => {
    const { picker } = makePicker([{}, { slowdown: 9 }]);
    const pick = await picker.pick({ ...need, tried: ['e0' as EndpointId] });
    expect(pick?.endpoint.registration.id).toBe('e1');
    expect(await picker.pick({ ...need, tried: ['e0', 'e1'] as EndpointId[] })).toBeUndefined();
  });

  /** Guards against refusing all calls when all endpoints refuse some. */
  it('does not count refusals that all endpoints have in common as expected time', async () => {
    const { picker } = makePicker([{ endings: ['shed', 'shed'] }, { endings: ['shed', 'shed'] }]);
    const pick = await picker.pick(need);
    expect(pick?.expectedMs).toBeLessThan(70);
    expect(pick?.rankMs).toBeLessThan(70);
  });
});

describe('hasRoom', () => {
  it.each([
    { running: 0, expected: true },
    { running: 1, expected: true },
    { running: 2, expected: false },
    { running: 3, expected: false },
  ])('with $running of 3 running is $expected', async ({ running, expected }) => {
    makePicker([{}]);
    const [endpoint] = opened as [Endpoint];
    endpoint.recordReport({ running, waiting: 0, slots: 3, slowdown: 1 });
    expect(hasSpareCapacity(endpoint)).toBe(expected);
  });
});

describe('WorkTimes', () => {
  /** Guards against estimates for long calls that calls of some milliseconds pull down. */
  it('keeps routes apart', () => {
    const work = new LatencyEstimator();
    const long = makeRoute('long', 1200);
    const short = makeRoute('short', 1200);
    for (let call = 0; call < 100; call++) {
      work.recordCall(long, 380, 1);
      work.recordCall(short, 2, 1);
    }
    expect(work.estimateMs(long)).toBeCloseTo(380, 0);
    expect(work.estimateMs(short)).toBeLessThan(30);
  });

  /** Guards against choices by a wild guess while an instance has seen few calls. */
  it('starts from the target latency and learns from a few answers', () => {
    const work = new LatencyEstimator();
    const route = makeRoute('r', 1000);
    expect(work.estimateMs(route)).toBe(300);
    for (let call = 0; call < 12; call++) work.recordCall(route, 400, 2);
    expect(work.estimateMs(route)).toBeLessThan(230);
  });

  /** Guards against a single straggler that changes the estimate for all calls. */
  it('counts a straggler for a bounded time', () => {
    const work = new LatencyEstimator();
    const route = makeRoute('r', 100);
    for (let call = 0; call < 100; call++) work.recordCall(route, 30, 1);
    work.recordCall(route, 30_000, 1);
    expect(work.estimateMs(route)).toBeLessThan(33);
  });
});

describe('findHedgeMs', () => {
  it.each([
    { name: 'as late as the second can be in time', usual: 300, target: 800, expected: 395 },
    { name: 'not before most first ones have ended', usual: 500, target: 800, expected: 650 },
    // Guards against waiting half of a long target latency.
    { name: 'not long after the usual work', usual: 50, target: 800, expected: 125 },
  ])('is $name', ({ usual, target, expected }) => {
    expect(calculateHedgeDelayMs(usual, target)).toBeCloseTo(expected);
  });
});
