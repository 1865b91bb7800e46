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

let nodes: readonly TestInstance[] = [];

async function open(count: number): Promise<readonly TestInstance[]> {
  nodes = await openInstances(Array.from({ length: count }, (_, n) => `n${n}`));
  return nodes;
}

afterEach(async () => {
  nodes.forEach(({ gossip: spread, hub }) => {
    spread.stop();
    hub.close();
  });
  await Promise.all(nodes.map(({ members }) => members.leave()));
});

describe('the spread of configuration between instances', () => {
  /** Guards the push: a change is told at once, without waiting for a digest. */
  it.each([
    { count: 3, reached: 3 },
    // Three are told by the first; a fifth can only have heard it from one of those.
    { count: 10, reached: 5 },
  ])('tells $reached of $count instances of a change without digests', async (row) => {
    await open(row.count);
    const countReached = (revision: number) =>
      nodes.filter((node) => findRevision(node, 'status') === revision).length;
    for (const revision of [1, 2]) {
      nodes[0]?.config.offer(makeDocument('status', revision), 'operator');
      await waitUntil(() => countReached(revision) >= row.reached);
    }
  });

  /** Guards the digest: what a push did not reach is found and pulled, in both directions. */
  it('finds differences by digests and pulls them', async () => {
    const [a, b] = [await openInstance('n0'), await openInstance('n1')];
    nodes = [a, b];
    // Nobody is known yet, so that no push can spread these.
    for (let n = 0; n < 30; n++) {
      a.config.offer(makeDocument(`left-${n}`, 1), 'operator');
      b.config.offer(makeDocument(`right-${n}`, 2), 'operator');
    }
    await joinInstances(nodes);
    void a.gossip.runAntiEntropy();
    await waitUntil(() => a.config.digests.length === 60 && b.config.digests.length === 60);
    expect(findRevision(a, 'right-7')).toBe(2);
    expect(findRevision(b, 'left-7')).toBe(1);
  });

  /** Guards I7: an older document of a peer never replaces a newer one. */
  it('never goes back', async () => {
    await open(2);
    const [a, b] = nodes as [TestInstance, TestInstance];
    a.config.offer(makeDocument('status', 3), 'operator');
    b.config.offer(makeDocument('status', 2), 'operator');
    nodes.forEach(({ gossip: spread }) => {
      void spread.runAntiEntropy();
    });
    await waitUntil(() => findRevision(b, 'status') === 3);
    expect(findRevision(a, 'status')).toBe(3);
  });

  /** Guards readiness: only a peer that has a configuration makes another one ready. */
  it('is made ready by a peer that is ready, and by no other', async () => {
    await open(2);
    const [a, b] = nodes as [TestInstance, TestInstance];
    nodes.forEach(({ gossip: spread }) => {
      void spread.runAntiEntropy();
    });
    a.config.offer(makeDocument('status', 1), 'operator');
    await waitUntil(() => findRevision(b, 'status') === 1);
    expect(nodes.map(({ config: feed }) => feed.ready)).toEqual([false, false]);
    a.config.setReady();
    await waitUntil(() => b.config.ready);
  });
});

describe('membership over real links', () => {
  /** Guards the death without suspicion: a process whose port refuses is gone at once. */
  it('takes a closed link with a refusing port for the end of the process', async () => {
    await open(3);
    const [a, b, c] = nodes as [TestInstance, TestInstance, TestInstance];
    c.hub.close();
    await waitUntil(() => [a, b].every(({ members }) => members.live.length === 2));
    expect([...a.events, ...b.events]).toContain('member-gone');
  });

  /** Guards against a cut link that is taken for a death: the port still accepts. */
  it('keeps an instance whose link closed while its port accepts', async () => {
    await open(2);
    const [a, b] = nodes as [TestInstance, TestInstance];
    const before = a.events.length;
    // A change of address closes the link, as a cut connection does.
    a.hub.setAddress(b.name, 'closed');
    a.hub.setAddress(b.name, b.address);
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    expect(a.events.slice(before)).not.toContain('member-gone');
    expect(a.members.live).toEqual(['n0', 'n1']);
  });

  /** Guards the start: an instance is not ready before it has heard the list or a peer. */
  it('is not ready before it knows of the fleet', async () => {
    const node = await openInstance('n0');
    nodes = [node];
    node.members.start(node.address);
    await waitUntil(() => node.members.live.length === 1);
    expect(node.members.isReady).toBe(false);
    node.members.recordListRead();
    expect(node.members.isReady).toBe(true);
  });
});
