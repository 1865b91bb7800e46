import { afterEach, describe, expect, it } from 'vitest';
import {
  findRevision,
  joinInstances,
  makeDocument,
  openInstance,
  openInstances,
  waitUntil,
} from './fleet.js';
import type { TestInstance } from './fleet.js';

let instances: readonly TestInstance[] = [];

async function open(count: number): Promise<readonly TestInstance[]> {
  instances = await openInstances(Array.from({ length: count }, (_, n) => `n${n}`));
  return instances;
}

afterEach(async () => {
  instances.forEach(({ gossip, hub }) => {
    gossip.stop();
    hub.close();
  });
  await Promise.all(instances.map(({ members }) => members.leave()));
});

describe('ConfigGossip', () => {
  /** Guards against changes that reach peers only with the next digest comparison. */
  it.each([
    { count: 3, reached: 3 },
    // The first instance pushes to three peers, so a fifth one must receive it from one of those.
    { count: 10, reached: 5 },
  ])('pushes a change to $reached of $count instances without digests', async (row) => {
    await open(row.count);
    const countInstances = (revision: number) =>
      instances.filter((instance) => findRevision(instance, 'status') === revision).length;
    for (const revision of [1, 2]) {
      instances[0]?.config.offer(makeDocument('status', revision), 'operator');
      await waitUntil(() => countInstances(revision) >= row.reached);
    }
  });

  /** Guards against differences that remain, in either direction, when a push reached no peer. */
  it('finds differences through digests and pulls the documents', async () => {
    const [a, b] = [await openInstance('n0'), await openInstance('n1')];
    instances = [a, b];
    // The instances are not connected yet, so no push can spread these documents.
    for (let n = 0; n < 30; n++) {
      a.config.offer(makeDocument(`left-${n}`, 1), 'operator');
      b.config.offer(makeDocument(`right-${n}`, 2), 'operator');
    }
    await joinInstances(instances);
    void a.gossip.runAntiEntropy();
    await waitUntil(() => a.config.digests.length === 60 && b.config.digests.length === 60);
    expect(findRevision(a, 'right-7')).toBe(2);
    expect(findRevision(b, 'left-7')).toBe(1);
  });

  /** Guards invariant I7: an older document of a peer must never replace a newer one. */
  it('never replaces a document by an older one', async () => {
    await open(2);
    const [a, b] = instances as [TestInstance, TestInstance];
    a.config.offer(makeDocument('status', 3), 'operator');
    b.config.offer(makeDocument('status', 2), 'operator');
    instances.forEach(({ gossip }) => {
      void gossip.runAntiEntropy();
    });
    await waitUntil(() => findRevision(b, 'status') === 3);
    expect(findRevision(a, 'status')).toBe(3);
  });

  /** Guards against an instance that becomes ready through a peer without a full configuration. */
  it('becomes ready only through a peer that is ready', async () => {
    await open(2);
    const [a, b] = instances as [TestInstance, TestInstance];
    instances.forEach(({ gossip }) => {
      void gossip.runAntiEntropy();
    });
    a.config.offer(makeDocument('status', 1), 'operator');
    await waitUntil(() => findRevision(b, 'status') === 1);
    expect(instances.map(({ config }) => config.ready)).toEqual([false, false]);
    a.config.setReady();
    await waitUntil(() => b.config.ready);
  });
});

describe('FleetMembers over real connections', () => {
  /** Guards against a slow removal of an exited process, whose port refuses connections at once. */
  it('removes an instance whose connection closed and whose port refuses', async () => {
    await open(3);
    const [a, b, c] = instances as [TestInstance, TestInstance, TestInstance];
    c.hub.close();
    await waitUntil(() => [a, b].every(({ members }) => members.live.length === 2));
    expect([...a.events, ...b.events]).toContain('member-gone');
  });

  /** Guards against a cut connection that counts as an exit although the port still accepts. */
  it('keeps an instance whose connection closed while its port accepts', async () => {
    await open(2);
    const [a, b] = instances as [TestInstance, TestInstance];
    const before = a.events.length;
    // A change of the address closes the connection, like a network fault does.
    a.hub.setAddress(b.name, 'closed');
    a.hub.setAddress(b.name, b.address);
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    expect(a.events.slice(before)).not.toContain('member-gone');
    expect(a.members.live).toEqual(['n0', 'n1']);
  });

  /** Guards against an instance that is ready before it has read the list or found a peer. */
  it('is not ready before the fleet is known', async () => {
    const instance = await openInstance('n0');
    instances = [instance];
    instance.members.start(instance.address);
    await waitUntil(() => instance.members.live.length === 1);
    expect(instance.members.isReady).toBe(false);
    instance.members.recordListRead();
    expect(instance.members.isReady).toBe(true);
  });
});
