import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { call, waitFor } from '../src/cluster.js';
import { EntryFleet, listRevisions, readEvents } from './entries.js';
import type { Entry } from './entries.js';

/** The tests build on each other: one fleet goes through all faults. */
describe('five entry instances through faults', () => {
  const fleet = new EntryFleet();
  const get = (n: number) => fleet.entries[n - 1] as Entry;

  beforeAll(() => fleet.open());

  afterAll(() => fleet.cluster.close());

  /** Guards the join through seeds and the platform's list. */
  it('find each other', async () => {
    await fleet.waitForLive(fleet.entries, 5);
  });

  /** Guards the loss and the replacement of one instance; its port stays open at the proxy. */
  it('see a killed instance as gone, and its next incarnation as live', async () => {
    await get(5).running.end('SIGKILL');
    await fleet.waitForLive(fleet.entries.slice(0, 4), 4);
    await fleet.start(get(5));
    await fleet.waitForLive(fleet.entries, 5);
  });

  /** Guards the return of a paused instance: it refutes its death before it counts as live. */
  it('take back an instance that was stopped for longer than the suspicion', async () => {
    get(4).running.process.kill('SIGSTOP');
    const rest = fleet.entries.filter((entry) => entry !== get(4));
    await fleet.waitForLive(rest, 4);
    get(4).running.process.kill('SIGCONT');
    await fleet.waitForLive(fleet.entries, 5);
    const views = readEvents(get(4).running, 'members').map(({ live }) => live as string[]);
    expect(views.some((live) => live.length > 0 && !live.includes('entry-4'))).toBe(true);
  });

  /** Guards the watch that is silent: the configuration comes from peers. */
  it('pass a change on to an instance whose watch is silent', async () => {
    await fleet.setRouteFaults('watch', { silent: true });
    await fleet.storeRevision(2);
    await fleet.waitForRevision(fleet.entries, 2);
    const last = readEvents(get(5).running, 'config-in-force').at(-1);
    expect(last).toMatchObject({ revision: 2, source: 'peer' });
  });

  /** Guards a partition: each side goes on, hears changes from the platform, and joins again. */
  it('go on alone when they are cut from each other, and join again', async () => {
    await fleet.setRouteFaults('watch', {});
    await Promise.all(
      fleet.entries.map(({ name }) => fleet.setRouteFaults(name, { silent: true })),
    );
    await fleet.waitForLive(fleet.entries, 1);
    await fleet.storeRevision(3);
    await fleet.waitForRevision(fleet.entries, 3);
    const replies = await Promise.all(
      fleet.entries.map(({ callerPort }) => call(callerPort, '/status?ms=1')),
    );
    expect(replies.map(({ status }) => status)).toEqual([200, 200, 200, 200, 200]);
    await Promise.all(fleet.entries.map(({ name }) => fleet.setRouteFaults(name, {})));
    await fleet.waitForLive(fleet.entries, 5);
  });

  /** Guards restarts in an outage: replaced instances take the newest revision from peers. */
  it.each([
    { what: 'one by one', groups: [[1], [2], [3], [4], [5]] },
    { what: 'three at once', groups: [[1, 2, 3]] },
  ])('keep the configuration in an outage when replaced $what', async ({ groups }) => {
    await fleet.setPlatformFaults({ down: true });
    for (const group of groups) {
      await Promise.all(group.map((n) => fleet.restart(get(n), 'SIGKILL')));
      await fleet.waitUntilReady(fleet.entries);
      await fleet.waitForLive(fleet.entries, 5);
      group.forEach((n) => expect(listRevisions(get(n))).toEqual([3]));
    }
  });

  /** Guards against calls served by instances that know nothing. */
  it('stay unready when all are replaced at once in an outage', async () => {
    await Promise.all(fleet.entries.map((entry) => fleet.restart(entry, 'SIGKILL')));
    await fleet.waitForLive(fleet.entries, 5);
    for (const entry of fleet.entries) {
      expect(await fleet.isReady(entry)).toBe(false);
      const reply = await call(entry.callerPort, '/status?ms=1');
      expect(reply.status).toBe(503);
      expect(reply.headers['x-request-outcome']).toBe('not-run');
    }
    await fleet.setPlatformFaults({});
    await fleet.waitUntilReady(fleet.entries);
    await fleet.waitForRevision(fleet.entries, 3);
  });

  /** Guards I7: a change reaches all, and no instance ever went to a lower revision. */
  it('put the next change in force everywhere and never went back', async () => {
    await fleet.storeRevision(4);
    await fleet.waitForRevision(fleet.entries, 4);
    for (const entry of fleet.entries) expect(listRevisions(entry)).toEqual([3, 4]);
    await waitFor(
      () => fleet.entries.every(({ running }) => !running.readText().includes('went-back')),
      1000,
      'an instance took the platform for one that went back',
    );
  });
});
