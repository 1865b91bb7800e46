import { describe, expect, it } from 'vitest';
import { createLogger, Metrics } from '@dotterelpass/telemetry';
import type { MessageHandler } from '@dotterelpass/peers';
import { ManualClock, findRule, makeRandom, serviceSchema } from '@dotterelpass/values';
import type { EndpointId, Incarnation, InstanceId, Service, TenantId } from '@dotterelpass/values';
import { Balancer } from '../src/balancer.js';
import type { PolicyName } from '../src/balancer.js';
import type { Slot, SlotOutcome, SlotRequest } from '../src/source.js';

function makeService(endpoints: number, change: Record<string, unknown> = {}): Service {
  return serviceSchema.parse({
    name: 'status',
    endpoints: Array.from({ length: endpoints }, (_, index) => ({
      id: `e${index}`,
      address: `127.0.0.1:${7001 + index}`,
      failureDomain: 'cercado',
    })),
    ...change,
  });
}

/** Balancers in memory; messages arrive at once unless the links are cut. */
class Fleet {
  readonly clock = new ManualClock();

  readonly balancers = new Map<InstanceId, Balancer>();

  service: Service;

  isCut = false;

  #live: readonly InstanceId[];

  readonly #listeners: (() => void)[] = [];

  constructor(service: Service, size: number, policy: PolicyName = 'credits') {
    this.service = service;
    this.#live = Array.from({ length: size }, (_, index) => `entry-${index}` as InstanceId);
    const handlers = new Map<InstanceId, Map<string, MessageHandler>>();
    this.#live.forEach((self, index) => {
      const own = new Map<string, MessageHandler>();
      handlers.set(self, own);
      const members = {
        self,
        findIncarnation: () => undefined,
        watch: (listener: () => void) => this.#listeners.push(listener),
      };
      Object.defineProperty(members, 'live', { get: () => this.#live });
      const balancer = new Balancer({
        hub: {
          handle: (type, handler) => own.set(type, handler),
          send: (peer, type, body = {}) => {
            const from = { instance: self, incarnation: 'i' as Incarnation };
            if (!this.isCut) void handlers.get(peer)?.get(type)?.(body, from);
          },
        },
        members: members as unknown as { live: readonly InstanceId[] } & typeof members,
        policy,
        failureDomain: 'cercado',
        delays: new Map(),
        clock: this.clock,
        random: makeRandom(index),
        log: createLogger('test'),
        metrics: new Metrics(),
        listServices: () => [this.service],
      });
      this.balancers.set(self, balancer);
    });
    this.pass(5000);
  }

  find(index: number): Balancer {
    return [...this.balancers.values()][index] as Balancer;
  }

  setLive(live: readonly string[]): void {
    this.#live = live as InstanceId[];
    this.#listeners.forEach((listener) => listener());
  }

  pass(ms: number): void {
    for (let passed = 0; passed < ms; passed += 10) {
      this.clock.advance(10);
      this.balancers.forEach((balancer) => balancer.advance());
    }
  }

  makeRequest(change: Partial<SlotRequest> = {}): SlotRequest {
    return {
      service: this.service,
      rule: findRule(this.service, 'GET', '/'),
      tenant: 'default' as TenantId,
      deadlineAt: this.clock.now() + 10_000,
      tried: [] as EndpointId[],
      signal: new AbortController().signal,
      ...change,
    };
  }

  /** Asks for slots and lets messages pass until as many as possible have been given. */
  async acquire(index: number, count: number, change: Partial<SlotRequest> = {}) {
    const given: Slot[] = [];
    const refused: string[] = [];
    const pending = Array.from({ length: count }, async () => {
      const slot = await this.find(index).acquire(this.makeRequest(change));
      slot.match(
        (one) => given.push(one),
        ({ verdict }) => refused.push(verdict),
      );
    });
    for (let step = 0; step < 10; step++) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      this.pass(10);
    }
    return { given, refused, pending };
  }
}

const answered: SlotOutcome = { result: 'answered', status: 200 };

function makeReport(fields: Record<string, number>): string {
  return `JSON ${JSON.stringify({ named_metrics: { slots_in_use: 0, ...fields } })}`;
}

describe('slots of a fleet', () => {
  /** Guards goodput when callers reach one instance only: it borrows every idle slot. */
  it.each([1, 2, 5])('gives all slots to one of %i instances', async (size) => {
    const fleet = new Fleet(makeService(4), size);
    const { given } = await fleet.acquire(0, 12);
    expect(given).toHaveLength(12);
    const perEndpoint = [0, 1, 2, 3].map(
      (index) => given.filter(({ endpoint }) => endpoint.id === `e${index}`).length,
    );
    expect(perEndpoint).toEqual([3, 3, 3, 3]);
  });

  /** Guards endpoints against more calls than they have slots, while none waits too long. */
  it('holds further calls until a slot is free, and lends it where calls wait', async () => {
    const fleet = new Fleet(makeService(2), 3);
    const first = await fleet.acquire(0, 6);
    expect(first.given).toHaveLength(6);
    const second = await fleet.acquire(1, 2);
    expect(second.given).toHaveLength(0);
    first.given.forEach((slot) => slot.release(answered));
    fleet.pass(600);
    await Promise.all(second.pending);
    expect(second.given).toHaveLength(2);
  });

  /** Guards capacity when an instance dies: its slots move to the survivors. */
  it('uses the slots of a dead instance', async () => {
    const fleet = new Fleet(makeService(4), 3);
    fleet.isCut = true;
    const before = await fleet.acquire(0, 12);
    expect(before.given.length).toBeLessThan(12);
    fleet.setLive(['entry-0']);
    await Promise.all(before.pending);
    expect(before.given).toHaveLength(12);
  });

  /** Guards the verdict: a call that is refused has never had a slot. */
  it('refuses with not-run what cannot be served in time', async () => {
    const fleet = new Fleet(makeService(1), 1);
    const first = await fleet.acquire(0, 3);
    const deadlineAt = fleet.clock.now() + 50;
    const second = await fleet.acquire(0, 2, { deadlineAt });
    await Promise.all(second.pending);
    expect(second).toMatchObject({ given: [], refused: ['not-run', 'not-run'] });
    first.given.forEach((slot) => slot.release(answered));
    expect((await fleet.acquire(0, 3)).given).toHaveLength(3);
  });

  /** Guards other calls against a request that may crash the endpoint that they run on. */
  it('gives a call an endpoint of its own', async () => {
    const fleet = new Fleet(makeService(2), 3);
    const others = await fleet.acquire(1, 2);
    const busy = others.given.map(({ endpoint }) => endpoint.id);
    others.given[0]?.release(answered);
    const alone = fleet.find(0).acquire(fleet.makeRequest({ alone: true }));
    let slot: Slot | undefined;
    void alone.then((answer) => {
      if (answer.isOk()) slot = answer.value;
    });
    while (!slot) {
      fleet.pass(10);
      await new Promise((resolve) => {
        setTimeout(resolve, 1);
      });
    }
    expect(slot.endpoint.id).not.toBe(busy[1]);
    const during = await fleet.acquire(1, 6);
    expect(during.given.map(({ endpoint }) => endpoint.id)).not.toContain(slot.endpoint.id);
    slot.release(answered);
  });
});

describe('leaving endpoints', () => {
  const policies: PolicyName[] = ['credits', 'round-robin'];
  const news: { name: string; outcome: SlotOutcome }[] = [
    { name: 'a report', outcome: { ...answered, report: makeReport({ draining: 1 }) } },
    { name: '503 with close', outcome: { result: 'shed', status: 503, leaving: true } },
  ];

  /** Guards I5: no instance gives an endpoint new work once one has learned that it leaves. */
  it.each(policies.flatMap((policy) => news.map((row) => ({ policy, ...row }))))(
    'get no work after $name with $policy',
    async ({ policy, outcome }) => {
      const fleet = new Fleet(makeService(3), 3, policy);
      const [slot] = (await fleet.acquire(0, 1)).given as [Slot];
      slot.release(outcome);
      fleet.pass(300);
      for (const index of [0, 1, 2]) {
        const { given } = await fleet.acquire(index, 2);
        expect(given.map(({ endpoint }) => endpoint.id)).not.toContain(slot.endpoint.id);
      }
      const { endpointsLeaving } = fleet.find(1);
      const { address } = slot.endpoint;
      expect(endpointsLeaving.restore(address, fleet.clock.now() - 10_000)).toBe(false);
      expect(endpointsLeaving.restore(address, fleet.clock.now())).toBe(true);
    },
  );

  /** Guards against an endpoint that stays away after its operator brought it back. */
  it('come back when an operator adds them', async () => {
    const fleet = new Fleet(makeService(1), 1);
    const [slot] = (await fleet.acquire(0, 1)).given as [Slot];
    slot.release(news[0]?.outcome as SlotOutcome);
    expect((await fleet.acquire(0, 1)).refused).toEqual(['not-run']);
    const [endpoint] = fleet.service.endpoints;
    fleet.service = { ...fleet.service, endpoints: [{ ...endpoint!, state: 'draining' }] };
    fleet.pass(10);
    fleet.service = makeService(1);
    expect((await fleet.acquire(0, 1)).given).toHaveLength(1);
  });
});

describe('reports', () => {
  /** Guards against an endpoint that claims to be idle, and one that claims to be full. */
  it.each([
    { name: 'idle', busy: 0, queued: 0, given: 6 },
    // One on it, three on the other and an extra one there, since calls wait.
    { name: 'full of foreign calls', busy: 3, queued: 9, given: 5 },
    { name: 'as busy as we know', busy: 1, queued: 0, given: 6 },
  ])('give $given slots when one of two endpoints says it is $name', async (row) => {
    const fleet = new Fleet(makeService(2), 1);
    const first = (await fleet.acquire(0, 1)).given[0] as Slot;
    const report = makeReport({ slots_in_use: row.busy, queued: row.queued });
    first.release({ ...answered, report });
    const next = await fleet.acquire(0, 6);
    expect(next.given).toHaveLength(row.given);
  });
});
