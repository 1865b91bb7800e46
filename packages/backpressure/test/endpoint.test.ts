import { EndpointBackpressure } from '@dotterelpass/backpressure';
import { ManualClock, makeRandom } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import { buildSignal } from './fixture.js';

/** Window in which an endpoint's requests are counted. */
const windowMs = 4000;

const stepMs = 20;

/** Instances that all want to send to one endpoint at every moment. */
class EagerFleet {
  readonly clock = new ManualClock();

  readonly #instances: readonly EndpointBackpressure[];

  constructor(fleetSize: number, seed: number) {
    const { clock } = this;
    const random = makeRandom(seed);
    this.#instances = Array.from(
      { length: fleetSize },
      () => new EndpointBackpressure({ clock, random, getFleetSize: () => fleetSize }),
    );
  }

  nameLimit(maxRequestsPerSecond: number): void {
    this.#instances.forEach((instance) =>
      instance.recordSignal(buildSignal({ maxRequestsPerSecond }), true),
    );
  }

  /** @returns The times of the requests that are sent until `durationMs` have passed. */
  send(durationMs: number): readonly number[] {
    const sentAt: number[] = [];
    const endAt = this.clock.now() + durationMs;
    while (this.clock.now() < endAt) {
      this.#instances.forEach((instance) => {
        while (sentAt.length < 1e6 && instance.takeRequest()) sentAt.push(this.clock.now());
      });
      this.clock.advance(stepMs);
    }
    return sentAt;
  }
}

function countMost(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((start) => times.filter((at) => at >= start && at < start + windowMs).length),
  );
}

describe('EndpointBackpressure', () => {
  const cases = [0.5, 3, 20, 60].flatMap((limit) =>
    [1, 5, 8, 9, 50, 125].map((fleetSize) => ({ limit, fleetSize })),
  );

  /** Guards against instances that keep to a limit each by itself, or send at the same moment. */
  it.each(cases)(
    'keeps $fleetSize instances together to a limit of $limit a second',
    ({ limit, fleetSize }) => {
      const allowed = (1.5 * limit * windowMs) / 1000 + 5;
      const most = [1, 2, 3, 4, 5].map((seed) => {
        const fleet = new EagerFleet(fleetSize, seed);
        fleet.nameLimit(limit);
        return countMost(fleet.send(30_000));
      });
      expect(Math.max(...most)).toBeLessThanOrEqual(allowed);
    },
  );

  /** Guards against requests that idle instances save up and send all at once. */
  it.each(cases)(
    'keeps $fleetSize instances to a limit of $limit after they were idle',
    ({ limit, fleetSize }) => {
      const fleet = new EagerFleet(fleetSize, 7);
      fleet.nameLimit(limit);
      fleet.clock.advance(100_000);
      expect(countMost(fleet.send(10_000))).toBeLessThanOrEqual(
        (1.5 * limit * windowMs) / 1000 + 5,
      );
    },
  );

  /** Guards against an old window whose requests a lower limit does not allow. */
  it('keeps to a limit that falls', () => {
    const fleet = new EagerFleet(125, 3);
    fleet.nameLimit(100);
    fleet.send(5000);
    fleet.nameLimit(2.5);
    expect(countMost(fleet.send(20_000))).toBeLessThanOrEqual(20);
  });

  /** Guards against a limit so strict that the endpoint gets almost nothing of what it can take. */
  it.each([
    { limit: 0.5, fleetSize: 5, share: 0.9 },
    { limit: 3, fleetSize: 5, share: 0.95 },
    { limit: 3, fleetSize: 8, share: 0.95 },
    { limit: 20, fleetSize: 5, share: 0.95 },
    { limit: 20, fleetSize: 50, share: 0.7 },
    { limit: 3, fleetSize: 125, share: 0.7 },
  ])('lets $fleetSize instances use a limit of $limit a second', ({ limit, fleetSize, share }) => {
    const fleet = new EagerFleet(fleetSize, 1);
    fleet.nameLimit(limit);
    expect(fleet.send(60_000).length).toBeGreaterThan(share * limit * 60);
  });

  /** Guards against a limit of zero that nobody would see the end of. */
  it('sends a few requests to an endpoint that names a limit of zero', () => {
    const fleet = new EagerFleet(5, 1);
    fleet.nameLimit(0);
    const sent = fleet.send(60_000);
    expect(sent.length).toBeGreaterThan(5);
    expect(countMost(sent)).toBeLessThanOrEqual(5);
  });

  it.each([
    { name: 'an answer without a limit', mayEndLimit: true, limit: undefined, isProbed: true },
    // Guards against probes whose answers never name a limit.
    { name: 'an answer that may lack the limit', mayEndLimit: false, limit: 3, isProbed: false },
  ])('has after $name a limit of $limit', ({ mayEndLimit, limit, isProbed }) => {
    const clock = new ManualClock();
    const endpoint = new EndpointBackpressure({
      clock,
      random: makeRandom(1),
      getFleetSize: () => 1,
    });
    endpoint.recordSignal(buildSignal({ maxRequestsPerSecond: 3 }), true);
    endpoint.recordSignal(buildSignal({ maxRequestsPerSecond: undefined }), mayEndLimit);
    expect(endpoint.limit).toBe(limit);
    expect(endpoint.allowsProbes).toBe(isProbed);
  });

  /** Guards against a log line for each answer of an endpoint whose limit wavers. */
  it('reports the start, a large change and the end of a limit', () => {
    const options = { clock: new ManualClock(), random: makeRandom(1), getFleetSize: () => 1 };
    const endpoint = new EndpointBackpressure(options);
    const limits = [3, 3.1, 2.9, 1.5, 1.6, undefined, undefined];
    const changes = limits.flatMap((limit) =>
      endpoint.recordSignal(buildSignal({ maxRequestsPerSecond: limit }), true),
    );
    expect(changes).toEqual([
      { kind: 'limit', maxRequestsPerSecond: 3 },
      { kind: 'limit', maxRequestsPerSecond: 1.5 },
      { kind: 'limit-ended' },
    ]);
  });

  /** Guards against requests to an endpoint that has said in an answer that it leaves. */
  it.each([
    { name: 'a probe', mayEndLimit: false },
    { name: 'a call', mayEndLimit: true },
  ])(
    'allows nothing to an endpoint that leaves, from its answer to $name on',
    ({ mayEndLimit }) => {
      const options = { clock: new ManualClock(), random: makeRandom(1), getFleetSize: () => 1 };
      const endpoint = new EndpointBackpressure(options);
      expect(endpoint.takeRequest()).toBe(true);
      expect(endpoint.recordSignal(buildSignal({ isLeaving: true }), mayEndLimit)).toEqual([
        { kind: 'leaving' },
      ]);
      // An answer that was under way says nothing of it.
      expect(endpoint.recordSignal(buildSignal({}), mayEndLimit)).toEqual([]);
      options.clock.advance(60_000);
      expect(endpoint.takeRequest()).toBe(false);
      expect(endpoint.allowsProbes).toBe(false);
      expect(endpoint.findNextRequestAt()).toBe(Infinity);
    },
  );

  /** Guards against requests to an endpoint that wants none for some time. */
  it.each([
    { name: 'one answer', quiets: [4000], quietMs: 4000 },
    { name: 'a shorter time after a longer one', quiets: [4000, 100], quietMs: 4000 },
    { name: 'a longer time after a shorter one', quiets: [100, 4000], quietMs: 4000 },
    { name: 'a time without end', quiets: [1e12], quietMs: 600_000 },
    { name: 'no time', quiets: [0], quietMs: 0 },
  ])('allows nothing for the time that an endpoint wants: $name', ({ quiets, quietMs }) => {
    const options = { clock: new ManualClock(), random: makeRandom(1), getFleetSize: () => 1 };
    const endpoint = new EndpointBackpressure(options);
    const changes = quiets.flatMap((ms) =>
      endpoint.recordSignal(buildSignal({ quietMs: ms }), true),
    );
    expect(changes).toHaveLength(quietMs > 0 ? 1 : 0);
    options.clock.advance(Math.max(0, quietMs - 1));
    expect(endpoint.takeRequest()).toBe(quietMs === 0);
    expect(endpoint.allowsProbes).toBe(quietMs === 0);
    options.clock.advance(1);
    expect(endpoint.takeRequest()).toBe(true);
    expect(endpoint.allowsProbes).toBe(true);
  });
});
