import { KeyValueStore } from '@dotterelpass/store';
import type { StoreItem, WatchResult } from '@dotterelpass/store';
import { Metrics, createLogger, setLogDestination } from '@dotterelpass/telemetry';
import { beforeFirstPosition, makeRandom, systemClock } from '@dotterelpass/values';
import type { FailureDomain, ServiceId, StorePosition } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { GatewayConfig } from '../src/catalog.js';
import { StoreReplica } from '../src/replica.js';
import type { ReplicaUpdate } from '../src/replica.js';

const at = (revision: number, epoch = 1): StorePosition => ({ epoch, revision });

const makeItem = (key: string, revision: number, epoch = 1): StoreItem => ({
  key,
  value: Buffer.from('{}'),
  epoch,
  revision,
});

type Changes = Extract<WatchResult, { kind: 'changes' }>;

const unavailable = { kind: 'unreachable', message: 'down', applied: 'no' } as const;

/** A store whose keys are set by the test; a watch returns the changes that the test hands in. */
class ScriptedStore extends KeyValueStore {
  /** Calls for the keys of operators. */
  readonly calls: string[] = [];

  items: readonly StoreItem[] = [];

  position = at(5);

  #finishWatch: ((changes: Changes) => void) | undefined;

  get isWatched(): boolean {
    return this.#finishWatch !== undefined;
  }

  finishWatch(changes: Partial<Changes> & { readonly position: StorePosition }): void {
    this.#finishWatch?.({ kind: 'changes', items: [], removed: [], ...changes });
    this.#finishWatch = undefined;
  }

  override async read(key: string): ReturnType<KeyValueStore['read']> {
    this.calls.push(`read ${key}`);
    return ok({ item: this.items.find((item) => item.key === key), position: this.position });
  }

  override async list(prefix: string): ReturnType<KeyValueStore['list']> {
    if (prefix === 'servers/') return ok({ items: [], position: this.position });
    this.calls.push(`list ${prefix}`);
    return ok({ items: this.items, position: this.position });
  }

  override async watch(prefix: string): ReturnType<KeyValueStore['watch']> {
    this.calls.push(`watch ${prefix}`);
    return ok(
      await new Promise<WatchResult>((resolve) => {
        this.#finishWatch = resolve;
      }),
    );
  }

  override async put() {
    return err(unavailable);
  }

  override async create() {
    return err(unavailable);
  }

  override async createLease() {
    return err(unavailable);
  }

  override close(): void {}
}

const config: GatewayConfig = {
  version: 3,
  routes: [],
  services: new Map<ServiceId, never>(),
  bounds: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleMs: 1 },
};

const evacuationKeys = { operatorPrefix: 'op/', evacuationPrefix: 'op/evacuate/' };

let replicas: StoreReplica[];
let versions: number[];
let applied: string[];
let lines: Record<string, unknown>[];
let changeCount: number;

beforeEach(() => {
  [replicas, versions, applied, lines, changeCount] = [[], [], [], [], 0];
  setLogDestination({
    write: (line: string) => {
      lines.push(JSON.parse(line) as Record<string, unknown>);
    },
  });
});

afterEach(() => {
  replicas.forEach((replica) => replica.stop());
  setLogDestination({ write: () => undefined });
});

function makeReplica(store: KeyValueStore, isEnabled = true): StoreReplica {
  const replica = new StoreReplica({
    store,
    schema: {
      configKey: 'op/config',
      registrationPrefix: 'servers/',
      ...(isEnabled ? { evacuations: evacuationKeys } : {}),
      decodeConfig: () => ok(config),
      redactConfig: (value) => value,
      decodeRegistration: () => err('not used'),
    },
    target: {
      version: 0,
      setConfig: ({ version }) => versions.push(version),
      setRegistrations: () => undefined,
      setEvacuations: (evacuated) => applied.push(evacuated.map(({ domain }) => domain).join()),
    },
    clock: systemClock,
    random: makeRandom(1),
    log: createLogger('test'),
    metrics: new Metrics(),
    onChange: () => {
      changeCount += 1;
    },
  });
  replicas.push(replica);
  return replica;
}

async function startWatching(store: ScriptedStore, isEnabled = true): Promise<StoreReplica> {
  const replica = makeReplica(store, isEnabled);
  replica.start();
  await vi.waitFor(() => expect(store.isWatched).toBe(true), 5000);
  return replica;
}

const makeUpdate = (
  evacuations:
    { readonly position: StorePosition; readonly domains: Record<string, number> } | undefined,
): ReplicaUpdate => ({
  catalog: undefined,
  catalogAgeMs: 40,
  listedAgeMs: 40,
  registrations: { position: beforeFirstPosition, isWhole: false, items: [], removed: [] },
  evacuations: evacuations && {
    position: evacuations.position,
    domains: Object.entries(evacuations.domains).map(([domain, revision]) => ({
      domain: domain as FailureDomain,
      askedAt: at(revision, evacuations.position.epoch),
    })),
  },
});

const readDomains = (replica: StoreReplica) => replica.evacuations?.map(({ domain }) => domain);

describe('the keys of operators', () => {
  /** Guards against further calls to the store, whose number is paid for, and a missed configuration. */
  it.each([
    { isEnabled: false, calls: ['read op/config', 'watch op/config', 'watch op/config'] },
    { isEnabled: true, calls: ['list op/', 'watch op/', 'watch op/'] },
  ])('cost the same calls with evacuations enabled: $isEnabled', async ({ isEnabled, calls }) => {
    const store = new ScriptedStore();
    store.items = [makeItem('op/config', 4)];
    await startWatching(store, isEnabled);
    // The first watch may follow a second reading, which is a second after the first one.
    const firstWatch = store.calls.findIndex((call) => call.startsWith('watch'));
    store.finishWatch({ position: at(6) });
    await vi.waitFor(() => expect(store.isWatched).toBe(true));
    expect(versions).toEqual([3]);
    expect([...new Set(store.calls.slice(0, firstWatch))]).toEqual([calls[0]]);
    expect(store.calls.slice(firstWatch)).toEqual(calls.slice(1));
  });

  /** Guards against an evacuation that a listing or a watch shows and that is not put into force. */
  it('put evacuations into force and lift them, with the evidence in the log', async () => {
    const store = new ScriptedStore();
    store.items = [makeItem('op/evacuate/z1', 4), makeItem('op/evacuate/', 5), makeItem('op/x', 5)];
    const replica = await startWatching(store);
    expect(readDomains(replica)).toEqual(['z1']);
    store.finishWatch({
      items: [makeItem('op/evacuate/z2', 7)],
      removed: [{ key: 'op/evacuate/z1', ...at(8) }],
      position: at(9),
    });
    await vi.waitFor(() => expect(readDomains(replica)).toEqual(['z2']));
    expect(applied).toEqual(['z1', 'z2']);
    const logged = lines.filter(({ event }) => String(event).startsWith('evacuation-'));
    expect(logged).toMatchObject([
      { event: 'evacuation-unreadable', item: 'op/evacuate/' },
      { event: 'evacuation-in-force', domain: 'z1', position: at(4), source: 'store', ageMs: 0 },
      { event: 'evacuation-in-force', domain: 'z2', position: at(7), readAt: at(9) },
      { event: 'evacuation-lifted', domain: 'z1', position: at(4), source: 'store' },
    ]);
  });
});

describe('evacuations in updates of peers', () => {
  /** Guards against an old state of a peer, or a late watch, that undoes what is newer. */
  it('are merged by position, also while a watch waits', async () => {
    const store = new ScriptedStore();
    store.items = [makeItem('op/evacuate/z1', 4)];
    const replica = await startWatching(store);
    replica.mergeUpdate(makeUpdate({ position: at(8), domains: { z2: 7 } }), 'peer');
    expect(readDomains(replica)).toEqual(['z2']);
    replica.mergeUpdate(makeUpdate({ position: at(6), domains: { z1: 4 } }), 'other');
    expect(readDomains(replica)).toEqual(['z2']);
    // The watch began before the state of the peer, so it contains changes which that state has.
    store.finishWatch({
      items: [makeItem('op/evacuate/z3', 9)],
      removed: [{ key: 'op/evacuate/z1', ...at(6) }],
      position: at(9),
    });
    await vi.waitFor(() => expect(readDomains(replica)).toEqual(['z2', 'z3']));
    replica.mergeUpdate(makeUpdate({ position: at(1, 2), domains: {} }), 'restored');
    expect(readDomains(replica)).toEqual([]);
    expect(lines.filter(({ source }) => source === 'peer')).toMatchObject([
      { event: 'evacuation-in-force', domain: 'z2', position: at(7), ageMs: 40 },
      { event: 'evacuation-lifted', domain: 'z1' },
    ]);
  });

  /** Guards against long polls of other instances that are completed late, or again and again. */
  it.each<{
    name: string;
    position: StorePosition;
    domains: Record<string, number>;
    isNews: boolean;
    isFirst: boolean;
  }>([
    { name: 'the first state', position: at(5), domains: {}, isNews: true, isFirst: true },
    { name: 'a domain', position: at(6), domains: { z1: 6 }, isNews: true, isFirst: false },
    { name: 'a later position only', position: at(6), domains: {}, isNews: false, isFirst: false },
  ])('with $name complete long polls: $isNews', ({ position, domains, isNews, isFirst }) => {
    const replica = makeReplica(new ScriptedStore());
    if (!isFirst) replica.mergeUpdate(makeUpdate({ position: at(5), domains: {} }), 'peer');
    changeCount = 0;
    replica.mergeUpdate(makeUpdate({ position, domains }), 'peer');
    expect(changeCount > 0).toBe(isNews);
  });

  /**
   * Guards against an instance that never learns of evacuations because it follows one where they are
   * disabled, as while the setting is being introduced.
   */
  it('replace no reading of the store when they are missing', () => {
    const progress = { registrations: beforeFirstPosition, configVersion: -1 };
    const update = makeReplica(new ScriptedStore(), false).buildUpdate(progress);
    expect(update).not.toHaveProperty('evacuations');
    const replica = makeReplica(new ScriptedStore());
    const merge = (evacuations: Parameters<typeof makeUpdate>[0]) =>
      replica.mergeUpdate(
        {
          ...makeUpdate(evacuations),
          registrations: { position: at(5), isWhole: true, items: [], removed: [] },
        },
        'peer',
      );
    merge(undefined);
    expect([replica.isFresh, replica.hasEvacuations]).toEqual([false, false]);
    merge({ position: at(5), domains: {} });
    expect([replica.isFresh, replica.hasEvacuations]).toEqual([true, true]);
  });

  /** Guards against a message to other instances that grows where evacuations are disabled. */
  it('are ignored where they are disabled', () => {
    const replica = makeReplica(new ScriptedStore(), false);
    replica.mergeUpdate(makeUpdate({ position: at(5), domains: { z1: 4 } }), 'peer');
    expect(replica.evacuations).toBeUndefined();
    expect(applied).toEqual([]);
  });

  // Guards against a configuration that an instance of an older version cannot read.
  it.each([
    { name: 'an instance that accepts it', acceptsDeflated: true },
    { name: 'an older instance', acceptsDeflated: undefined },
  ])('are sent compressed to $name: $acceptsDeflated', async ({ acceptsDeflated }) => {
    const store = new ScriptedStore();
    const large = makeItem('op/config', 4);
    store.items = [{ ...large, value: Buffer.from(large.value.toString().padEnd(100_000)) }];
    const sender = await startWatching(store);
    const progress = { registrations: beforeFirstPosition, configVersion: -1 };
    const update = sender.buildUpdate(
      acceptsDeflated ? { ...progress, acceptsDeflated } : progress,
    );
    expect(update.catalog?.isDeflated).toBe(acceptsDeflated);
    const receiver = makeReplica(new ScriptedStore());
    receiver.mergeUpdate(update, 'peer');
    expect(receiver.progress.configVersion).toBe(sender.progress.configVersion);
  });
});
