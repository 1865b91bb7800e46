import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { InstanceId, LimitKey } from '@dotterelpass/values';
import { defaultQuotaBounds } from '../src/index.js';
import type { LimitSpec } from '../src/index.js';
import { SimulatedFleet, countWindows, makeDemand } from './fleet.js';

/** The bounds of docs/design/contention.md, section 2. */
const windowMs = 5000;
const over = 0.1;
const slack = 20;
const minUse = 0.9;
const attachmentTtlMs = 2500;

const seed = 47;

const makeLimit = (ratePerSecond: number, burst: number, version = 1): LimitSpec => ({
  key: 'workspace:office' as LimitKey,
  ratePerSecond,
  burst,
  version,
});

const computeBound = ({ ratePerSecond, burst }: LimitSpec) =>
  ((ratePerSecond * windowMs) / 1000 + burst) * (1 + over) + slack;

/** Tokens that must be used in each window, for the share of the live instances. */
const computeMinUse = ({ ratePerSecond }: LimitSpec, share = 1) =>
  Math.floor(minUse * share * ((ratePerSecond * windowMs) / 1000));

type Pick = (fleet: SimulatedFleet) => (now: number) => number;

const pickAny: Pick = (fleet) => () => Math.floor(fleet.random.next() * fleet.instances.length);

const pickFirst: Pick = () => () => 0;

/** Another instance each second. */
const pickMoving: Pick = (fleet) => (now) => (Math.floor(now / 1000) * 7) % fleet.instances.length;

const limits = [makeLimit(0.5, 1), makeLimit(1, 0), makeLimit(10, 20), makeLimit(100, 0)];

describe('a limit of the fleet', () => {
  const sizes = [1, 3, 47, 210];
  const picks = {
    everywhere: pickAny,
    'one instance': pickFirst,
    'moving each second': pickMoving,
  };
  const cases = sizes.flatMap((size) =>
    Object.entries(picks).map(([demand, pick]) => ({ size, demand, pick })),
  );

  /** Guards against a limit that is exceeded by the sum of instances, or out of reach of one. */
  it.each(cases)('is kept and used at $size instances, demand: $demand', async ({ size, pick }) => {
    for (const limit of limits) {
      const fleet = new SimulatedFleet(size, seed);
      const demand = makeDemand(
        fleet,
        () => limit,
        Math.max(5, 2 * limit.ratePerSecond),
        pick(fleet),
      );
      await fleet.run(13_000, demand);
      const { max, min } = countWindows(fleet.grants, windowMs, 2000, 13_000);
      expect(max, `rate ${limit.ratePerSecond}`).toBeLessThanOrEqual(computeBound(limit));
      expect(min, `rate ${limit.ratePerSecond}`).toBeGreaterThanOrEqual(computeMinUse(limit));
    }
  });

  /** Guards against costs that grow with the square of the fleet. */
  it('is kept and used at 1,000 instances with moving demand', async () => {
    const limit = makeLimit(40, 10);
    const fleet = new SimulatedFleet(1000, seed);
    await fleet.run(
      9000,
      makeDemand(fleet, () => limit, 100, pickMoving(fleet)),
    );
    const { max, min } = countWindows(fleet.grants, windowMs, 2000, 9000);
    expect(max).toBeLessThanOrEqual(computeBound(limit));
    expect(min).toBeGreaterThanOrEqual(computeMinUse(limit));
  });

  /** Guards against refusals of traffic that its workspace has paid for. */
  it.each([3, 47, 210])('refuses nothing below it at %i instances', async (size) => {
    const limit = makeLimit(20, 30);
    const fleet = new SimulatedFleet(size, seed);
    const pick = pickAny(fleet);
    const steady = makeDemand(fleet, () => limit, 19, pick);
    // After a second in which the instances attach, traffic runs near the rate; after a rest that
    // refills the bucket, the burst comes at once.
    await fleet.run(1000);
    await fleet.run(6000, steady);
    await fleet.run(3000);
    for (let count = 0; count < limit.burst; count++) void fleet.take(pick(0), limit);
    await fleet.run(2000, steady);
    expect(fleet.denials).toEqual([]);
    expect(fleet.grants.length).toBeGreaterThan(limit.burst + 19 * 7);
  });

  /** Guards against a workspace whose first burst after a quiet hour is refused. */
  it('grants the whole burst after its state was dropped', async () => {
    const limit = makeLimit(1, 100);
    const fleet = new SimulatedFleet(3, seed);
    await fleet.run(1000);
    void fleet.take(0, limit);
    await fleet.run(70_000);
    expect(fleet.instances.map(({ client }) => client.readStatus().limits.length)).toEqual([
      0, 0, 0,
    ]);
    const before = fleet.grants.length;
    for (let count = 0; count < 100; count++) void fleet.take(count % 3, limit);
    await fleet.run(200);
    expect(fleet.grants.length - before).toBe(100);
  });
});

interface Fault {
  readonly name: string;
  readonly size: number;
  readonly limit: LimitSpec;
  /** Share of the instances that is left at the end. */
  readonly share: number;
  /** Time from which on the limit must be used again. */
  readonly usedFromMs: number;
  readonly act: (fleet: SimulatedFleet) => (now: number) => void;
}

const faultAtMs = 6000;

const reachesThird = (fleet: SimulatedFleet) => {
  Object.assign(fleet, {
    canReach: (a: { domain: number }, b: { domain: number }) =>
      a.domain === b.domain || a.domain === 2 || b.domain === 2,
  });
};

const reachesAll = (fleet: SimulatedFleet) => {
  Object.assign(fleet, { canReach: () => true });
};

const faults: readonly Fault[] = [10, 100].flatMap((rate) =>
  [3, 47, 210].flatMap((size): readonly Fault[] => {
    const limit = makeLimit(rate, 20);
    const common = { size, limit, share: 1, usedFromMs: faultAtMs + attachmentTtlMs };
    return [
      {
        ...common,
        name: 'coordinators restarted',
        // Back after 1 s; the others return to them after further responses.
        usedFromMs: faultAtMs + 1000 + attachmentTtlMs,
        act: (fleet) => {
          let killed: readonly number[] = [];
          return (now) => {
            if (now === faultAtMs) {
              killed = fleet.listCoordinators();
              killed.forEach((index) => fleet.kill(index));
            }
            if (now === faultAtMs + 1000) killed.forEach((index) => fleet.restart(index, size));
          };
        },
      },
      {
        ...common,
        name: 'coordinators paused',
        usedFromMs: faultAtMs + 3000 + attachmentTtlMs,
        act: (fleet) => (now) => {
          if (now !== faultAtMs) return;
          fleet.listCoordinators().forEach((index) => fleet.pause(index, 3000));
        },
      },
      {
        ...common,
        name: 'two domains apart, a third between them',
        act: (fleet) => (now) => {
          if (now === faultAtMs) reachesThird(fleet);
          if (now === faultAtMs + 9000) reachesAll(fleet);
        },
      },
      {
        ...common,
        name: 'domains apart again and again',
        usedFromMs: 17_000 + attachmentTtlMs,
        act: (fleet) => (now) => {
          if (now < faultAtMs || now > 17_000 || now % 700 !== 0) return;
          if ((now / 700) % 2 === 0 && now < 16_000) reachesThird(fleet);
          else reachesAll(fleet);
        },
      },
      {
        ...common,
        name: 'all instances apart',
        usedFromMs: 16_000 + attachmentTtlMs,
        act: (fleet) => (now) => {
          if (now === faultAtMs) Object.assign(fleet, { canReach: () => false });
          if (now === 16_000) reachesAll(fleet);
        },
      },
      {
        ...common,
        name: 'a quarter started later',
        usedFromMs: faultAtMs + size + attachmentTtlMs,
        act: (fleet) => {
          const late = [...fleet.instances.keys()].slice(0, Math.ceil(size / 4));
          late.forEach((index) => fleet.kill(index));
          fleet.setMembers(size - late.length);
          const names = fleet.instances.map(({ id }): InstanceId => id);
          return (now) => {
            if (now === faultAtMs) late.forEach((index) => fleet.restart(index, size));
            // The instances learn of the others one after the other.
            const told = fleet.instances[now - faultAtMs - 1];
            told?.client.setInstances(names, size);
          };
        },
      },
    ];
  }),
);

describe('a limit under faults', () => {
  /** Guards against tokens that two coordinators, or a coordinator and own shares, grant twice. */
  it.each(faults)(
    'is kept with $name ($size instances, $limit.ratePerSecond/s)',
    async ({ size, limit, share, usedFromMs, act }) => {
      const fleet = new SimulatedFleet(size, seed);
      const disturb = act(fleet);
      const demand = makeDemand(fleet, () => limit, 2 * limit.ratePerSecond, pickAny(fleet));
      const endMs = 25_000;
      await fleet.run(endMs, (now) => {
        disturb(now);
        demand(now);
      });
      const { max, min } = countWindows(fleet.grants, windowMs, usedFromMs, endMs);
      expect(max).toBeLessThanOrEqual(computeBound(limit));
      expect(min).toBeGreaterThanOrEqual(computeMinUse(limit, share));
    },
  );

  /** Guards against the loss of more than the share of the lost instances. */
  it.each([3, 47, 210])('loses only the share of killed coordinators of %i', async (size) => {
    const limit = makeLimit(100, 0);
    const fleet = new SimulatedFleet(size, seed);
    const demand = makeDemand(fleet, () => limit, 300, pickAny(fleet));
    await fleet.run(faultAtMs, demand);
    const killed = fleet.listCoordinators();
    killed.forEach((index) => fleet.kill(index));
    // Without any coordinator, the listing without the killed ones names new ones.
    if (killed.length === 1) fleet.setMembers(size);
    await fleet.run(10_000, demand);
    const { max, min } = countWindows(fleet.grants, windowMs, faultAtMs + attachmentTtlMs, 16_000);
    expect(max).toBeLessThanOrEqual(computeBound(limit));
    expect(min).toBeGreaterThanOrEqual(computeMinUse(limit, (size - killed.length) / size));
  });

  /**
   * Guards against a coordinator that was paused and then counts instances whose messages waited for
   * it, and grants their share to its own callers.
   */
  it('is kept when a paused coordinator goes on with callers of its own', async () => {
    const limit = makeLimit(100, 0);
    const fleet = new SimulatedFleet(3, seed);
    const demand = makeDemand(fleet, () => limit, 300, pickAny(fleet));
    await fleet.run(faultAtMs, demand);
    const [coordinator = NaN] = fleet.listCoordinators();
    fleet.pause(coordinator, 4000);
    // Messages that attach the others wait for the coordinator; later ones do not reach it.
    await fleet.run(60, demand);
    Object.assign(fleet, { canReach: () => false });
    await fleet.run(3940, demand);
    const own = makeDemand(
      fleet,
      () => limit,
      300,
      () => coordinator,
    );
    await fleet.run(6000, (now) => {
      demand(now);
      own(now);
    });
    expect(countWindows(fleet.grants, windowMs, 0, 0).max).toBeLessThanOrEqual(computeBound(limit));
  });

  /** Guards against a lowered limit that instances with the old configuration raise again. */
  it('binds within one window when it is lowered, with instances that still have the old one', async () => {
    const before = makeLimit(100, 50, 1);
    const after = makeLimit(10, 5, 2);
    const fleet = new SimulatedFleet(47, seed);
    let instance = 0;
    const pick = pickAny(fleet);
    const limitAt = () => {
      const now = fleet.clock.now();
      if (now < faultAtMs) return before;
      // Each instance has the new version within 2.5 s.
      return now > faultAtMs + instance * 50 ? after : before;
    };
    const demand = makeDemand(fleet, limitAt, 300, (now) => {
      instance = pick(now);
      return instance;
    });
    await fleet.run(20_000, demand);
    const inForce = fleet.grants.filter(({ at }) => at >= faultAtMs + 2500 + windowMs);
    const { max } = countWindows(inForce, windowMs, 0, 0);
    expect(max).toBeLessThanOrEqual(computeBound(after));
  });

  /**
   * Guards against a rate below 0 or of 0 while two coordinators may count an instance, which ended the
   * request with an exception.
   */
  it.each(
    [
      { quotaOver: 0, quotaSlack: 0 },
      { quotaOver: 0, quotaSlack: 1 },
      { quotaOver: 0.01, quotaSlack: 0.5 },
      { warmupOver: 1, warmupSlack: 0 },
      { warmupOver: 1, warmupSlack: 0.1 },
    ].flatMap((change) =>
      ['workspace:office', 'endpoint:a'].map((key) => ({ change, key: key as LimitKey })),
    ),
  )('serves or denies each request of $key with the bounds $change', async ({ change, key }) => {
    const fleet = new SimulatedFleet(8, seed, 3, { ...defaultQuotaBounds, ...change });
    const limit = { ...makeLimit(20, 5), key };
    const failures: unknown[] = [];
    let asked = 0;
    let decided = 0;
    await fleet.run(12_000, (now) => {
      if (now === 4000) Object.assign(fleet, { canReach: () => false });
      if (now === 8000) reachesAll(fleet);
      if (now > 11_000 || now % 25 !== 0) return;
      asked += 1;
      fleet.take(pickAny(fleet)(now), limit).then(
        () => {
          decided += 1;
        },
        (error: unknown) => failures.push(error),
      );
    });
    expect(failures).toEqual([]);
    expect(decided).toBe(asked);
    expect(fleet.grants.length).toBeGreaterThan(0);
    expect(fleet.denials.every(({ retryAfterMs }) => retryAfterMs > 0)).toBe(true);
    expect(fleet.denials.every(({ retryAfterMs }) => Number.isFinite(retryAfterMs))).toBe(true);
  });

  /** Guards against faults in combinations that no table names. */
  it('is kept under random faults', async () => {
    const fault = fc.record({
      atMs: fc.integer({ min: 2000, max: 11_000 }),
      kind: fc.constantFrom('kill', 'restart', 'pause', 'split', 'third', 'heal', 'members'),
      index: fc.nat({ max: 11 }),
    });
    const property = fc.asyncProperty(
      fc.integer({ min: 2, max: 12 }),
      fc.constantFrom(0.5, 5, 20, 100),
      fc.constantFrom(0, 5, 50),
      fc.array(fault, { minLength: 1, maxLength: 5 }),
      fc.boolean(),
      async (size, rate, burst, list, isMoving) => {
        const limit = makeLimit(rate, burst);
        const fleet = new SimulatedFleet(size, seed);
        const pick = isMoving ? pickMoving(fleet) : pickAny(fleet);
        const demand = makeDemand(fleet, () => limit, 4 * rate + 4, pick);
        await fleet.run(14_000, (now) => {
          list
            .filter(({ atMs }) => atMs === now)
            .forEach(({ kind, index }) => {
              disturbFleet(fleet, kind, index % size);
            });
          demand(now);
        });
        const { max } = countWindows(fleet.grants, windowMs, 0, 0);
        expect(max).toBeLessThanOrEqual(computeBound(limit));
      },
    );
    await fc.assert(property, { seed, numRuns: 60 });
  });
});

function disturbFleet(fleet: SimulatedFleet, kind: string, index: number): void {
  const size = fleet.instances.length;
  const isAlive = fleet.instances[index]?.isAlive ?? false;
  if (kind === 'kill') fleet.kill(index);
  if (kind === 'restart' && !isAlive) fleet.restart(index, size);
  if (kind === 'pause') fleet.pause(index, 1700);
  if (kind === 'members') fleet.setMembers(size);
  if (kind === 'third') reachesThird(fleet);
  if (kind === 'heal') reachesAll(fleet);
  if (kind === 'split') {
    Object.assign(fleet, {
      canReach: (a: { domain: number }, b: { domain: number }) => a.domain === b.domain,
    });
  }
}

describe('denials', () => {
  /** Guards against callers that all return at the moment of one token. */
  it('spread callers that obey Retry-After over the time of their turns', async () => {
    const limit = makeLimit(20, 0);
    const fleet = new SimulatedFleet(47, seed);
    const arrivals: number[] = [];
    const pick = pickAny(fleet);
    const call = async () => {
      arrivals.push(fleet.clock.now());
      const decision = await fleet.take(pick(0), limit);
      if (decision?.kind === 'denied') {
        fleet.at(decision.retryAfterMs, () => {
          void call();
        });
      }
    };
    await fleet.run(3000);
    for (let count = 0; count < 150; count++) void call();
    await fleet.run(15_000);
    expect(fleet.grants.length).toBe(150);
    // Without a spread, nearly all of them would come again within the same 100 ms.
    const later = arrivals.filter((at) => at > 3100).sort((a, b) => a - b);
    const { max } = countWindows(
      later.map((at) => ({ at, instance: 0 })),
      100,
      0,
      0,
    );
    expect(max).toBeLessThan(150 / 5);
  });

  /** Guards against callers that never come when the token of a low limit is due. */
  it('let a caller under a limit below one request per instance get its token by the own share', async () => {
    const limit = makeLimit(0.5, 0);
    const fleet = new SimulatedFleet(47, seed);
    Object.assign(fleet, { canReach: () => false });
    await fleet.run(3000);
    const index = 5;
    let granted = 0;
    const call = async () => {
      const decision = await fleet.take(index, limit);
      if (decision?.kind === 'granted') granted += 1;
      if (decision?.kind === 'denied') {
        fleet.at(decision.retryAfterMs, () => {
          void call();
        });
      }
    };
    void call();
    // The share of one instance is a token in 94 s.
    await fleet.run(190_000);
    expect(granted).toBe(1);
  });
});

describe('the messages', () => {
  /** Guards against any cost where no configuration asks for limits. */
  it('are none while no limit is configured', async () => {
    const fleet = new SimulatedFleet(47, seed);
    fleet.instances.forEach(({ client }) => client.setActive(false));
    await fleet.run(3000);
    expect(fleet.sent.messages).toBe(0);
  });

  /** Guards against a message for each request. */
  it.each([47, 210])('are batched at %i instances', async (size) => {
    const fleet = new SimulatedFleet(size, seed);
    const names = Array.from({ length: 79 }, (_, index) => ({
      ...makeLimit(10, 20),
      key: `workspace:office-${index}` as LimitKey,
    }));
    const pick = () => names[Math.floor(fleet.random.next() * names.length)] ?? makeLimit(10, 20);
    await fleet.run(2000);
    fleet.sent.messages = 0;
    await fleet.run(3000, makeDemand(fleet, pick, 5 * 588, pickFirst(fleet)));
    // Each exchange, both of whose messages are counted, takes 20 ms or longer.
    const coordinators = fleet.listCoordinators().length;
    const attachments = size * coordinators * 2 * 4;
    expect(fleet.sent.messages).toBeLessThanOrEqual(3 * 50 * coordinators * 2 + attachments);
  });

  /** Guards against memory that grows with every key that was ever used. */
  it('leave no state of unused limits', async () => {
    const fleet = new SimulatedFleet(3, seed);
    await fleet.run(1000);
    for (let index = 0; index < 500; index++) {
      void fleet.take(index % 3, { ...makeLimit(1, 1), key: `workspace:${index}` as LimitKey });
    }
    await fleet.run(1000);
    const countLimits = () =>
      fleet.instances.reduce(
        (sum, { client, coordinator }) =>
          sum + client.readStatus().limits.length + coordinator.limitCount,
        0,
      );
    expect(countLimits()).toBe(1000);
    await fleet.run(70_000);
    expect(countLimits()).toBe(0);
  });
});

describe('tokens', () => {
  /** A new bucket of it holds two tokens, and it gets a third one after 10 s. */
  const limit = makeLimit(0.1, 0);

  /** Starts a fleet in which another instance than the coordinator has taken all tokens. */
  const exhaust = async () => {
    const fleet = new SimulatedFleet(3, seed);
    await fleet.run(8000);
    const [coordinator = NaN] = fleet.listCoordinators();
    const index = (coordinator + 1) % 3;
    for (let count = 0; count < 3; count++) void fleet.take(index, limit);
    await fleet.run(50);
    expect([fleet.grants.length, fleet.denials.length]).toEqual([2, 1]);
    const client = fleet.instances[index]?.client;
    if (!client) throw new RangeError(`no instance ${index}`);
    return { fleet, index, other: (coordinator + 2) % 3, client };
  };

  /** Guards against old tokens that an instance uses after a pause. */
  it('expire while their instance is paused', async () => {
    const { fleet, index, client } = await exhaust();
    client.giveBack(limit.key);
    fleet.pause(index, 2000);
    await fleet.run(2050);
    void fleet.take(index, limit);
    await fleet.run(50);
    expect([fleet.grants.length, fleet.denials.length]).toEqual([2, 2]);
  });

  /** Guards against tokens that are lost when no endpoint has received their request. */
  it('that are given back serve the next request, or those of other instances', async () => {
    const { fleet, index, other, client } = await exhaust();
    client.giveBack(limit.key);
    expect((await fleet.take(index, limit))?.kind).toBe('granted');
    client.giveBack(limit.key);
    void fleet.take(index, { ...limit, key: 'workspace:other' as LimitKey });
    await fleet.run(50);
    const before = fleet.grants.length;
    void fleet.take(other, limit);
    await fleet.run(50);
    expect(fleet.grants.length).toBe(before + 1);
  });
});
