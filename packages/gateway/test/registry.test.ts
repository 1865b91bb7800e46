import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { createLogger, setLogDestination } from '@dotterelpass/telemetry';
import { makeRandom, systemClock } from '@dotterelpass/values';
import type { EndpointId, FailureDomain, ServiceId } from '@dotterelpass/values';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { getIncarnation } from '../src/catalog.js';
import type { Registration } from '../src/catalog.js';
import { EndpointRegistry } from '../src/registry.js';

const [serviceA, serviceB] = ['a', 'b'] as [ServiceId, ServiceId];

let registry: EndpointRegistry;
let restarted: Registration[];

beforeEach(() => {
  setLogDestination({ write: () => undefined });
  restarted = [];
  registry = new EndpointRegistry({
    clock: systemClock,
    random: makeRandom(1),
    log: createLogger('test'),
    getFleetSize: () => 1,
    calculateConnectionLimit: () => 1,
    onListed: () => undefined,
    onConnectionLost: () => undefined,
    onRestart: (endpoint) => restarted.push(endpoint.registration),
  });
});

afterEach(() => registry.close());

const makeRegistration = (
  id: string,
  domain: string,
  change: Partial<Registration> = {},
): Registration => ({
  id: id as EndpointId,
  service: serviceA,
  address: '127.0.0.1:1',
  failureDomain: domain as FailureDomain,
  slots: 3,
  state: 'ready',
  startedAtMs: 1,
  warmupMs: 0,
  ...change,
});

const evacuate = (...domains: string[]) =>
  registry.setEvacuated(new Set(domains as FailureDomain[]));

const listReady = (service = serviceA) =>
  registry.listReady(service).map(({ registration: { id } }) => id);

describe('endpoints of evacuated failure domains', () => {
  const all = [
    makeRegistration('e1', 'z1'),
    makeRegistration('e2', 'z2'),
    makeRegistration('e3', 'z1', { service: serviceB }),
  ];

  /** Guards against picks, probes, retries and hedges of endpoints that operators take away. */
  it.each([
    { domains: [], ready: ['e1', 'e2'], a: undefined, b: undefined },
    { domains: ['z1'], ready: ['e2'], a: undefined, b: ['z1'] },
    { domains: ['z2', 'z1'], ready: [], a: ['z1', 'z2'], b: ['z1'] },
    { domains: ['z9'], ready: ['e1', 'e2'], a: undefined, b: undefined },
  ])('are not listed when $domains are evacuated', ({ domains, ready, a, b }) => {
    registry.setRegistrations(all);
    evacuate(...domains);
    expect(listReady()).toEqual(ready);
    expect([serviceA, serviceB].map((service) => registry.findEvacuation(service))).toEqual([a, b]);
    evacuate();
    expect(listReady()).toEqual(['e1', 'e2']);
  });

  /** Guards against an endpoint that is used because it was registered after the evacuation. */
  it('are not listed when they register later, move there, or come back', () => {
    evacuate('z1');
    registry.setRegistrations(all);
    expect(listReady()).toEqual(['e2']);
    registry.setRegistrations([makeRegistration('e1', 'z2'), makeRegistration('e2', 'z1')]);
    expect(listReady()).toEqual(['e1']);
  });

  /** Guards against a refusal that names an evacuation which is not the cause. */
  it('explain no missing endpoint of a service that has none registered', () => {
    evacuate('z1');
    registry.setRegistrations([makeRegistration('e1', 'z1', { state: 'draining' })]);
    expect(registry.findEvacuation(serviceA)).toBeUndefined();
  });

  /**
   * Guards against a call that is sent late because it waited for a connection, against calls in flight
   * that are cut off, and against endpoints that seem cut off after the evacuation.
   */
  it('get no request that waited for a connection, and end those in flight', async () => {
    const paths: string[] = [];
    const server: Server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        paths.push(chunk.toString().split(' ')[1] ?? '');
        setTimeout(() => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'), 200);
      });
    });
    server.listen(0, '127.0.0.1');
    await vi.waitFor(() => expect(server.listening).toBe(true));
    const { port } = server.address() as AddressInfo;
    registry.setRegistrations([
      makeRegistration('e1', 'z1', { address: `127.0.0.1:${port}`, service: serviceA }),
    ]);
    const [endpoint] = registry.listReady(serviceA);
    const send = async (path: string) => {
      const result = await endpoint?.pool.send({
        method: 'GET',
        path,
        headers: [],
        body: { kind: 'none' },
        timeoutMs: 2000,
      });
      // A response that is not read keeps the connection from the request that waits for it.
      if (result?.isOk()) result.value.resume();
      return result;
    };
    const first = send('/first');
    await vi.waitFor(() => expect(paths).toEqual(['/first']));
    const second = send('/second');
    evacuate('z1');
    const [unsent, inFlight] = [await second, await first];
    expect(unsent?.isErr() && unsent.error).toMatchObject({ verdict: 'not-run' });
    expect(inFlight?.isOk() && inFlight.value.statusCode).toBe(200);
    endpoint?.recordUnreachable();
    expect(endpoint?.isReachable).toBe(true);
    expect(paths).toEqual(['/first']);
    evacuate();
    server.close();
  });
});

describe('incarnations of endpoints', () => {
  it.each([
    { startedAtMs: undefined, expected: 'i-1' },
    { startedAtMs: 17, expected: 'i-1@17' },
  ])('are named $expected', ({ startedAtMs, expected }) => {
    expect(getIncarnation(makeRegistration('i-1', 'z1', { startedAtMs }))).toBe(expected);
  });

  it('tells which one a new one replaces', () => {
    [1, 1, 2].forEach((startedAtMs) => {
      registry.setRegistrations([makeRegistration('i-1', 'z1', { startedAtMs })]);
    });
    expect(restarted.map(getIncarnation)).toEqual(['i-1@1']);
  });
});
