import { setTimeout as sleep } from 'node:timers/promises';
import { Store } from '@dotterelpass/store';
import type { PlatformError, StoreListing } from '@dotterelpass/store';
import { Metrics, openLog, setLogDestination } from '@dotterelpass/telemetry';
import { ManualClock, makeRandom, systemClock } from '@dotterelpass/values';
import type { Clock, EndpointId, FailureDomain, ServiceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { beforeEach, describe, expect, it } from 'vitest';
import type { Catalog, Registration } from '../src/catalog.js';
import { Feed } from '../src/feed.js';

/** A store that is never reached. */
class LostStore extends Store {
  readonly #error = { kind: 'unreachable', message: 'down', applied: 'no' } as const;

  override async read(): ReturnType<Store['read']> {
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

  override async openLease() {
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

  override async read(): ReturnType<Store['read']> {
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
let applied: { readonly ids: readonly string[]; readonly keepMissing: boolean }[];

function makeFeed(store: Store = new LostStore(), time: Clock = clock): Feed {
  return new Feed({
    store,
    schema: {
      catalogKey: 'config',
      registrationPrefix: 'servers/',
      readCatalog: () => err('not used'),
      readRegistration: (key) => ok(makeRegistration(key)),
    },
    target: {
      version: 0,
      applyCatalog: (_catalog: Catalog) => undefined,
      applyRegistrations: (list, keepMissing) => {
        applied.push({ ids: list.map(({ id }) => id), keepMissing });
      },
    },
    clock: time,
    random: makeRandom(1),
    log: openLog('test'),
    metrics: new Metrics(),
  });
}

beforeEach(() => {
  applied = [];
  setLogDestination({ write: () => undefined });
});

describe('knowledge from a peer', () => {
  /** Guards against peers that tell each other an old list as new while the store is away. */
  it('keeps the age that it has', () => {
    const feed = makeFeed();
    const listing = { items: [makeItem('e1', 5)], revision: 5 };
    feed.receive({ catalog: undefined, listing, listingAgeMs: 1500 }, 'peer');
    clock.advance(700);
    expect(feed.knowledge.listingAgeMs).toBe(2200);
  });

  it.each([
    { revision: 4, taken: false },
    { revision: 5, taken: false },
    { revision: 6, taken: true },
  ])('of revision $revision is taken over revision 5: $taken', ({ revision, taken }) => {
    const feed = makeFeed();
    const tell = (key: string, at: number) =>
      feed.receive(
        {
          catalog: undefined,
          listing: { items: [makeItem(key, at)], revision: at },
          listingAgeMs: 10,
        },
        'peer',
      );
    tell('e1', 5);
    tell('e2', revision);
    expect(applied).toHaveLength(taken ? 2 : 1);
  });

  /** Guards against losing endpoints: a peer may have read the list while entries had lapsed. */
  it('removes no endpoint', () => {
    const feed = makeFeed();
    feed.receive(
      { catalog: undefined, listing: { items: [], revision: 9 }, listingAgeMs: 10 },
      'peer',
    );
    expect(applied).toEqual([{ ids: [], keepMissing: true }]);
  });
});

describe('registrations that are missing after an outage', () => {
  /**
   * Guards against calls to an endpoint that left during the outage: an instance counts as up to
   * date 3 s after it, of which the first call that succeeds may use one.
   */
  it('are dropped without the usual wait for a list after the first answer', async () => {
    const feed = makeFeed(new LateStore(performance.now() + 2000), systemClock);
    feed.run();
    const times: number[] = [];
    while (applied.length < 3) {
      if (applied.length > times.length) times.push(performance.now());
      await sleep(5);
    }
    feed.stop();
    expect(applied.map(({ keepMissing }) => keepMissing)).toEqual([true, true, false]);
    // The third list is read when the time is over, not at the end of the usual wait.
    const [first = 0, second = 0] = times;
    expect(performance.now() - second).toBeLessThan((second - first) / 2);
  });
});
