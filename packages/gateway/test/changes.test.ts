import type { EndpointId, FailureDomain, ServiceId } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import type { Registration } from '../src/catalog.js';
import { ChangeLog } from '../src/changes.js';

/** An item is written `id:state:heartbeat`. */
const makeItem = (text: string, revision: number) => {
  const [id = ''] = text.split(':');
  return { key: id, value: Buffer.from(text), revision };
};

function readItem({ value }: { readonly value: Buffer }): Registration | undefined {
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

/** A log that has read e1 and e2 at revision 10. */
function makeLog(): ChangeLog {
  const log = new ChangeLog(readItem);
  log.applyListing(
    { items: [makeItem('e1:ready:1', 9), makeItem('e2:ready:1', 10)], revision: 10 },
    false,
  );
  return log;
}

const listIds = (log: ChangeLog) => log.registrations.map(({ id }) => id);

describe('ChangeLog', () => {
  /** Guards the bytes between instances: heartbeats rewrite every entry. */
  it('tells no heartbeats', () => {
    const log = makeLog();
    log.applyListing(
      { items: [makeItem('e1:ready:2', 11), makeItem('e2:ready:2', 12)], revision: 12 },
      false,
    );
    expect(log.getChangesSince(10)).toEqual({
      revision: 12,
      isWhole: false,
      items: [],
      removed: [],
    });
  });

  it('tells a change of state and a removal to whoever has not seen them', () => {
    const log = makeLog();
    log.applyListing({ items: [makeItem('e1:draining:2', 11)], revision: 12 }, false);
    expect(log.getChangesSince(10)).toMatchObject({
      items: [{ key: 'e1', revision: 11 }],
      removed: ['e2'],
    });
    expect(log.getChangesSince(12)).toMatchObject({ items: [], removed: [] });
  });

  /** Guards against removals that an instance never hears of because they are older than the log. */
  it('tells everything to whoever is behind its first list', () => {
    expect(makeLog().getChangesSince(9)).toMatchObject({
      isWhole: true,
      items: [{ key: 'e1' }, { key: 'e2' }],
    });
  });

  it('tells nothing to whoever is ahead', () => {
    expect(makeLog().getChangesSince(11)).toMatchObject({ revision: 10, items: [], removed: [] });
  });

  it.each([
    {
      name: 'keeps missing entries while they may come back',
      keepMissing: true,
      ids: ['e1', 'e2'],
    },
    { name: 'drops missing entries', keepMissing: false, ids: ['e1'] },
  ])('$name', ({ keepMissing, ids }) => {
    const log = makeLog();
    log.applyListing({ items: [makeItem('e1:ready:2', 11)], revision: 12 }, keepMissing);
    expect(listIds(log)).toEqual(ids);
  });

  /** Guards against a list that was on its way while a newer one came from a peer. */
  it('takes no list that is older than what it has', () => {
    const log = makeLog();
    log.applyListing({ items: [], revision: 9 }, false);
    expect(listIds(log)).toEqual(['e1', 'e2']);
  });

  it('drops an entry that cannot be read any more', () => {
    const log = makeLog();
    log.applyListing(
      { items: [makeItem('e1:ready:2', 11), makeItem('e2', 12)], revision: 12 },
      false,
    );
    expect(listIds(log)).toEqual(['e1']);
    expect(log.getChangesSince(10)).toMatchObject({ items: [{ key: 'e2' }] });
  });

  /** Guards an instance against a peer whose log begins later than what the instance knows. */
  it('follows another log by its changes as if it had read the store', () => {
    const reader = makeLog();
    const follower = new ChangeLog(readItem);
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
