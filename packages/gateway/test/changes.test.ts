import type { EndpointId, FailureDomain, ServiceId } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import type { Registration } from '../src/catalog.js';
import { ChangeLog } from '../src/changes.js';

/** Creates an item from `id:state:heartbeat`. */
const makeItem = (text: string, revision: number) => {
  const [id = ''] = text.split(':');
  return { key: id, value: Buffer.from(text), revision };
};

function decodeItem({ value }: { readonly value: Buffer }): Registration | undefined {
  const [id = '', state = ''] = value.toString().split(':');
  if (state !== 'ready' && state !== 'draining') return undefined;
  return {
    id: id as EndpointId,
    service: 'a' as ServiceId,
    address: '127.0.0.1:1',
    failureDomain: 'z' as FailureDomain,
    slots: 3,
    state,
    startedAtMs: undefined,
    warmupMs: 0,
  };
}

/** Creates a log that contains e1 and e2 at revision 10. */
function makeLog(): ChangeLog {
  const changeLog = new ChangeLog(decodeItem);
  changeLog.applyListing(
    { items: [makeItem('e1:ready:1', 9), makeItem('e2:ready:1', 10)], revision: 10 },
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
      { items: [makeItem('e1:ready:2', 11), makeItem('e2:ready:2', 12)], revision: 12 },
      false,
    );
    expect(changeLog.getChangesSince(10)).toEqual({
      revision: 12,
      isWhole: false,
      items: [],
      removed: [],
    });
  });

  it('reports a state change and a removal to an instance with an older revision only', () => {
    const changeLog = makeLog();
    changeLog.applyListing({ items: [makeItem('e1:draining:2', 11)], revision: 12 }, false);
    expect(changeLog.getChangesSince(10)).toMatchObject({
      items: [{ key: 'e1', revision: 11 }],
      removed: ['e2'],
    });
    expect(changeLog.getChangesSince(12)).toMatchObject({ items: [], removed: [] });
  });

  /** Guards against removals that are never sent because they are older than the log. */
  it('reports a full snapshot for a revision older than its first listing', () => {
    expect(makeLog().getChangesSince(9)).toMatchObject({
      isWhole: true,
      items: [{ key: 'e1' }, { key: 'e2' }],
    });
  });

  it('reports no changes for a newer revision', () => {
    expect(makeLog().getChangesSince(11)).toMatchObject({ revision: 10, items: [], removed: [] });
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
    changeLog.applyListing({ items: [makeItem('e1:ready:2', 11)], revision: 12 }, keepMissing);
    expect(listIds(changeLog)).toEqual(ids);
  });

  /** Guards against a listing that arrives after a newer update from a peer. */
  it('ignores a listing that is older than its revision', () => {
    const changeLog = makeLog();
    changeLog.applyListing({ items: [], revision: 9 }, false);
    expect(listIds(changeLog)).toEqual(['e1', 'e2']);
  });

  it('drops the registration of an entry that can no longer be decoded', () => {
    const changeLog = makeLog();
    changeLog.applyListing(
      { items: [makeItem('e1:ready:2', 11), makeItem('e2', 12)], revision: 12 },
      false,
    );
    expect(listIds(changeLog)).toEqual(['e1']);
    expect(changeLog.getChangesSince(10)).toMatchObject({ items: [{ key: 'e2' }] });
  });

  /** Guards against changes that are lost when a peer only has a log from a later revision on. */
  it('has the same registrations as another log after applying its changes', () => {
    const reader = makeLog();
    const follower = new ChangeLog(decodeItem);
    follower.applyChanges(reader.getChangesSince(follower.revision));
    reader.applyListing(
      { items: [makeItem('e1:draining:2', 11), makeItem('e3:ready:1', 12)], revision: 12 },
      false,
    );
    follower.applyChanges(reader.getChangesSince(follower.revision));
    expect(follower.registrations).toEqual(reader.registrations);
    expect(follower.getChangesSince(9).isWhole).toBe(true);
  });
});
