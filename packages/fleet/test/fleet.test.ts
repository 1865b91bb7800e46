import { KeyValueStore } from '@dotterelpass/store';
import type { PlatformError, StoreItem, StoreListing, StorePut } from '@dotterelpass/store';
import type { EndpointCrash, RequestBan } from '@dotterelpass/suspects';
import { createLogger, setLogDestination } from '@dotterelpass/telemetry';
import { makeRandom, systemClock } from '@dotterelpass/values';
import type {
  Clock,
  EndpointVersion,
  FailureDomain,
  Incarnation,
  InstanceId,
} from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { BanNews } from '../src/bans.js';
import { Fleet } from '../src/fleet.js';

/** A store in memory that records the calls. */
class MemoryStore extends KeyValueStore {
  readonly items = new Map<string, StoreItem>();

  readonly calls: string[] = [];

  readonly #leases = new Set<number>();

  #leaseCount = 0;

  /** Loses all items and leases, as a restore from a copy that is older than these. */
  restore(): void {
    this.items.clear();
    this.#leases.clear();
  }

  override async read(): ReturnType<KeyValueStore['read']> {
    return err({ kind: 'unreachable', message: 'not used', applied: 'no' });
  }

  override async list(): Promise<Result<StoreListing, PlatformError>> {
    const items = [...this.items.values()].sort((a, b) => (a.key < b.key ? -1 : 1));
    return ok({ items, position: { epoch: 1, revision: this.items.size } });
  }

  override async watch(): ReturnType<KeyValueStore['watch']> {
    return err({ kind: 'unreachable', message: 'not used', applied: 'no' });
  }

  override async put({ key, value, lease, expected }: StorePut): ReturnType<KeyValueStore['put']> {
    this.calls.push(`put ${key}`);
    if (lease !== undefined && !this.#leases.has(lease)) {
      return err({ kind: 'refused', message: 'no such lease', applied: 'no' });
    }
    if (expected === 0 && this.items.has(key)) return ok(false);
    this.items.set(key, { key, value, epoch: 1, revision: this.items.size + 1 });
    return ok(true);
  }

  override async create(puts: readonly StorePut[]): ReturnType<KeyValueStore['create']> {
    this.calls.push(`create ${puts.map(({ key }) => key).join(' ')}`);
    const existing = puts.flatMap(({ key }) => this.items.get(key) ?? []);
    if (existing.length > 0) return ok(existing);
    for (const put of puts) {
      const written = await this.put(put);
      if (written.isErr()) return err(written.error);
    }
    return ok([]);
  }

  override async createLease(): ReturnType<KeyValueStore['createLease']> {
    this.calls.push('lease');
    this.#leaseCount += 1;
    this.#leases.add(this.#leaseCount);
    return ok(this.#leaseCount);
  }

  override close(): void {}
}

/** What an instance hears of requests that crash endpoints. */
class FleetEvents {
  readonly news: BanNews[] = [];

  readonly bans: string[] = [];

  readonly lifts: string[] = [];

  readonly secondCrashes: string[] = [];

  readonly peers: string[] = [];

  acceptsBans = true;
}

let fleets: Fleet[] = [];

beforeEach(() => {
  setLogDestination({ write: () => undefined });
});

afterEach(() => {
  fleets.forEach((fleet) => fleet.stop());
  fleets = [];
});

const ban: RequestBan = { fingerprint: 'f1', version: undefined };

const makeCrash = (incarnation: string): EndpointCrash => ({
  incarnation: incarnation as Incarnation,
  version: undefined,
});

/** Clock that runs faster than time, for waits of seconds. */
const fastClock: Clock = {
  now: () => systemClock.now() * 20,
  readWallTime: () => systemClock.readWallTime(),
};

function startFleet(
  store: KeyValueStore,
  name: string,
  address = `${name}:1`,
  clock = systemClock,
  events: FleetEvents = new FleetEvents(),
): Fleet {
  const fleet = new Fleet({
    store,
    instance: name as InstanceId,
    self: { address, failureDomain: 'z' as FailureDomain },
    clock,
    random: makeRandom(fleets.length),
    log: createLogger('test'),
    onSize: () => undefined,
    onChange: () => undefined,
    onBan: ({ fingerprint }) => {
      events.bans.push(fingerprint);
      return events.acceptsBans;
    },
    onLift: ({ fingerprint }) => events.lifts.push(fingerprint),
    onSecondCrash: ({ fingerprint }) => events.secondCrashes.push(fingerprint),
    announceBan: (news) => events.news.push(news),
    onPeers: (_peerKey, peers) => {
      events.peers.splice(0, Infinity, ...peers.keys());
    },
  });
  fleets.push(fleet);
  void fleet.start();
  return fleet;
}

const hasPeerKey = (store: MemoryStore) => store.items.has('dotterelpass/peer-key');

describe('Fleet', () => {
  /** Guards against a start at which many instances try to write the peer key. */
  it('lets the first listed instance write the peer key', async () => {
    const store = new MemoryStore();
    const names = Array.from({ length: 20 }, (_, index) => `i${String(index).padStart(2, '0')}`);
    names.forEach((name) => startFleet(store, name));
    await vi.waitFor(() => expect(hasPeerKey(store)).toBe(true));
    expect(store.calls.filter((call) => call === 'put dotterelpass/peer-key').length).toBeLessThan(
      5,
    );
  });

  /** Guards against a fleet without a peer key because the first instance was lost. */
  it('writes the peer key although the first listed instance does not', async () => {
    const store = new MemoryStore();
    await store.put({ key: 'dotterelpass/instances/a-lost', value: Buffer.from('{}') });
    startFleet(store, 'b');
    await vi.waitFor(() => expect(hasPeerKey(store)).toBe(true), 5000);
  });

  it.each([
    { name: 'when a process restarts at the same address', address: 'a:1', writes: 0 },
    // Guards against peers that keep on connecting to an address that is out of use.
    { name: 'when a process restarts at another address', address: 'a:2', writes: 1 },
  ])('registers $writes times $name', async ({ address, writes }) => {
    const store = new MemoryStore();
    startFleet(store, 'a', 'a:1');
    await vi.waitFor(() => expect(hasPeerKey(store)).toBe(true));
    fleets.forEach((fleet) => fleet.stop());
    store.calls.length = 0;
    startFleet(store, 'a', address);
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    const registrations = store.calls.filter((call) => call.includes('instances/'));
    expect(registrations).toHaveLength(writes);
  });

  /**
   * Guards against keys that stay lost after a restore of the store: instances that start later
   * would find no peers, get another peer key, or run a request that crashes endpoints.
   */
  it('writes its registration, the peer key and its bans again when the store has lost them', async () => {
    const store = new MemoryStore();
    const fleet = startFleet(store, 'a', 'a:1', fastClock);
    await vi.waitFor(() => expect(fleet.buildUpdate('').items).toHaveLength(2), 5000);
    await fleet.writeBan(ban);
    const listValues = () =>
      [...store.items].map(([key, { value }]) => `${key} ${value.toString()}`).sort();
    const before = listValues();
    expect(before).toHaveLength(3);
    store.restore();
    await vi.waitFor(() => expect(listValues()).toEqual(before), 5000);
  });

  /** Guards against a ban that is never written because the lease of the instance was lost. */
  it('writes a ban after the store has lost its lease', async () => {
    const store = new MemoryStore();
    const fleet = startFleet(store, 'a', 'a:1', fastClock);
    await vi.waitFor(() => expect(hasPeerKey(store)).toBe(true));
    store.restore();
    await fleet.writeBan(ban);
    await vi.waitFor(() => expect(store.items.has('dotterelpass/bans/f1')).toBe(true), 5000);
  });

  /** Guards against instances that end because of an entry that another writer has left (port 70000). */
  it.each([
    { name: 'no JSON', text: '{' },
    { name: 'null', text: 'null' },
    { name: 'deeply nested', text: '['.repeat(100_000) + ']'.repeat(100_000) },
    { name: 'without an address', text: '{"failureDomain":"z"}' },
    { name: 'with a port out of range', text: '{"address":"127.0.0.1:70000","failureDomain":"z"}' },
    { name: 'with a number as address', text: '{"address":7,"failureDomain":"z"}' },
    { name: 'with a number as domain', text: '{"address":"127.0.0.1:70","failureDomain":7}' },
    {
      name: 'with a port for callers out of range',
      text: '{"address":"127.0.0.1:70","failureDomain":"z","callerAddress":"127.0.0.1:70000"}',
    },
  ])('names no peer in an entry that is $name', async ({ text }) => {
    const store = new MemoryStore();
    const events = new FleetEvents();
    await store.put({ key: 'dotterelpass/instances/odd', value: Buffer.from(text) });
    const value = '{"address":"127.0.0.1:71","failureDomain":"z"}';
    await store.put({ key: 'dotterelpass/instances/sound', value: Buffer.from(value) });
    startFleet(store, 'a', 'a:1', systemClock, events);
    await vi.waitFor(() => expect(events.peers).toEqual(['sound']), 5000);
  });

  /** Guards against crashes that each instance counts by itself (review/5). */
  it.each([
    {
      name: 'of another endpoint',
      reports: [
        ['f1', 'e1'],
        ['f1', 'e2'],
      ],
      expected: ['f1'],
    },
    {
      name: 'that another instance has reported, too',
      reports: [
        ['f1', 'e1'],
        ['f1', 'e1'],
      ],
      expected: [],
    },
    {
      name: 'of another request',
      reports: [
        ['f1', 'e1'],
        ['f2', 'e2'],
      ],
      expected: [],
    },
  ])('finds the earlier crash for a crash $name', async ({ reports, expected }) => {
    const store = new MemoryStore();
    const events = [new FleetEvents(), new FleetEvents()];
    const members = events.map((heard, index) =>
      startFleet(store, `i${index}`, `i${index}:1`, systemClock, heard),
    );
    for (const [index, [fingerprint = '', incarnation = '']] of reports.entries()) {
      const { length } = store.calls;
      members[index]?.reportCrash(fingerprint, makeCrash(incarnation));
      await vi.waitFor(() =>
        expect(store.calls.slice(length)).toContain(`create dotterelpass-crashes/${fingerprint}`),
      );
    }
    expect(events.map(({ secondCrashes }) => secondCrashes)).toEqual([[], expected]);
  });

  /** Guards against a write for each crash where many endpoints crash at once. */
  it('reports the crashes of a moment together, and none twice', async () => {
    const store = new MemoryStore();
    const events = new FleetEvents();
    const fleet = startFleet(store, 'a', 'a:1', systemClock, events);
    await store.put({ key: 'dotterelpass-crashes/f3', value: Buffer.from('e0') });
    for (let index = 0; index < 10; index++) fleet.reportCrash(`f${index}`, makeCrash('e1'));
    await vi.waitFor(() => expect(store.items.has('dotterelpass-crashes/f9')).toBe(true));
    // The second write leaves out the key that exists.
    expect(store.calls.filter((call) => call.startsWith('create'))).toHaveLength(2);
    expect(events.secondCrashes).toEqual(['f3']);
  });

  /** Guards against a ban that stays in force although an instance knows that it is wrong. */
  it('lifts a ban on all instances when one does not accept it', async () => {
    const store = new MemoryStore();
    const events = [new FleetEvents(), new FleetEvents(), new FleetEvents()];
    Object.assign(events[1] as FleetEvents, { acceptsBans: false });
    const [first] = events.map((heard, index) =>
      startFleet(store, `i${index}`, `i${index}:1`, fastClock, heard),
    );
    await first?.writeBan(ban);
    await vi.waitFor(() => expect(events[0]?.lifts).toEqual(['f1']), 5000);
    await vi.waitFor(() => expect(events[2]?.lifts).toEqual(['f1']), 5000);
    // The instance that had decided on the ban does not write it again.
    await first?.writeBan(ban);
    const value = store.items.get('dotterelpass/bans/f1')?.value.toString();
    expect(JSON.parse(value ?? '')).toEqual({ isLifted: true });
  });

  /** Guards against a ban that the others learn of only from listings that are seconds old (review/14). */
  it.each([
    { name: 'in force', acceptsBans: true, isLifted: false, bans: ['f1'], lifts: [] },
    { name: 'that this one refutes', acceptsBans: false, isLifted: false, bans: ['f1'], lifts: [] },
    { name: 'that is lifted', acceptsBans: true, isLifted: true, bans: [], lifts: ['f1'] },
  ])('hears of a ban $name from another instance', async (row) => {
    const store = new MemoryStore();
    const [first, second] = [new FleetEvents(), new FleetEvents()];
    Object.assign(second, { acceptsBans: row.acceptsBans });
    const teller = startFleet(store, 'a', 'a:1', systemClock, first);
    const hearer = startFleet(store, 'b', 'b:1', systemClock, second);
    const told = { ...ban, version: 'v2' as EndpointVersion };
    await teller.writeBan(told);
    expect(first.news).toEqual([{ ...told, isLifted: false }]);
    hearer.receiveBan({ ...told, isLifted: row.isLifted });
    expect(second.bans).toEqual(row.bans);
    expect(second.lifts).toEqual(row.lifts);
    expect(second.news).toEqual(row.acceptsBans ? [] : [{ ...told, isLifted: true }]);
  });

  /** Guards against a lift for one version of the endpoints that ends the ban for another one. */
  it('shares the ban for a version after that for another one was lifted', async () => {
    const store = new MemoryStore();
    const events = new FleetEvents();
    const fleet = startFleet(store, 'a', 'a:1', systemClock, events);
    fleet.receiveBan({ ...ban, version: 'v1', isLifted: true });
    await fleet.writeBan({ ...ban, version: 'v2' as EndpointVersion });
    expect(events.news).toEqual([{ ...ban, version: 'v2', isLifted: false }]);
    const values = [...store.items]
      .filter(([key]) => key.startsWith('dotterelpass/bans/f1.'))
      .map(([, { value }]) => JSON.parse(value.toString()) as unknown);
    expect(values).toEqual([{ version: 'v2', isLifted: false }]);
  });

  it.each([
    { name: 'no fingerprint', message: {} },
    { name: 'another type', message: { fingerprint: 7 } },
  ])('ignores a message with $name', ({ message }) => {
    const events = new FleetEvents();
    const fleet = startFleet(new MemoryStore(), 'a', 'a:1', systemClock, events);
    fleet.receiveBan(message);
    expect([events.bans, events.lifts]).toEqual([[], []]);
  });

  /** Guards against a ban that comes back: an instance decides on it before it hears of the lift. */
  it('leaves a ban lifted that another instance decides on', async () => {
    const store = new MemoryStore();
    const fleet = startFleet(store, 'a');
    const key = 'dotterelpass/bans/f1';
    await store.put({ key, value: Buffer.from('{"isLifted":true}') });
    await fleet.writeBan(ban);
    expect(JSON.parse(store.items.get(key)?.value.toString() ?? '')).toEqual({ isLifted: true });
  });

  /** Guards against reports that are written again and again to a store that refuses them. */
  it('gives up reports that the store refuses for other keys', async () => {
    const store = new MemoryStore();
    const foreign: StoreItem = { key: 'x', value: Buffer.from('e'), epoch: 1, revision: 1 };
    store.create = async () => {
      store.calls.push('create');
      return ok([foreign]);
    };
    const fleet = startFleet(store, 'a');
    fleet.reportCrash('f1', makeCrash('e1'));
    await new Promise((resolve) => {
      setTimeout(resolve, 500);
    });
    expect(store.calls.filter((call) => call === 'create')).toHaveLength(1);
  });

  /** Guards against keys that another instance does not get: a restored store repeats revisions. */
  it('has another digest when a value changes but not its revision', async () => {
    const store = new MemoryStore();
    const fleet = startFleet(store, 'a');
    await vi.waitFor(() => expect(hasPeerKey(store)).toBe(true));
    await vi.waitFor(() => expect(fleet.buildUpdate('').items).toHaveLength(2), 5000);
    const before = fleet.digest;
    const key = 'dotterelpass/instances/a';
    const item = store.items.get(key) as StoreItem;
    store.items.set(key, { ...item, value: Buffer.from('{"address":"b:1"}') });
    await vi.waitFor(() => expect(fleet.digest).not.toBe(before), 5000);
  });
});
