import type { RegisteredInstance } from '@dotterelpass/store';
import type { Logger } from '@dotterelpass/telemetry';
import type { InstanceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import { afterEach, describe, expect, it } from 'vitest';
import { Registration } from '../src/registration.js';
import { openInstance, waitUntil } from './fleet.js';
import type { TestInstance } from './fleet.js';

const quiet: Logger = { debug() {}, info() {}, warn() {}, error() {} };
const down = err({ kind: 'unreachable', message: 'down', applied: 'no' } as const);

/** A platform's list in memory. */
class ListDouble {
  list: readonly RegisteredInstance[] = [];

  isDown = false;

  async readInstances() {
    return this.isDown ? down : ok(this.list);
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

describe('the place on the list of the platform', () => {
  let nodes: readonly TestInstance[] = [];
  let listings: readonly Registration[] = [];

  async function open(platform: ListDouble, name: string): Promise<TestInstance> {
    const node = await openInstance(name);
    const listing = new Registration(platform, node.members, new Map(), quiet);
    nodes = [...nodes, node];
    listings = [...listings, listing];
    node.members.start(node.address);
    const self = { id: name, address: '127.0.0.1', port: 80, meta: {} };
    void listing.maintain(self, node.address);
    return node;
  }

  afterEach(async () => {
    await Promise.all(listings.map((listing) => listing.stop()));
    await Promise.all(nodes.map(({ members }) => members.leave()));
    nodes.forEach(({ hub }) => hub.close());
    [nodes, listings] = [[], []];
  });

  /** Guards the join without seeds: the list alone leads instances to each other. */
  it('leads instances to each other, and is left at the stop', async () => {
    const platform = new ListDouble();
    const opened = [await open(platform, 'n0'), await open(platform, 'n1')];
    await waitUntil(() => opened.every(({ members }) => members.live.length === 2));
    expect(opened.every(({ members }) => members.isReady)).toBe(true);
    await listings[0]?.stop();
    expect(platform.list.map(({ id }) => id)).toEqual(['n1']);
  });

  /** Guards against a list that lags: a dead name on it is nobody, a missing one still counts. */
  it('takes neither a dead name for live nor a missing one for gone', async () => {
    const platform = new ListDouble();
    const gone = { id: 'gone', address: '127.0.0.1', port: 80, leaving: false };
    platform.list = [{ ...gone, meta: { peer: '127.0.0.1:1' } }];
    const [a, b] = [await open(platform, 'n0'), await open(platform, 'n1')];
    await waitUntil(() => a.members.live.length === 2 && b.members.live.length === 2);
    platform.list = [];
    await waitUntil(() => platform.list.length === 2);
    expect(a.members.live).toEqual(['n0', 'n1'] as InstanceId[]);
  });

  /** Guards the start in an outage: without the list and without peers nothing is known. */
  it('is not ready while the list cannot be read', async () => {
    const platform = new ListDouble();
    platform.isDown = true;
    const node = await open(platform, 'n0');
    await waitUntil(() => node.members.live.length === 1);
    expect(node.members.isReady).toBe(false);
    platform.isDown = false;
    await waitUntil(() => node.members.isReady);
  });
});
