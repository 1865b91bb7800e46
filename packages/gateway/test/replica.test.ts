import { setTimeout as sleep } from 'node:timers/promises';
import { KeyValueStore } from '@dotterelpass/store';
import type { PlatformError, StoreListing } from '@dotterelpass/store';
import { Metrics, createLogger, setLogDestination } from '@dotterelpass/telemetry';
import { ManualClock, makeRandom, systemClock } from '@dotterelpass/values';
import type { Clock, EndpointId, FailureDomain, ServiceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { beforeEach, describe, expect, it } from 'vitest';
import type { GatewayConfig, Registration } from '../src/catalog.js';
import type { RegistrationChanges } from '../src/changes.js';
import { StoreReplica } from '../src/replica.js';
import type { ReplicaUpdate } from '../src/replica.js';

/** A store that is never reached. */
class LostStore extends KeyValueStore {
  readonly #error = { kind: 'unreachable', message: 'down', applied: 'no' } as const;

  override async read(): ReturnType<KeyValueStore['read']> {
    return err(this.#error);
  }

  override async list(): Promise<Result<StoreListing, PlatformError>> {
    return err(this.#error);
  }

  override async watch() {
    return err(this.#error);
  }

  override async put() {
    return err(this.#error);
  }

  override async createLease() {
    return err(this.#error);
  }

  override close(): void {}
}

/** A store whose list can be read only after some time; nothing else is answered. */
class LateStore extends LostStore {
  readonly #upAt: number;

  constructor(upAt: number) {
    super();
    this.#upAt = upAt;
  }

  override async read(): ReturnType<KeyValueStore['read']> {
    return new Promise<never>(() => {});
  }

  override async list(): Promise<Result<StoreListing, PlatformError>> {
    if (performance.now() < this.#upAt) return super.list();
    return ok({ items: [], revision: 9 });
  }
}

const makeRegistration = (id: string): Registration => ({
  id: id as EndpointId,
  service: 'a' as ServiceId,
  address: '127.0.0.1:1',
  failureDomain: 'z' as FailureDomain,
  slots: 3,
  state: 'ready',
  startedAtMs: undefined,
  warmupMs: 0,
});

const makeItem = (key: string, revision: number) => ({ key, value: Buffer.from(key), revision });

const clock = new ManualClock();
/** Ids of the endpoints after each application. */
let applied: (readonly string[])[];

function makeFeed(store: KeyValueStore = new LostStore(), time: Clock = clock): StoreReplica {
  return new StoreReplica({
    store,
    schema: {
      configKey: 'config',
      registrationPrefix: 'servers/',
      decodeConfig: () => err('not used'),
      decodeRegistration: (key) => ok(makeRegistration(key)),
    },
    target: {
      version: 0,
      setConfig: (_catalog: GatewayConfig) => undefined,
      setRegistrations: (list) => {
        applied.push(list.map(({ id }) => id));
      },
    },
    clock: time,
    random: makeRandom(1),
    log: createLogger('test'),
    metrics: new Metrics(),
    onChange: () => undefined,
  });
}

beforeEach(() => {
  applied = [];
  setLogDestination({ write: () => undefined });
});

/** What a peer tells; a change of the endpoints e1 at revision 5 unless said otherwise. */
const makeKnowledge = (
  changes: Partial<RegistrationChanges> = {},
  ages: Partial<Pick<ReplicaUpdate, 'listedAgeMs' | 'catalogAgeMs'>> = {},
): ReplicaUpdate => ({
  catalog: undefined,
  catalogAgeMs: 10,
  listedAgeMs: 10,
  registrations: { revision: 5, isWhole: false, items: [], removed: [], ...changes },
  ...ages,
});

describe('knowledge from a peer', () => {
  /** Guards against peers that tell each other an old list as new while the store is away. */
  it('keeps the age that it has', () => {
    const feed = makeFeed();
    feed.mergeUpdate(makeKnowledge({ items: [makeItem('e1', 5)] }, { listedAgeMs: 1500 }), 'peer');
    clock.advance(700);
    expect(feed.listedAgeMs).toBe(2200);
    expect(feed.buildUpdate(0, 0).listedAgeMs).toBe(2200);
  });

  it.each([
    { revision: 4, ids: ['e1'] },
    { revision: 5, ids: ['e1', 'e2'] },
    { revision: 6, ids: ['e1', 'e2'] },
  ])('of revision $revision on revision 5 leaves $ids', ({ revision, ids }) => {
    const feed = makeFeed();
    feed.mergeUpdate(makeKnowledge({ items: [makeItem('e1', 5)] }), 'peer');
    feed.mergeUpdate(makeKnowledge({ revision, items: [makeItem('e2', revision)] }), 'peer');
    expect(applied.at(-1)).toEqual(ids);
  });

  /** Guards against losing endpoints: a peer may have read the list while entries had lapsed. */
  it('removes no endpoint by a whole list, and does not replace a reading of the store', () => {
    const feed = makeFeed();
    feed.mergeUpdate(makeKnowledge({ items: [makeItem('e1', 5)] }), 'peer');
    clock.advance(2000);
    feed.mergeUpdate(
      makeKnowledge({ revision: 9, isWhole: true, items: [makeItem('e2', 9)] }),
      'peer',
    );
    expect(applied.at(-1)).toEqual(['e1', 'e2']);
    expect(feed.isFresh).toBe(false);
  });

  it('removes an endpoint that the peer has seen leave', () => {
    const feed = makeFeed();
    feed.mergeUpdate(makeKnowledge({ items: [makeItem('e1', 5), makeItem('e2', 5)] }), 'peer');
    feed.mergeUpdate(makeKnowledge({ revision: 6, removed: ['e1'] }), 'peer');
    expect(applied.at(-1)).toEqual(['e2']);
  });

  it.each([
    { name: 'a new list and configuration', ages: {}, waitMs: 0, isFresh: true },
    { name: 'an old list', ages: { listedAgeMs: 1600 }, waitMs: 0, isFresh: false },
    { name: 'an old configuration', ages: { catalogAgeMs: 1600 }, waitMs: 0, isFresh: false },
    // Guards a change within its 2 s: a peer that stops answering must not be waited for.
    { name: 'what was new 1.5 s ago', ages: {}, waitMs: 1500, isFresh: false },
  ])('makes reading the store needless with $name: $isFresh', ({ ages, waitMs, isFresh }) => {
    const feed = makeFeed();
    feed.mergeUpdate(makeKnowledge({}, ages), 'peer');
    clock.advance(waitMs);
    expect(feed.isFresh).toBe(isFresh);
  });
});

describe('registrations that are missing after an outage', () => {
  /**
   * Guards against calls to an endpoint that left during the outage: an instance counts as up to
   * date 3 s after it, of which the first call that succeeds may use one.
   */
  it('are dropped without the usual wait for a list after the first answer', async () => {
    const feed = makeFeed(new LateStore(performance.now() + 2000), systemClock);
    feed.mergeUpdate(makeKnowledge({ items: [makeItem('e1', 5)] }, { listedAgeMs: 9000 }), 'peer');
    applied = [];
    feed.start();
    const times: number[] = [];
    while (applied.length < 3) {
      if (applied.length > times.length) times.push(performance.now());
      await sleep(5);
    }
    feed.stop();
    expect(applied).toEqual([['e1'], ['e1'], []]);
    // The third list is read when the time is over, not at the end of the usual wait.
    const [first = 0, second = 0] = times;
    expect(performance.now() - second).toBeLessThan((second - first) / 2);
  });
});
