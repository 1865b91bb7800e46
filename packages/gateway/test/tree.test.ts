import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { findPort, waitFor } from '@dotterelpass/bench';
import type { Fleet, Peer } from '@dotterelpass/fleet';
import { Metrics, createLogger, setLogDestination } from '@dotterelpass/telemetry';
import { makeRandom, systemClock } from '@dotterelpass/values';
import type { FailureDomain, Incarnation, InstanceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { GatewayConfig } from '../src/catalog.js';
import { StoreReplica } from '../src/replica.js';
import type { ReplicaTarget, StoreSchema } from '../src/schema.js';
import type { InstanceSummary } from '../src/summary.js';
import { PeerSync } from '../src/sync.js';

import { SlowStore, SlowStoreClient } from './slow.js';

/** Size of a version and rate of the store's responses: a version takes 1 s. */
const versionBytes = 800_000;
const bytesPerSecond = 800_000;

const instanceCount = 40;
const versionCount = 4;

/** Time between two versions, in milliseconds. */
const intervalMs = 400;

/** Time in which instances get a source, in milliseconds. */
const treeMs = 10_000;

/** Time after which no watch is pending that began before an instance had a source, in milliseconds. */
const watchMs = 3500;

/** Time after the last version in which it is in force everywhere, in milliseconds. */
const applyMs = 5000;

const domains = ['z1', 'z2', 'z3'] as FailureDomain[];

/** Names of instances sort by these numbers. */
const firstNumber = 1000;

const versionPattern = /^\d+/;

const schema: StoreSchema = {
  configKey: 'config',
  registrationPrefix: 'servers/',
  decodeConfig: (value) => {
    const [version] = versionPattern.exec(value.toString('latin1', 0, 9)) ?? [];
    return ok({ version: Number(version) } as GatewayConfig);
  },
  redactConfig: (value) => value,
  decodeRegistration: () => err('not used'),
};

/** What instances know of each other does not change here. */
const fleet = {
  digest: '',
  buildUpdate: () => ({ items: undefined, ageMs: 0 }),
  mergeUpdate: () => undefined,
} as unknown as Fleet;

/** The part of an instance that reads the store or gets the state from another one. */
class Reader {
  readonly id: InstanceId;

  readonly peer: Peer;

  /** Version in force. */
  version = -1;

  readonly #client: SlowStoreClient;

  readonly #replica: StoreReplica;

  readonly #sync: PeerSync;

  /**
   * @param index - Names and failure domains follow from the index.
   * @param port - Port for other readers.
   */
  constructor(store: SlowStore, index: number, port: number) {
    const failureDomain = domains[index % domains.length] ?? ('z1' as FailureDomain);
    this.id = `instance-${firstNumber + index}` as InstanceId;
    this.peer = { address: `127.0.0.1:${port}`, failureDomain };
    this.#client = new SlowStoreClient(store);
    const common = {
      clock: systemClock,
      random: makeRandom(index + 1),
      log: createLogger(this.id),
    };
    this.#replica = new StoreReplica({
      ...common,
      store: this.#client,
      schema,
      target: this.#makeTarget(),
      metrics: new Metrics(),
      onChange: () => this.#sync.notifyChange(),
    });
    this.#sync = new PeerSync({
      ...common,
      instance: this.id,
      incarnation: `${this.id}-1` as Incarnation,
      failureDomain,
      ip: '127.0.0.1',
      port,
      replica: this.#replica,
      fleet,
      readSummary: () => ({}) as InstanceSummary,
    });
  }

  get source(): InstanceId | undefined {
    return this.#sync.source;
  }

  start(peers: ReadonlyMap<InstanceId, Peer>): void {
    const others = new Map([...peers].filter(([peer]) => peer !== this.id));
    this.#sync.setPeers('a key for the tests', others);
    void this.#sync.start();
    this.#replica.start();
  }

  stop(): void {
    this.#sync.stop();
    this.#replica.stop();
    this.#client.close();
  }

  #makeTarget(): ReplicaTarget {
    return {
      version: 0,
      setConfig: ({ version }) => {
        this.version = version;
      },
      setRegistrations: () => undefined,
      setEvacuations: () => undefined,
    };
  }
}

let store: SlowStore;

let readers: readonly Reader[];

beforeEach(async () => {
  setLogDestination({ write: () => undefined });
  store = new SlowStore(bytesPerSecond);
  await store.open();
  readers = [];
});

afterEach(() => {
  readers.forEach((reader) => reader.stop());
  store.close();
});

/** A version, half of which cannot be compressed. */
function buildVersion(version: number): Buffer {
  const value = Buffer.alloc(versionBytes, `${version} `);
  randomBytes(versionBytes / 2).copy(value, versionBytes / 2);
  return value;
}

async function startReaders(count: number): Promise<void> {
  store.put(Buffer.from('0 '));
  for (let index = 0; index < count; index++) {
    readers = [...readers, new Reader(store, index, await findPort())];
  }
  const peers = new Map(readers.map(({ id, peer }) => [id, peer]));
  readers.forEach((reader) => reader.start(peers));
  const [, ...followers] = readers;
  const haveSources = () => followers.every(({ source }) => source !== undefined);
  await waitFor(haveSources, treeMs, 'an instance has no source');
  await sleep(watchMs);
}

/**
 * Stops the first instances, stores versions, and waits until the last one is in force on the others.
 *
 * @param stopped - Number of instances that stop.
 */
async function putVersions(stopped: number): Promise<void> {
  readers.slice(0, stopped).forEach((reader) => reader.stop());
  for (let version = 1; version <= versionCount; version++) {
    store.put(buildVersion(version));
    await sleep(intervalMs);
  }
  const left = readers.slice(stopped);
  const isInForce = () => left.every(({ version }) => version === versionCount);
  await waitFor(isInForce, applyMs, 'an instance has not got the last version');
}

describe('large versions over a slow link to the store', () => {
  const cases = [
    { name: 'while the same instance reads', stopped: 0 },
    { name: 'when the reading instance ends', stopped: 1 },
    { name: 'when two of the reading instances end', stopped: 2 },
  ];

  /** Guards against reads that never finish and are begun anew, which keep a version from all. */
  it.each(cases)('are in force on 40 instances $name', async ({ stopped }) => {
    await startReaders(instanceCount);
    await putVersions(stopped);
  });

  /** Guards against a read of each version by each instance, which slow each other down. */
  it.each(cases)('are read by few of 40 instances $name', async ({ stopped }) => {
    await startReaders(instanceCount);
    store.reads = 0;
    await putVersions(stopped);
    expect(store.reads).toBeLessThanOrEqual(versionCount * domains.length);
  });
});
