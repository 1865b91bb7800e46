import fc from 'fast-check';
import { makeRandom, pickOne } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import { maxExtraUpdates, maxGossipUpdates, maxPageEntries } from '../src/index.js';
import { Fleet } from './fleet.js';

function startFive(seed = 1): { fleet: Fleet; names: readonly string[] } {
  const fleet = new Fleet(seed);
  const names = fleet.startMany(5);
  fleet.runFor(3000);
  return { fleet, names };
}

/** Counts the running instances that do not regard all running instances as live. */
function countIncompleteViews(fleet: Fleet): number {
  const running = [...fleet.detectors.keys()];
  return running.filter((name) => running.some((other) => !fleet.listLive(name).includes(other)))
    .length;
}

describe('a fleet of detectors', () => {
  /** Guards against a join that fails: every instance discovers all others through three seeds. */
  it.each([1, 2, 5, 40])('lets %i instances discover each other', (count) => {
    const fleet = new Fleet(3);
    const names = fleet.startMany(count);
    fleet.runFor(8000);
    names.forEach((name) => expect(fleet.listLive(name)).toEqual(names));
  });

  /** Guards against false positives while links are good and stalls below the suspicion timeout. */
  it.each([5, 40])('declares no member dead among %i while links are good', (count) => {
    const fleet = new Fleet(count);
    const names = fleet.startMany(count);
    fleet.runFor(8000);
    const random = makeRandom(count);
    for (let round = 0; round < 40; round++) {
      const stalled = pickOne(random, names);
      fleet.paused.add(stalled);
      fleet.runFor(random.next() * 700);
      fleet.paused.delete(stalled);
      fleet.runFor(500);
      names.forEach((name) =>
        expect(fleet.get(name).peers.filter(({ state }) => state === 'dead')).toEqual([]),
      );
    }
  });

  /** Guards against members that detect a dead or departed process late or not at all. */
  it.each([
    {
      what: 'was killed, port silent',
      isPortClosed: false,
      hasLeft: false,
      withinMs: 3200,
      state: 'dead',
    },
    {
      what: 'was killed, port refusing',
      isPortClosed: true,
      hasLeft: false,
      withinMs: 200,
      state: 'dead',
    },
    { what: 'left', isPortClosed: false, hasLeft: true, withinMs: 50, state: 'left' },
  ])('detects an instance that $what', ({ isPortClosed, hasLeft, withinMs, state }) => {
    const { fleet } = startFive();
    if (hasLeft) fleet.get('n004').leave();
    fleet.kill('n004');
    const rest = [...fleet.detectors.keys()];
    if (isPortClosed) rest.forEach((name) => fleet.get(name).declareDead('n004' as never));
    fleet.runFor(withinMs);
    rest.forEach((name) => {
      expect(fleet.listLive(name)).toEqual(rest);
      expect(fleet.findPeer(name, 'n004')?.state).toBe(state);
    });
  });

  /** Guards indirect probes: a broken link between two members only causes no suspicion. */
  it.each([
    { what: 'in one direction', links: ['n000>n001'] },
    { what: 'in both directions', links: ['n000>n001', 'n001>n000'] },
  ])('tolerates a link that is broken $what', ({ links }) => {
    const { fleet, names } = startFive();
    links.forEach((link) => fleet.brokenLinks.add(link));
    for (let second = 0; second < 30; second++) {
      fleet.runFor(1000);
      names.forEach((name) => expect(fleet.listLive(name)).toEqual(names));
    }
    expect(fleet.findPeer('n002', 'n001')?.refutation).toBe(0);
  });

  /** Guards against an instance that suspects others because it stalled itself. */
  it('suspects no member because of its own short stalls', () => {
    const { fleet, names } = startFive();
    for (let round = 0; round < 40; round++) {
      fleet.paused.add('n000');
      fleet.runFor(150 + 5 * round);
      fleet.paused.delete('n000');
      // The next stall begins just after a ping, so that its acknowledgement is not read in time.
      fleet.runFor(200 + 10 * (round % 3));
    }
    names.slice(1).forEach((name) => {
      const viewer = name === 'n001' ? 'n002' : 'n001';
      expect(fleet.findPeer(viewer, name)?.refutation).toBe(0);
    });
  });

  /** Guards against refutations that arrive too late: every member pings the suspects it knows. */
  it('declares no member dead among 40 while 10% of messages are lost', () => {
    const fleet = new Fleet(11);
    const names = fleet.startMany(40);
    fleet.runFor(8000);
    fleet.lossRate = 0.1;
    for (let second = 0; second < 20; second++) {
      fleet.runFor(1000);
      names.forEach((name) =>
        expect(fleet.get(name).peers.filter(({ state }) => state === 'dead')).toEqual([]),
      );
    }
  });

  /** Guards against a new instance that learns the members only slowly through gossip. */
  it('sends a new instance the whole member table', () => {
    const fleet = new Fleet(13);
    const names = fleet.startMany(40);
    fleet.runFor(8000);
    fleet.start('n100', names.slice(0, 1));
    fleet.runFor(400);
    expect(fleet.listLive('n100')).toEqual([...names, 'n100']);
  });

  /** Guards against a resumed instance that regards itself as live while it is declared dead. */
  it('makes a paused instance refute its death before it regards itself as live', () => {
    const { fleet, names } = startFive();
    fleet.paused.add('n002');
    fleet.runFor(4000);
    expect(fleet.listLive('n000')).not.toContain('n002');
    names
      .filter((name) => name !== 'n002')
      .forEach((name) => fleet.brokenLinks.add(`${name}>n002`));
    fleet.paused.delete('n002');
    fleet.runFor(20);
    expect(fleet.get('n002').isSelfLive).toBe(false);
    fleet.runFor(300);
    expect(fleet.get('n002').isSelfLive).toBe(false);
    fleet.brokenLinks.clear();
    fleet.runFor(3000);
    expect(fleet.get('n002').isSelfLive).toBe(true);
    names.forEach((name) => expect(fleet.listLive(name)).toEqual(names));
    expect(fleet.findPeer('n000', 'n002')?.refutation).toBeGreaterThan(0);
  });

  /** Guards against a restarted instance whose older incarnation still regards itself as live. */
  it('prefers the newer of two incarnations of an instance', () => {
    const { fleet } = startFive();
    const older = fleet.get('n003');
    const peers = ['n000', 'n001', 'n002', 'n004'];
    fleet.start('n003', peers, `${fleet.clock.readWallTime() + 1}-new`);
    fleet.runFor(2000);
    peers.forEach((name) => expect(fleet.findPeer(name, 'n003')?.incarnation).toMatch(/-new$/));
    const newer = fleet.get('n003');
    fleet.detectors.set('n003', older);
    fleet.runFor(2000);
    expect(older.isSuperseded).toBe(true);
    expect(older.isSelfLive).toBe(false);
    fleet.detectors.set('n003', newer);
    fleet.runFor(6000);
    expect(newer.isSelfLive).toBe(true);
    expect(fleet.listLive('n000')).toContain('n003');
  });

  /** Guards against a slow detection when a quarter of the fleet fails at the same time. */
  it('detects the loss of a whole failure domain', () => {
    const fleet = new Fleet(9);
    const names = fleet.startMany(40);
    fleet.runFor(8000);
    names.filter((_, n) => n % 4 === 0).forEach((name) => fleet.kill(name));
    const rest = [...fleet.detectors.keys()];
    fleet.runFor(8000);
    rest.forEach((name) => expect(fleet.listLive(name)).toEqual(rest));
  });

  /** Guards the end of a partition: both sides keep running and merge again without candidates. */
  it('merges the sides of a healed partition', () => {
    const fleet = new Fleet(17);
    const names = fleet.startMany(20);
    fleet.runFor(5000);
    names.forEach((name) => fleet.get(name).setCandidates(new Map()));
    const left = names.slice(0, 8);
    const right = names.slice(8);
    fleet.setPartition(left, right, true);
    fleet.runFor(20_000);
    left.forEach((name) => expect(fleet.listLive(name)).toEqual(left));
    right.forEach((name) => expect(fleet.listLive(name)).toEqual(right));
    fleet.setPartition(left, right, false);
    fleet.runFor(3000);
    names.forEach((name) => expect(fleet.listLive(name)).toEqual(names));
  });

  /** Guards against an outdated list of candidates, which must not add or remove members. */
  it('probes candidates without treating them as members', () => {
    const { fleet } = startFive();
    fleet.kill('n004');
    const rest = [...fleet.detectors.keys()];
    fleet.runFor(4000);
    const outdated = new Map([['n004' as never, '10.0.0.1:n004']]);
    rest.forEach((name) => fleet.get(name).setCandidates(outdated));
    fleet.runFor(6000);
    rest.forEach((name) => expect(fleet.listLive(name)).toEqual(rest));
  });

  /** Guards against unbounded memory use by entries of dead members. */
  it('removes dead members after two hours', () => {
    const { fleet } = startFive();
    const isolated = fleet.get('n000');
    isolated.declareDead('n004' as never);
    fleet.setPartition(['n000'], ['n001', 'n002', 'n003', 'n004'], true);
    fleet.runFor(5000);
    expect(isolated.peers).toHaveLength(4);
    isolated.setCandidates(new Map());
    fleet.clock.advance(2 * 3_600_000);
    isolated.tick();
    expect(isolated.peers).toEqual([]);
  });

  /** Guards against messages whose number or size grows with the fleet. */
  it('sends the same number of messages per instance at every size', () => {
    const rates = [5, 20, 40, 200].map((count) => {
      const fleet = new Fleet(count);
      fleet.startMany(count);
      fleet.runFor(3000);
      expect(fleet.maxUpdates.get('ping')).toBeLessThanOrEqual(maxGossipUpdates + maxExtraUpdates);
      expect(fleet.maxUpdates.get('ack')).toBeLessThanOrEqual(maxGossipUpdates + maxExtraUpdates);
      expect(fleet.maxUpdates.get('members')).toBeLessThanOrEqual(maxPageEntries + maxExtraUpdates);
      fleet.sentCounts.clear();
      fleet.runFor(2000);
      return [...fleet.sentCounts.values()].reduce((sum, sent) => sum + sent, 0) / count / 2;
    });
    // Five pings per second and as many acknowledgements.
    rates.forEach((rate) => expect(rate).toBeLessThan(12));
    expect(Math.max(...rates) / Math.min(...rates)).toBeLessThan(1.2);
  });

  /** Guards against views that stay wrong or different after all links work again. */
  it('converges after any sequence of message loss, partitions, pauses and restarts', () => {
    const step = fc.record({
      kind: fc.constantFrom(
        'kill',
        'restart',
        'pause',
        'resume',
        'partition',
        'break-link',
        'heal',
        'loss',
      ),
      at: fc.integer({ min: 0, max: 4 }),
      ms: fc.integer({ min: 50, max: 2500 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 12 }), fc.integer(), (steps, seed) => {
        const { fleet, names } = startFive(seed);
        for (const { kind, at, ms } of steps) {
          const name = names[at] as string;
          const others = names.filter((other) => other !== name);
          if (kind === 'kill') fleet.kill(name);
          if (kind === 'restart') fleet.start(name, names);
          if (kind === 'pause') fleet.paused.add(name);
          if (kind === 'resume') fleet.paused.delete(name);
          if (kind === 'partition') fleet.setPartition([name], others, true);
          if (kind === 'break-link') fleet.brokenLinks.add(`${name}>${others[0]}`);
          if (kind === 'heal') fleet.brokenLinks.clear();
          if (kind === 'loss') fleet.lossRate = 0.2;
          fleet.runFor(ms);
        }
        fleet.brokenLinks.clear();
        fleet.paused.clear();
        fleet.lossRate = 0;
        fleet.runFor(15_000);
        expect(countIncompleteViews(fleet)).toBe(0);
        const running = [...fleet.detectors.keys()].sort();
        running.forEach((name) => expect(fleet.listLive(name)).toEqual(running));
      }),
      { numRuns: 60, seed: 7 },
    );
  });
});
