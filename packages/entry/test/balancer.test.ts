import { describe, expect, it } from 'vitest';
import { createLogger, Metrics } from '@dotterelpass/telemetry';
import type { MessageHandler } from '@dotterelpass/peers';
import { ManualClock, findRule, makeRandom, serviceSchema } from '@dotterelpass/values';
import type { EndpointId, Incarnation, InstanceId, Service, TenantId } from '@dotterelpass/values';
import { Balancer } from '../src/balancer.js';
import type { PolicyName } from '../src/balancer.js';
import type { Slot, SlotOutcome, SlotRequest } from '../src/slot.js';

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

/** A fleet of balancers in memory. Messages arrive at once unless the fleet is partitioned. */
class TestFleet {
  readonly clock = new ManualClock();

  readonly balancers = new Map<InstanceId, Balancer>();

  service: Service;

  isPartitioned = false;

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
        transport: {
          handle: (type, handler) => own.set(type, handler),
          send: (peer, type, body = {}) => {
            const from = { instance: self, incarnation: 'i' as Incarnation };
            if (!this.isPartitioned) void handlers.get(peer)?.get(type)?.(body, from);
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
    this.advance(5000);
  }

  find(index: number): Balancer {
    return [...this.balancers.values()][index] as Balancer;
  }

  setLive(live: readonly string[]): void {
    this.#live = live as InstanceId[];
    this.#listeners.forEach((listener) => listener());
  }

  advance(ms: number): void {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) {
      this.clock.advance(10);
      this.balancers.forEach((balancer) => balancer.tick());
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

  /** Requests slots and advances the time until as many as possible have been granted. */
  async acquire(index: number, count: number, change: Partial<SlotRequest> = {}) {
    const granted: Slot[] = [];
    const refused: string[] = [];
    const pending = Array.from({ length: count }, async () => {
      const slot = await this.find(index).acquire(this.makeRequest(change));
      slot.match(
        (acquired) => granted.push(acquired),
        ({ verdict }) => refused.push(verdict),
      );
    });
    for (let step = 0; step < 10; step++) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      this.advance(10);
    }
    return { granted, refused, pending };
  }
}

const answered: SlotOutcome = { result: 'answered', status: 200 };

function makeReport(fields: Record<string, number>): string {
  return `JSON ${JSON.stringify({ named_metrics: { slots_in_use: 0, ...fields } })}`;
}

describe('slots of a fleet', () => {
  /** Guards against lost goodput if callers reach only one instance: it borrows all idle slots. */
  it.each([1, 2, 5])('grants all slots to one of %i instances', async (size) => {
    const fleet = new TestFleet(makeService(4), size);
    const { granted } = await fleet.acquire(0, 12);
    expect(granted).toHaveLength(12);
    const perEndpoint = [0, 1, 2, 3].map(
      (index) => granted.filter(({ endpoint }) => endpoint.id === `e${index}`).length,
    );
    expect(perEndpoint).toEqual([3, 3, 3, 3]);
  });

  /** Guards against more calls on an endpoint than it has slots, and against calls left waiting. */
  it('queues further calls, and lends freed slots to the instance with queued calls', async () => {
    const fleet = new TestFleet(makeService(2), 3);
    const first = await fleet.acquire(0, 6);
    expect(first.granted).toHaveLength(6);
    const second = await fleet.acquire(1, 2);
    expect(second.granted).toHaveLength(0);
    first.granted.forEach((slot) => slot.release(answered));
    fleet.advance(600);
    await Promise.all(second.pending);
    expect(second.granted).toHaveLength(2);
  });

  /** Guards against lost capacity when an instance dies: its slots move to the survivors. */
  it('reassigns the slots of a dead instance', async () => {
    const fleet = new TestFleet(makeService(4), 3);
    fleet.isPartitioned = true;
    const before = await fleet.acquire(0, 12);
    expect(before.granted.length).toBeLessThan(12);
    fleet.setLive(['entry-0']);
    await Promise.all(before.pending);
    expect(before.granted).toHaveLength(12);
  });

  /** Guards against a wrong verdict: a refused call never held a slot. */
  it('refuses calls that cannot be served before their deadline with not-run', async () => {
    const fleet = new TestFleet(makeService(1), 1);
    const first = await fleet.acquire(0, 3);
    const deadlineAt = fleet.clock.now() + 50;
    const second = await fleet.acquire(0, 2, { deadlineAt });
    await Promise.all(second.pending);
    expect(second).toMatchObject({ granted: [], refused: ['not-run', 'not-run'] });
    first.granted.forEach((slot) => slot.release(answered));
    expect((await fleet.acquire(0, 3)).granted).toHaveLength(3);
  });

  /** Guards against the loss of other calls on an endpoint that a suspect request crashes. */
  it('grants a call exclusive use of an endpoint', async () => {
    const fleet = new TestFleet(makeService(2), 3);
    const others = await fleet.acquire(1, 2);
    const busy = others.granted.map(({ endpoint }) => endpoint.id);
    others.granted[0]?.release(answered);
    const acquired = fleet.find(0).acquire(fleet.makeRequest({ exclusive: true }));
    let slot: Slot | undefined;
    void acquired.then((result) => {
      if (result.isOk()) slot = result.value;
    });
    while (!slot) {
      fleet.advance(10);
      await new Promise((resolve) => {
        setTimeout(resolve, 1);
      });
    }
    expect(slot.endpoint.id).not.toBe(busy[1]);
    const during = await fleet.acquire(1, 6);
    expect(during.granted.map(({ endpoint }) => endpoint.id)).not.toContain(slot.endpoint.id);
    slot.release(answered);
  });
});

describe('leaving endpoints', () => {
  const policies: PolicyName[] = ['credits', 'round-robin'];
  const signals: { name: string; outcome: SlotOutcome }[] = [
    { name: 'a load report', outcome: { ...answered, report: makeReport({ draining: 1 }) } },
    {
      name: 'a 503 with Connection: close',
      outcome: { result: 'shed', status: 503, leaving: true },
    },
  ];

  /** Guards I5: once one instance knows that an endpoint is leaving, none sends it new calls. */
  it.each(policies.flatMap((policy) => signals.map((row) => ({ policy, ...row }))))(
    'get no new calls after $name with policy $policy',
    async ({ policy, outcome }) => {
      const fleet = new TestFleet(makeService(3), 3, policy);
      const [slot] = (await fleet.acquire(0, 1)).granted as [Slot];
      slot.release(outcome);
      fleet.advance(300);
      for (const index of [0, 1, 2]) {
        const { granted } = await fleet.acquire(index, 2);
        expect(granted.map(({ endpoint }) => endpoint.id)).not.toContain(slot.endpoint.id);
      }
      const { leavingEndpoints } = fleet.find(1);
      const { address } = slot.endpoint;
      expect(leavingEndpoints.restore(address, fleet.clock.now() - 10_000)).toBe(false);
      expect(leavingEndpoints.restore(address, fleet.clock.now())).toBe(true);
    },
  );

  /** Guards against an endpoint that stays excluded after an operator added it again. */
  it('are restored when an operator adds them again', async () => {
    const fleet = new TestFleet(makeService(1), 1);
    const [slot] = (await fleet.acquire(0, 1)).granted as [Slot];
    slot.release(signals[0]?.outcome as SlotOutcome);
    expect((await fleet.acquire(0, 1)).refused).toEqual(['not-run']);
    const [endpoint] = fleet.service.endpoints;
    fleet.service = { ...fleet.service, endpoints: [{ ...endpoint!, state: 'draining' }] };
    fleet.advance(10);
    fleet.service = makeService(1);
    expect((await fleet.acquire(0, 1)).granted).toHaveLength(1);
  });
});

describe('load reports', () => {
  /** Guards against unconditional trust in reports of endpoints that claim to be idle or full. */
  it.each([
    { name: 'idle', busy: 0, queued: 0, granted: 6 },
    // One slot on this endpoint, three on the other, and an extra one there as calls are queued.
    { name: 'full of calls from outside the fleet', busy: 3, queued: 9, granted: 5 },
    { name: 'as busy as the balancer assumes', busy: 1, queued: 0, granted: 6 },
  ])('result in $granted slots if one of two endpoints reports to be $name', async (row) => {
    const fleet = new TestFleet(makeService(2), 1);
    const first = (await fleet.acquire(0, 1)).granted[0] as Slot;
    const report = makeReport({ slots_in_use: row.busy, queued: row.queued });
    first.release({ ...answered, report });
    const next = await fleet.acquire(0, 6);
    expect(next.granted).toHaveLength(row.granted);
  });
});
