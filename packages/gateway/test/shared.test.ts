import { KeyValueStore } from '@dotterelpass/store';
import { Metrics, createLogger, setLogDestination } from '@dotterelpass/telemetry';
import { ManualClock, makeRandom } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import { beforeEach, describe, expect, it } from 'vitest';
import type { GatewayConfig } from '../src/catalog.js';
import { StoreReplica } from '../src/replica.js';
import type { ReplicaUpdate } from '../src/replica.js';
import { buildTable } from './workspaces.js';

/** A store that is not used. */
const store = {} as KeyValueStore;

function makeReplica(versions: number[]): StoreReplica {
  return new StoreReplica({
    store,
    schema: {
      configKey: 'config',
      registrationPrefix: 'servers/',
      decodeConfig: (value) => {
        const version = Number(/\d+/.exec(value.toString())?.[0]);
        const workspaces = value.includes('plain') ? undefined : buildTable({});
        return ok({ version, workspaces } as GatewayConfig);
      },
      redactConfig: (value) => {
        if (value.includes('plain')) throw new Error('there is nothing to redact');
        return Buffer.from(value.toString().replace('secret', 'digest'));
      },
      decodeRegistration: () => err('not used'),
    },
    target: {
      version: 0,
      setConfig: ({ version }) => versions.push(version),
      setRegistrations: () => undefined,
      setEvacuations: () => undefined,
    },
    clock: new ManualClock(),
    random: makeRandom(1),
    log: createLogger('test'),
    metrics: new Metrics(),
    onChange: () => undefined,
  });
}

const makeUpdate = (text: string): ReplicaUpdate => ({
  catalog: { key: 'config', value: Buffer.from(text), epoch: 1, revision: 3 },
  catalogAgeMs: 0,
  listedAgeMs: 0,
  registrations: {
    position: { epoch: 1, revision: 5 },
    isWhole: true,
    items: [],
    removed: [],
  },
});

const progress = { registrations: { epoch: 1, revision: 5 }, configVersion: -1 };

beforeEach(() => setLogDestination({ write: () => undefined }));

describe('a configuration that goes to another instance', () => {
  /** Guards against keys of callers in messages between instances, and against an old version. */
  it('is redacted, in each version', () => {
    const versions: number[] = [];
    const replica = makeReplica(versions);
    for (const version of [7, 8]) {
      replica.mergeUpdate(makeUpdate(`${version} secret`), 'test');
      const update = replica.buildUpdate(progress);
      expect(update.catalog?.value.toString()).toBe(`${version} digest`);
      expect(update.catalog).toMatchObject({ key: 'config', epoch: 1, revision: 3 });
    }
    expect(versions).toEqual([7, 8]);
    const receiver = makeReplica(versions);
    receiver.mergeUpdate(replica.buildUpdate(progress), 'test');
    expect(versions).toEqual([7, 8, 8]);
  });

  /** Guards against work on each version for those who use no keys. */
  it('is passed on as it is without workspaces', () => {
    const replica = makeReplica([]);
    const update = makeUpdate('7 plain');
    replica.mergeUpdate(update, 'test');
    expect(replica.buildUpdate(progress).catalog).toBe(update.catalog);
  });
});
