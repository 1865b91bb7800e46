import { KeyValueStore } from '@dotterelpass/store';
import type { PlatformError, StoreItem, StoreListing, StorePut } from '@dotterelpass/store';
import { createLogger, setLogDestination } from '@dotterelpass/telemetry';
import { makeRandom, systemClock } from '@dotterelpass/values';
import type { Clock, FailureDomain, InstanceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
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

  override async put({ key, value, lease }: StorePut): ReturnType<KeyValueStore['put']> {
    this.calls.push(`put ${key}`);
    if (lease !== undefined && !this.#leases.has(lease)) {
      return err({ kind: 'refused', message: 'no such lease', applied: 'no' });
    }
    this.items.set(key, { key, value, epoch: 1, revision: this.items.size + 1 });
    return ok(true);
  }

  override async createLease(): ReturnType<KeyValueStore['createLease']> {
    this.calls.push('lease');
    this.#leaseCount += 1;
    this.#leases.add(this.#leaseCount);
    return ok(this.#leaseCount);
  }

  override close(): void {}
}

let fleets: Fleet[] = [];

beforeEach(() => {
  setLogDestination({ write: () => undefined });
});

afterEach(() => {
  fleets.forEach((fleet) => fleet.stop());
  fleets = [];
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
    onBan: () => undefined,
    onPeers: () => undefined,
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
    await fleet.writeBan('f1');
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
    await fleet.writeBan('f1');
    await vi.waitFor(() => expect(store.items.has('dotterelpass/bans/f1')).toBe(true), 5000);
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
