import { ManualClock } from '@dotterelpass/values';
import type { EndpointId, FailureDomain, ServiceId } from '@dotterelpass/values';
import { Metrics } from '@dotterelpass/telemetry';
import { beforeEach, describe, expect, it } from 'vitest';
import { Endpoint } from '../src/endpoint.js';
import { ReachMonitor } from '../src/reach.js';
import { createBackpressure } from './backpressure.js';

const service = 'a' as ServiceId;

const idleReport = { running: 0, waiting: 0, slots: 3, slowdown: 1 };

let clock: ManualClock;

let endpoints: readonly Endpoint[];

/** Ids of the endpoints that were probed, in order. */
let probed: string[];

/** Log events, in order. */
let events: string[];

let monitor: ReachMonitor;

function createEndpoint(index: number): Endpoint {
  const registration = {
    id: `e${index}` as EndpointId,
    service,
    address: `127.0.0.1:${index + 1}`,
    failureDomain: 'z1' as FailureDomain,
    slots: 3,
    state: 'ready' as const,
    startedAtMs: undefined,
    warmupMs: 0,
  };
  return new Endpoint(registration, 4, clock, createBackpressure(clock));
}

beforeEach(() => {
  clock = new ManualClock();
  probed = [];
  events = [];
  const recordEvent = (event: string) => {
    events.push(event);
  };
  monitor = new ReachMonitor({
    clock,
    log: { debug: recordEvent, info: recordEvent, warn: recordEvent, error: recordEvent },
    metrics: new Metrics(),
    listEndpoints: () => endpoints,
    probeEndpoint: async ({ registration }) => {
      probed.push(registration.id);
      return false;
    },
  });
});

/** Applies one step per endpoint and millisecond: `u` unreachable, `a` answered, `c` a shed call. */
function applySteps(steps: string): void {
  [...steps].forEach((step, index) => {
    clock.advance(1);
    const endpoint = endpoints[index % endpoints.length] as Endpoint;
    if (step === 'u') endpoint.recordUnreachable();
    if (step === 'a') endpoint.recordReport(idleReport);
    if (step === 'c') {
      endpoint.startCall();
      endpoint.endCall('shed');
    }
  });
}

function failLastProbe(): void {
  endpoints.find(({ registration: { id } }) => id === probed.at(-1))?.recordUnreachable();
}

describe('ReachMonitor', () => {
  /** Guards against a cut that is not noticed, and against one that single failures feign. */
  it.each([
    { name: 'nothing known', count: 4, steps: '', reach: 'all' },
    { name: 'no endpoint', count: 0, steps: '', reach: 'all' },
    { name: 'two of four unreachable', count: 4, steps: 'uu', reach: 'all' },
    { name: 'three of four unreachable', count: 4, steps: 'uuu', reach: 'none' },
    { name: 'the only one unreachable', count: 1, steps: 'u', reach: 'none' },
    { name: 'an answer before the failures', count: 4, steps: 'auuu', reach: 'none' },
    { name: 'an answer before and after', count: 4, steps: 'auua', reach: 'all' },
    { name: 'an answer between the failures', count: 4, steps: 'uau.u', reach: 'all' },
    { name: 'a shed call after the failures', count: 4, steps: 'uuuc', reach: 'few' },
    { name: 'three of four unreachable, one answers', count: 4, steps: 'uuua', reach: 'few' },
    { name: 'three of eight unreachable, five answer', count: 8, steps: 'uuuaaaaa', reach: 'all' },
    { name: 'three of eight unreachable, two answer', count: 8, steps: 'uuuaa', reach: 'few' },
    { name: 'answers of unreachable endpoints', count: 4, steps: 'uuuaaaa', reach: 'all' },
    { name: 'failures that go on after an answer', count: 4, steps: 'uuuauuu', reach: 'none' },
  ])('decides whether a service is out of reach: $name', ({ count, steps, reach }) => {
    endpoints = Array.from({ length: count }, (_, index) => createEndpoint(index));
    applySteps(steps);
    expect(monitor.checkReach(service)).toBe(reach);
    expect(monitor.listOutOfReach()).toEqual(reach === 'all' ? [] : [service]);
  });

  /** Guards against probes for each call, and against a return that nobody notices. */
  it('probes the endpoints in turn until one answers', () => {
    endpoints = Array.from({ length: 3 }, (_, index) => createEndpoint(index));
    applySteps('uuu');
    for (let ms = 0; ms < 300; ms++) {
      monitor.checkReach(service);
      clock.advance(1);
      if (ms % 100 === 50) failLastProbe();
    }
    expect(probed).toEqual(['e0', 'e1', 'e2']);
    endpoints[1]?.recordReport(idleReport);
    endpoints[2]?.recordReport(idleReport);
    expect(monitor.checkReach(service)).toBe('all');
    expect(events).toEqual(['service-out-of-reach', 'service-back-in-reach']);
  });

  /** Guards against a service that stays out of reach because its endpoints may not be probed. */
  it('lets some calls try the endpoints when these may not be probed', () => {
    endpoints = Array.from({ length: 3 }, (_, index) => createEndpoint(index));
    const limit = { maxRequestsPerSecond: 3, isLeaving: false, quietMs: 0 };
    endpoints.forEach(({ backpressure }) => backpressure.recordSignal(limit, false));
    applySteps('uuu');
    const trials: number[] = [];
    for (let ms = 0; ms < 300; ms++) {
      if (monitor.checkReach(service) === 'all') trials.push(ms);
      clock.advance(1);
    }
    expect(trials).toEqual([0, 100, 200]);
    expect(probed).toEqual([]);
    expect(events).toEqual(['service-out-of-reach']);
  });
});
