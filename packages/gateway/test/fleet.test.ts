import { KeyValueStore } from '@dotterelpass/store';
import type { PlatformError, StoreItem, StoreListing, StorePut } from '@dotterelpass/store';
import { createLogger, setLogDestination } from '@dotterelpass/telemetry';
import { makeRandom, systemClock } from '@dotterelpass/values';
import type { FailureDomain, InstanceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { Fleet } from '../src/fleet.js';

/** A store in memory that counts the calls. */
class MemoryStore extends KeyValueStore {
  readonly items = new Map<string, StoreItem>();

  readonly calls: string[] = [];

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

  override async put({ key, value }: StorePut): ReturnType<KeyValueStore['put']> {
    this.calls.push(`put ${key}`);
    this.items.set(key, { key, value, epoch: 1, revision: this.items.size + 1 });
    return ok(true);
  }

  override async createLease(): ReturnType<KeyValueStore['createLease']> {
    this.calls.push('lease');
    return ok(1);
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

function startFleet(store: KeyValueStore, name: string, address = `${name}:1`): void {
  const fleet = new Fleet({
    store,
    instance: name as InstanceId,
    self: { address, failureDomain: 'z' as FailureDomain },
    clock: systemClock,
    random: makeRandom(fleets.length),
    log: createLogger('test'),
    onSize: () => undefined,
    onChange: () => undefined,
    onBan: () => undefined,
    onPeers: () => undefined,
  });
  fleets.push(fleet);
  void fleet.start();
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
});
