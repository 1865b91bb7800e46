import type { RegisteredInstance } from '@dotterelpass/store';
import type { Logger } from '@dotterelpass/telemetry';
import type { InstanceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import { afterEach, describe, expect, it } from 'vitest';
import { Registration } from '../src/registration.js';
import { openInstance, waitUntil } from './fleet.js';
import type { TestInstance } from './fleet.js';

const silentLog: Logger = { debug() {}, info() {}, warn() {}, error() {} };
const unavailable = err({ kind: 'unreachable', message: 'down', applied: 'no' } as const);

/** The platform's list of registered instances, in memory. */
class FakeRegistry {
  list: readonly RegisteredInstance[] = [];

  isUnavailable = false;

  async readInstances() {
    return this.isUnavailable ? unavailable : ok(this.list);
  }

  async registerInstance(_kind: string, entry: RegisteredInstance) {
    this.list = [...this.list.filter(({ id }) => id !== entry.id), entry];
    return ok(undefined);
  }

  async deregisterInstance(id: string) {
    this.list = this.list.filter((entry) => entry.id !== id);
    return ok(undefined);
  }
}

describe('Registration', () => {
  let instances: readonly TestInstance[] = [];
  let registrations: readonly Registration[] = [];

  async function open(platform: FakeRegistry, name: string): Promise<TestInstance> {
    const instance = await openInstance(name);
    const registration = new Registration(platform, instance.members, new Map(), silentLog);
    instances = [...instances, instance];
    registrations = [...registrations, registration];
    instance.members.start(instance.address);
    const self = { id: name, address: '127.0.0.1', port: 80, meta: {} };
    void registration.maintain(self, instance.address);
    return instance;
  }

  afterEach(async () => {
    await Promise.all(registrations.map((registration) => registration.stop()));
    await Promise.all(instances.map(({ members }) => members.leave()));
    instances.forEach(({ hub }) => hub.close());
    [instances, registrations] = [[], []];
  });

  /** Guards against instances without seeds that do not find each other through the list. */
  it('finds peers through the list and deregisters at the stop', async () => {
    const platform = new FakeRegistry();
    const both = [await open(platform, 'n0'), await open(platform, 'n1')];
    await waitUntil(() => both.every(({ members }) => members.live.length === 2));
    expect(both.every(({ members }) => members.isReady)).toBe(true);
    await registrations[0]?.stop();
    expect(platform.list.map(({ id }) => id)).toEqual(['n1']);
  });

  /**
   * Guards against membership that follows a lagging list: a dead instance on the list must not count
   * as live, and a live instance that the list lacks must not count as dead.
   */
  it('counts no dead instance on the list as live and no missing one as dead', async () => {
    const platform = new FakeRegistry();
    const dead = { id: 'gone', address: '127.0.0.1', port: 80, leaving: false };
    platform.list = [{ ...dead, meta: { peer: '127.0.0.1:1' } }];
    const [a, b] = [await open(platform, 'n0'), await open(platform, 'n1')];
    await waitUntil(() => a.members.live.length === 2 && b.members.live.length === 2);
    platform.list = [];
    await waitUntil(() => platform.list.length === 2);
    expect(a.members.live).toEqual(['n0', 'n1'] as InstanceId[]);
  });

  /**
   * Guards against an instance that starts in a platform outage and reports ready, although it has
   * found neither the list nor a peer.
   */
  it('is not ready while the list cannot be read', async () => {
    const platform = new FakeRegistry();
    platform.isUnavailable = true;
    const instance = await open(platform, 'n0');
    await waitUntil(() => instance.members.live.length === 1);
    expect(instance.members.isReady).toBe(false);
    platform.isUnavailable = false;
    await waitUntil(() => instance.members.isReady);
  });
});
