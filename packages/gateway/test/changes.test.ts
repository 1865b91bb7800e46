import type { EndpointId, FailureDomain, ServiceId } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import type { Registration } from '../src/catalog.js';
import { ChangeLog } from '../src/changes.js';

/** Creates a position, by default in the first epoch. */
const at = (revision: number, epoch = 1) => ({ epoch, revision });

/**
 * Creates an item from `id:state:heartbeat`, with the start of the process and the warm-up time after
 * that if needed.
 */
const makeItem = (text: string, revision: number, epoch = 1) => {
  const [id = ''] = text.split(':');
  return { key: id, value: Buffer.from(text), epoch, revision };
};

function decodeItem({ value }: { readonly value: Buffer }): Registration | undefined {
  const [id = '', state = '', , startedAt, warmupMs = 0] = value.toString().split(':');
  if (state !== 'ready' && state !== 'draining') return undefined;
  return {
    id: id as EndpointId,
    service: 'a' as ServiceId,
    address: '127.0.0.1:1',
    failureDomain: 'z' as FailureDomain,
    slots: 3,
    state,
    startedAtMs: startedAt === undefined ? undefined : Number(startedAt),
    warmupMs: Number(warmupMs),
  };
}

/** Creates a log that contains e1 and e2 at revision 10. */
function makeLog(): ChangeLog {
  const changeLog = new ChangeLog(decodeItem);
  changeLog.applyListing(
    { items: [makeItem('e1:ready:1', 9), makeItem('e2:ready:1', 10)], position: at(10) },
    false,
  );
  return changeLog;
}

const listIds = (changeLog: ChangeLog) => changeLog.registrations.map(({ id }) => id);

describe('ChangeLog', () => {
  /** Guards against needless traffic between instances: heartbeats rewrite every entry. */
  it('reports no changes after heartbeats', () => {
    const changeLog = makeLog();
    changeLog.applyListing(
      { items: [makeItem('e1:ready:2', 11), makeItem('e2:ready:2', 12)], position: at(12) },
      false,
    );
    expect(changeLog.getChangesSince(at(10))).toEqual({
      position: at(12),
      isWhole: false,
      items: [],
      removed: [],
    });
  });

  /**
   * Guards against instances that flood an endpoint which has turned cold, because its registration
   * looks like a heartbeat, and against an update for each second of a warm-up.
   */
  it.each([
    { name: 'begins', before: 0, after: 3000, isReported: true },
    { name: 'goes on', before: 3000, after: 2000, isReported: false },
    { name: 'ends', before: 2000, after: 0, isReported: false },
    { name: 'begins again', before: 400, after: 3000, isReported: true },
  ])('reports a warm-up that $name: $isReported', ({ before, after, isReported }) => {
    const changeLog = new ChangeLog(decodeItem);
    const list = (warmupMs: number, revision: number) =>
      changeLog.applyListing(
        { items: [makeItem(`e1:ready:1:7:${warmupMs}`, revision)], position: at(revision) },
        false,
      );
    list(before, 9);
    list(after, 11);
    expect(changeLog.getChangesSince(at(9)).items.length > 0).toBe(isReported);
  });

  it('reports a state change and a removal to an instance with an older revision only', () => {
    const changeLog = makeLog();
    changeLog.applyListing({ items: [makeItem('e1:draining:2', 11)], position: at(12) }, false);
    expect(changeLog.getChangesSince(at(10))).toMatchObject({
      items: [{ key: 'e1', revision: 11 }],
      removed: ['e2'],
    });
    expect(changeLog.getChangesSince(at(12))).toMatchObject({ items: [], removed: [] });
  });

  /** Guards against removals that are never sent because they are older than the log. */
  it('reports a full snapshot for a revision older than its first listing', () => {
    expect(makeLog().getChangesSince(at(9))).toMatchObject({
      isWhole: true,
      items: [{ key: 'e1' }, { key: 'e2' }],
    });
  });

  it('reports no changes for a newer revision', () => {
    expect(makeLog().getChangesSince(at(11))).toMatchObject({
      position: at(10),
      items: [],
      removed: [],
    });
  });

  it.each([
    {
      name: 'keeps missing entries during the grace period',
      keepMissing: true,
      ids: ['e1', 'e2'],
    },
    { name: 'removes missing entries', keepMissing: false, ids: ['e1'] },
  ])('$name', ({ keepMissing, ids }) => {
    const changeLog = makeLog();
    changeLog.applyListing({ items: [makeItem('e1:ready:2', 11)], position: at(12) }, keepMissing);
    expect(listIds(changeLog)).toEqual(ids);
  });

  /** Guards against a listing that arrives after a newer update from a peer. */
  it('ignores a listing that is older than its revision', () => {
    const changeLog = makeLog();
    changeLog.applyListing({ items: [], position: at(9) }, false);
    expect(listIds(changeLog)).toEqual(['e1', 'e2']);
  });

  it('drops the registration of an entry that can no longer be decoded', () => {
    const changeLog = makeLog();
    changeLog.applyListing(
      { items: [makeItem('e1:ready:2', 11), makeItem('e2', 12)], position: at(12) },
      false,
    );
    expect(listIds(changeLog)).toEqual(['e1']);
    expect(changeLog.getChangesSince(at(10))).toMatchObject({ items: [{ key: 'e2' }] });
  });

  /**
   * Guards against a list of endpoints that stays as it was before a restore of the store, until the
   * store has assigned all lost revisions again.
   */
  it('applies a listing with a lower revision after a restore of the store', () => {
    const changeLog = makeLog();
    changeLog.applyListing({ items: [makeItem('e1:ready:2', 5, 2)], position: at(5, 2) }, true);
    const items = [makeItem('e1:draining:3', 6, 2), makeItem('e3:ready:1', 7, 2)];
    changeLog.applyListing({ items, position: at(7, 2) }, false);
    expect(changeLog.registrations).toMatchObject([
      { id: 'e1', state: 'draining' },
      { id: 'e3', state: 'ready' },
    ]);
  });

  /** Guards against a change of one revision that hides another change of the same revision. */
  it('takes an item with the same revision of another epoch for another change', () => {
    const changeLog = makeLog();
    changeLog.applyListing({ items: [makeItem('e1:draining:2', 9, 2)], position: at(9, 2) }, true);
    expect(changeLog.registrations[0]).toMatchObject({ id: 'e1', state: 'draining' });
  });

  it.each([
    { name: 'before the restore', position: at(10), isWhole: true, keys: ['e1', 'e2'] },
    { name: 'at the restored listing', position: at(6, 2), isWhole: false, keys: [] },
  ])('reports changes to an instance $name: $keys', ({ position, isWhole, keys }) => {
    const changeLog = makeLog();
    const items = [makeItem('e1:ready:2', 5, 2), makeItem('e2:ready:2', 6, 2)];
    changeLog.applyListing({ items, position: at(6, 2) }, false);
    const changes = changeLog.getChangesSince(position);
    expect(changes.isWhole).toBe(isWhole);
    expect(changes.items.map(({ key }) => key)).toEqual(keys);
  });

  /**
   * Guards against calls to an endpoint that left shortly before a restore of the store: the copy
   * still has its earlier registration, of which a heartbeat may not have been listed. Only what the
   * endpoint writes again shows that it is back.
   */
  it.each([
    { name: 'drained', listed: 'e1:draining:7', again: undefined, state: 'draining' },
    { name: 'drained', listed: 'e1:draining:7', again: 'e1:ready:9', state: 'ready' },
    { name: 'drained', listed: 'e1:draining:7', again: 'e1:ready:1:60', state: 'ready' },
    { name: 'drained', listed: 'e1:draining:7', again: 'e1:draining:1', state: 'draining' },
    { name: 'left', listed: undefined, again: undefined, state: undefined },
    { name: 'left', listed: undefined, again: 'e1:ready:9', state: 'ready' },
  ])('with e1 $name has it $state when $again is written again', ({ listed, again, state }) => {
    const changeLog = makeLog();
    const items = listed === undefined ? [] : [makeItem(listed, 11)];
    changeLog.applyListing({ items, position: at(12) }, false);
    const copy = makeItem('e1:ready:8', 5, 2);
    changeLog.applyListing({ items: [copy], position: at(6, 2) }, false);
    const written = again === undefined ? copy : makeItem(again, 7, 2);
    changeLog.applyListing({ items: [written], position: at(8, 2) }, false);
    const registration = changeLog.registrations.find(({ id }) => id === 'e1');
    expect(registration?.state).toBe(state);
  });

  /**
   * Guards against an endpoint that a follower brings back from its own listing of the copy: the
   * reader has told it neither of the last heartbeats nor, if it started later, of the removal.
   */
  it.each([
    { name: 'before the removal', startsBefore: true },
    { name: 'after the removal', startsBefore: false },
  ])('does not bring back an endpoint on a follower that started $name', ({ startsBefore }) => {
    const reader = makeLog();
    const follower = new ChangeLog(decodeItem);
    const follow = () => follower.applyChanges(reader.getChangesSince(follower.position));
    if (startsBefore) follow();
    reader.applyListing({ items: [makeItem('e2:ready:7', 30)], position: at(30) }, false);
    follow();
    const items = [makeItem('e1:ready:6', 20, 2), makeItem('e2:ready:6', 21, 2)];
    reader.applyListing({ items, position: at(21, 2) }, true);
    follow();
    follower.applyListing({ items, position: at(21, 2) }, false);
    expect([reader, follower].map(listIds)).toEqual([['e2'], ['e2']]);
  });

  /** Guards against an endpoint that gets calls on some instances for good, or none on others. */
  it.each([
    { name: 'drained', listed: ['e1:draining:7'], again: ['e1:draining:9'], state: 'draining' },
    { name: 'was added', listed: ['e1:ready:7'], again: ['e1:ready:9'], state: 'ready' },
    { name: 'left', listed: [], again: [], state: undefined },
  ])(
    'tells an instance that only knows the copy of e1, which $name',
    ({ listed, again, state }) => {
      const makeItems = (texts: readonly string[], revision: number, epoch: number) =>
        texts.map((text) => makeItem(text, revision, epoch));
      const reader = new ChangeLog(decodeItem);
      reader.applyListing({ items: makeItems(listed, 30, 1), position: at(30) }, false);
      const copy = makeItems(state === 'ready' ? [] : ['e1:ready:6'], 5, 2);
      reader.applyListing({ items: copy, position: at(6, 2) }, false);
      const follower = new ChangeLog(decodeItem);
      follower.applyListing({ items: copy, position: at(6, 2) }, false);
      reader.applyListing({ items: makeItems(again, 8, 2), position: at(8, 2) }, false);
      follower.applyChanges(reader.getChangesSince(follower.position));
      expect(follower.registrations.find(({ id }) => id === 'e1')?.state).toBe(state);
    },
  );

  /**
   * Guards against a follower that ignores the changes of an endpoint after a restore, because the
   * snapshot has its registration from before the restore with a higher revision.
   */
  it('passes on what is known from before the restore so that later changes follow', () => {
    const reader = makeLog();
    reader.applyListing({ items: [makeItem('e1:draining:7', 40)], position: at(40) }, false);
    reader.applyListing({ items: [makeItem('e1:ready:6', 5, 2)], position: at(6, 2) }, false);
    const follower = new ChangeLog(decodeItem);
    follower.applyChanges(reader.getChangesSince(follower.position));
    expect(follower.registrations).toMatchObject([{ id: 'e1', state: 'draining' }]);
    reader.applyListing({ items: [makeItem('e1:ready:8', 7, 2)], position: at(8, 2) }, false);
    follower.applyChanges(reader.getChangesSince(follower.position));
    expect(follower.registrations).toMatchObject([{ id: 'e1', state: 'ready' }]);
  });

  /** Guards against an instance that has not noticed the restore and undoes it on another one. */
  it('ignores changes and listings from before the restore', () => {
    const changeLog = makeLog();
    const earlier = makeLog().getChangesSince(at(1));
    changeLog.applyListing({ items: [], position: at(2, 2) }, false);
    changeLog.applyListing({ items: [makeItem('e3:ready:1', 3, 2)], position: at(3, 2) }, false);
    changeLog.applyChanges(earlier);
    changeLog.applyListing({ items: [], position: at(99) }, false);
    expect(listIds(changeLog)).toEqual(['e3']);
  });

  /** Guards against changes that are lost when a peer only has a log from a later revision on. */
  it('has the same registrations as another log after applying its changes', () => {
    const reader = makeLog();
    const follower = new ChangeLog(decodeItem);
    follower.applyChanges(reader.getChangesSince(follower.position));
    reader.applyListing(
      { items: [makeItem('e1:draining:2', 11), makeItem('e3:ready:1', 12)], position: at(12) },
      false,
    );
    follower.applyChanges(reader.getChangesSince(follower.position));
    expect(follower.registrations).toEqual(reader.registrations);
    expect(follower.getChangesSince(at(9)).isWhole).toBe(true);
  });

  /**
   * Guards against endpoints that stay in use after the grace period (soak seed 5002): a peer that
   * has the revision of a listing with missing entries must still get their removal, which may be
   * at the same revision.
   */
  describe('with an entry that is missing during the grace period', () => {
    const listing = { items: [makeItem('e1:ready:2', 11), makeItem('e3:ready:1', 12)] };

    /** Creates a reader in the grace period, a peer that follows it and one that follows the peer. */
    function makeChain(): readonly [ChangeLog, ChangeLog, ChangeLog] {
      const [reader, peer, last] = [
        makeLog(),
        new ChangeLog(decodeItem),
        new ChangeLog(decodeItem),
      ];
      const chain = [reader, peer, last] as const;
      syncChain(chain);
      reader.applyListing({ ...listing, position: at(12) }, true);
      return chain;
    }

    function syncChain([reader, peer, last]: readonly [ChangeLog, ChangeLog, ChangeLog]): void {
      peer.applyChanges(reader.getChangesSince(peer.position));
      last.applyChanges(peer.getChangesSince(last.position));
    }

    it('sends changes of other entries at once', () => {
      const chain = makeChain();
      syncChain(chain);
      expect(chain.map(listIds)).toEqual(Array(3).fill(['e1', 'e2', 'e3']));
    });

    it.each([
      { name: 'at the same revision', revision: 12, isSynced: true },
      { name: 'at a later revision', revision: 13, isSynced: true },
      { name: 'to peers that got nothing during the grace period', revision: 12, isSynced: false },
    ])('sends its removal $name', ({ revision, isSynced }) => {
      const chain = makeChain();
      if (isSynced) syncChain(chain);
      chain[0].applyListing({ ...listing, position: at(revision) }, false);
      syncChain(chain);
      expect(chain.map(listIds)).toEqual(Array(3).fill(['e1', 'e3']));
      expect(chain.map((log) => log.position)).toEqual(Array(3).fill(at(revision)));
    });

    it('sends a full snapshot after a restart, which does not replace a listing', () => {
      const chain = makeChain();
      syncChain(chain);
      const restarted = new ChangeLog(decodeItem);
      restarted.applyListing({ ...listing, position: at(12) }, false);
      expect(restarted.getChangesSince(chain[1].position).isWhole).toBe(true);
    });

    it('removes it after a listing of its own at the same revision', () => {
      const chain = makeChain();
      syncChain(chain);
      chain[1].applyListing({ ...listing, position: at(12) }, false);
      expect(listIds(chain[1])).toEqual(['e1', 'e3']);
    });
  });
});
