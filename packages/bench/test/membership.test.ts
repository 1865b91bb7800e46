import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { call, waitFor } from '../src/cluster.js';
import { EntryFleet, listRevisions, readEvents } from './entries.js';
import type { Entry } from './entries.js';

/** The tests share one fleet and depend on the state that the previous tests left. */
describe('five entry instances through faults', () => {
  const fleet = new EntryFleet();
  const getEntry = (n: number) => fleet.entries[n - 1] as Entry;

  beforeAll(() => fleet.open());

  afterAll(() => fleet.cluster.close());

  /** Guards joining through the seeds and the platform's list of instances. */
  it('find each other', async () => {
    await fleet.waitForLive(fleet.entries, 5);
  });

  /**
   * Guards the detection of a killed instance and of its replacement. The proxy still accepts
   * connections to the killed instance, so they are not refused.
   */
  it('remove a killed instance, and add its next incarnation', async () => {
    await getEntry(5).program.end('SIGKILL');
    await fleet.waitForLive(fleet.entries.slice(0, 4), 4);
    await fleet.start(getEntry(5));
    await fleet.waitForLive(fleet.entries, 5);
  });

  /** Guards the return of a paused instance: it refutes its death before it counts as live again. */
  it('accept an instance again that was paused for longer than the suspicion timeout', async () => {
    getEntry(4).program.process.kill('SIGSTOP');
    const others = fleet.entries.filter((entry) => entry !== getEntry(4));
    await fleet.waitForLive(others, 4);
    getEntry(4).program.process.kill('SIGCONT');
    await fleet.waitForLive(fleet.entries, 5);
    const views = readEvents(getEntry(4).program, 'members').map(({ live }) => live as string[]);
    expect(views.some((live) => live.length > 0 && !live.includes('entry-4'))).toBe(true);
  });

  /** Guards against an outdated configuration when a watch gets no responses: peers send changes. */
  it('send a change to an instance whose watch gets no responses', async () => {
    await fleet.setRouteFaults('watch', { silent: true });
    await fleet.storeRevision(2);
    await fleet.waitForRevision(fleet.entries, 2);
    const last = readEvents(getEntry(5).program, 'config-in-force').at(-1);
    expect(last).toMatchObject({ revision: 2, source: 'peer' });
  });

  /**
   * Guards a partition: each side keeps serving calls, receives changes from the platform, and
   * joins the others when the partition ends.
   */
  it('keep serving calls in a partition, and join again after it', async () => {
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

  /** Guards restarts in an outage: restarted instances get the newest revision from peers. */
  it.each([
    { what: 'one by one', groups: [[1], [2], [3], [4], [5]] },
    { what: 'three at once', groups: [[1, 2, 3]] },
  ])('keep the configuration when restarted $what in an outage', async ({ groups }) => {
    await fleet.setPlatformFaults({ down: true });
    for (const group of groups) {
      await Promise.all(group.map((n) => fleet.restart(getEntry(n), 'SIGKILL')));
      await fleet.waitUntilReady(fleet.entries);
      await fleet.waitForLive(fleet.entries, 5);
      // An instance is ready up to 500 ms before its buffered log lines are written.
      await fleet.waitForRevision(group.map(getEntry), 3);
      group.forEach((n) => expect(listRevisions(getEntry(n))).toEqual([3]));
    }
  });

  /** Guards against calls that are served by instances without a configuration. */
  it('stay unready when all are restarted at once in an outage', async () => {
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

  /** Guards I7: a change reaches all instances, and no instance returns to a lower revision. */
  it('put the next change in force everywhere and never return to a lower revision', async () => {
    await fleet.storeRevision(4);
    await fleet.waitForRevision(fleet.entries, 4);
    for (const entry of fleet.entries) expect(listRevisions(entry)).toEqual([3, 4]);
    await waitFor(
      () => fleet.entries.every(({ program }) => !program.readOutput().includes('went-back')),
      1000,
      'an entry instance reported that the platform returned to an earlier revision',
    );
  });
});
