import fc from 'fast-check';
import { makeRandom, pickOne } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import { maxExtras, maxNews, maxPageLength } from '../src/index.js';
import { Fleet } from './fleet.js';

function startFive(seed = 1): { fleet: Fleet; names: readonly string[] } {
  const fleet = new Fleet(seed);
  const names = fleet.startMany(5);
  fleet.run(3000);
  return { fleet, names };
}

/** Counts in how many views some other running instance is missing. */
function countMissing(fleet: Fleet): number {
  const running = [...fleet.detectors.keys()];
  return running.filter((name) => running.some((other) => !fleet.live(name).includes(other)))
    .length;
}

describe('a fleet of detectors', () => {
  /** Guards the join: every instance finds all others through three seeds. */
  it.each([1, 2, 5, 40])('%i instances find each other', (count) => {
    const fleet = new Fleet(3);
    const names = fleet.startMany(count);
    fleet.run(8000);
    names.forEach((name) => expect(fleet.live(name)).toEqual(names));
  });

  /** Guards against false deaths: good links and stalls below the suspicion time kill nobody. */
  it.each([5, 40])('declares nobody dead among %i while links are good', (count) => {
    const fleet = new Fleet(count);
    const names = fleet.startMany(count);
    fleet.run(8000);
    const random = makeRandom(count);
    for (let round = 0; round < 40; round++) {
      const stalled = pickOne(random, names);
      fleet.paused.add(stalled);
      fleet.run(random.next() * 700);
      fleet.paused.delete(stalled);
      fleet.run(500);
      names.forEach((name) =>
        expect(fleet.get(name).peers.filter(({ state }) => state === 'dead')).toEqual([]),
      );
    }
  });

  /** Guards detection of silent and of departed processes, in time and by everyone. */
  it.each([
    { what: 'killed, port silent', gone: false, left: false, withinMs: 3200, state: 'dead' },
    { what: 'killed, port refusing', gone: true, left: false, withinMs: 200, state: 'dead' },
    { what: 'left', gone: false, left: true, withinMs: 50, state: 'left' },
  ])('sees an instance that was $what', ({ gone, left, withinMs, state }) => {
    const { fleet } = startFive();
    if (left) fleet.get('n004').leave();
    fleet.kill('n004');
    const rest = [...fleet.detectors.keys()];
    if (gone) rest.forEach((name) => fleet.get(name).declareDead('n004' as never));
    fleet.run(withinMs);
    rest.forEach((name) => {
      expect(fleet.live(name)).toEqual(rest);
      expect(fleet.known(name, 'n004')?.state).toBe(state);
    });
  });

  /** Guards helpers: a cut between two members only, in one or both directions, kills nobody. */
  it.each([
    { what: 'one way', cuts: ['n000>n001'] },
    { what: 'both ways', cuts: ['n000>n001', 'n001>n000'] },
  ])('lives with a link that is cut $what', ({ cuts }) => {
    const { fleet, names } = startFive();
    cuts.forEach((way) => fleet.cuts.add(way));
    for (let second = 0; second < 30; second++) {
      fleet.run(1000);
      names.forEach((name) => expect(fleet.live(name)).toEqual(names));
    }
    expect(fleet.known('n002', 'n001')?.refutation).toBe(0);
  });

  /** Guards against an instance that takes its own stall for the silence of others. */
  it('suspects nobody because of its own short stalls', () => {
    const { fleet, names } = startFive();
    for (let round = 0; round < 40; round++) {
      fleet.paused.add('n000');
      fleet.run(150 + 5 * round);
      fleet.paused.delete('n000');
      // The next stall begins just after a ping, whose answer then waits unread.
      fleet.run(200 + 10 * (round % 3));
    }
    names.slice(1).forEach((name) => {
      const viewer = name === 'n001' ? 'n002' : 'n001';
      expect(fleet.known(viewer, name)?.refutation).toBe(0);
    });
  });

  /** Guards the refutation in time: a suspect is asked by everyone who suspects it. */
  it('declares nobody dead among 40 while 10% of messages are lost', () => {
    const fleet = new Fleet(11);
    const names = fleet.startMany(40);
    fleet.run(8000);
    fleet.loss = 0.1;
    for (let second = 0; second < 20; second++) {
      fleet.run(1000);
      names.forEach((name) =>
        expect(fleet.get(name).peers.filter(({ state }) => state === 'dead')).toEqual([]),
      );
    }
  });

  /** Guards the table on joining: a new instance does not wait for gossip to know the fleet. */
  it('gives a new instance the whole table', () => {
    const fleet = new Fleet(13);
    const names = fleet.startMany(40);
    fleet.run(8000);
    fleet.start('n100', names.slice(0, 1));
    fleet.run(400);
    expect(fleet.live('n100')).toEqual([...names, 'n100']);
  });

  /** Guards the refutation: a paused instance may not count itself live when it comes back. */
  it('makes a paused instance refute its death before it counts itself live', () => {
    const { fleet, names } = startFive();
    fleet.paused.add('n002');
    fleet.run(4000);
    expect(fleet.live('n000')).not.toContain('n002');
    names.filter((name) => name !== 'n002').forEach((name) => fleet.cuts.add(`${name}>n002`));
    fleet.paused.delete('n002');
    fleet.run(20);
    expect(fleet.get('n002').isSelfLive).toBe(false);
    fleet.run(300);
    expect(fleet.get('n002').isSelfLive).toBe(false);
    fleet.cuts.clear();
    fleet.run(3000);
    expect(fleet.get('n002').isSelfLive).toBe(true);
    names.forEach((name) => expect(fleet.live(name)).toEqual(names));
    expect(fleet.known('n000', 'n002')?.refutation).toBeGreaterThan(0);
  });

  /** Guards the restart: the newer incarnation wins, the older one never counts itself live. */
  it('prefers the newer of two incarnations of a name', () => {
    const { fleet } = startFive();
    const older = fleet.get('n003');
    const peers = ['n000', 'n001', 'n002', 'n004'];
    fleet.start('n003', peers, `${fleet.clock.wall() + 1}-new`);
    fleet.run(2000);
    peers.forEach((name) => expect(fleet.known(name, 'n003')?.incarnation).toMatch(/-new$/));
    const newer = fleet.get('n003');
    fleet.detectors.set('n003', older);
    fleet.run(2000);
    expect(older.isSuperseded).toBe(true);
    expect(older.isSelfLive).toBe(false);
    fleet.detectors.set('n003', newer);
    fleet.run(6000);
    expect(newer.isSelfLive).toBe(true);
    expect(fleet.live('n000')).toContain('n003');
  });

  /** Guards against the loss of a quarter of the fleet at one moment. */
  it('sees a whole failure domain lost at once', () => {
    const fleet = new Fleet(9);
    const names = fleet.startMany(40);
    fleet.run(8000);
    names.filter((_, n) => n % 4 === 0).forEach((name) => fleet.kill(name));
    const rest = [...fleet.detectors.keys()];
    fleet.run(8000);
    rest.forEach((name) => expect(fleet.live(name)).toEqual(rest));
  });

  /** Guards healing: both sides of a cut go on alone and find each other without any list. */
  it('joins the sides of a healed partition', () => {
    const fleet = new Fleet(17);
    const names = fleet.startMany(20);
    fleet.run(5000);
    names.forEach((name) => fleet.get(name).setCandidates(new Map()));
    const left = names.slice(0, 8);
    const right = names.slice(8);
    fleet.setCut(left, right, true);
    fleet.run(20_000);
    left.forEach((name) => expect(fleet.live(name)).toEqual(left));
    right.forEach((name) => expect(fleet.live(name)).toEqual(right));
    fleet.setCut(left, right, false);
    fleet.run(3000);
    names.forEach((name) => expect(fleet.live(name)).toEqual(names));
  });

  /** Guards against a list that is late: it revives nobody and removes nobody. */
  it('takes names from a list as names to try only', () => {
    const { fleet } = startFive();
    fleet.kill('n004');
    const rest = [...fleet.detectors.keys()];
    fleet.run(4000);
    const stale = new Map([['n004' as never, '10.0.0.1:n004']]);
    rest.forEach((name) => fleet.get(name).setCandidates(stale));
    fleet.run(6000);
    rest.forEach((name) => expect(fleet.live(name)).toEqual(rest));
  });

  /** Guards the bound on memory: names gone for long are dropped. */
  it('forgets the dead after two hours', () => {
    const { fleet } = startFive();
    const alone = fleet.get('n000');
    alone.declareDead('n004' as never);
    fleet.setCut(['n000'], ['n001', 'n002', 'n003', 'n004'], true);
    fleet.run(5000);
    expect(alone.peers).toHaveLength(4);
    alone.setCandidates(new Map());
    fleet.clock.advance(2 * 3_600_000);
    alone.tick();
    expect(alone.peers).toEqual([]);
  });

  /** Guards the cost: messages and their size do not grow with the fleet. */
  it('sends the same number of messages per instance at every size', () => {
    const rates = [5, 20, 40, 200].map((count) => {
      const fleet = new Fleet(count);
      fleet.startMany(count);
      fleet.run(3000);
      expect(fleet.maxUpdates.get('ping')).toBeLessThanOrEqual(maxNews + maxExtras);
      expect(fleet.maxUpdates.get('ack')).toBeLessThanOrEqual(maxNews + maxExtras);
      expect(fleet.maxUpdates.get('members')).toBeLessThanOrEqual(maxPageLength + maxExtras);
      fleet.sent.clear();
      fleet.run(2000);
      return [...fleet.sent.values()].reduce((sum, sent) => sum + sent, 0) / count / 2;
    });
    // Five pings a second and as many acknowledgements.
    rates.forEach((rate) => expect(rate).toBeLessThan(12));
    expect(Math.max(...rates) / Math.min(...rates)).toBeLessThan(1.2);
  });

  /** Guards convergence: after any history and good links all views are equal and right. */
  it('converges after any history of loss, cuts, pauses and restarts', () => {
    const step = fc.record({
      kind: fc.constantFrom('kill', 'restart', 'pause', 'resume', 'cut', 'one-way', 'heal', 'loss'),
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
          if (kind === 'cut') fleet.setCut([name], others, true);
          if (kind === 'one-way') fleet.cuts.add(`${name}>${others[0]}`);
          if (kind === 'heal') fleet.cuts.clear();
          if (kind === 'loss') fleet.loss = 0.2;
          fleet.run(ms);
        }
        fleet.cuts.clear();
        fleet.paused.clear();
        fleet.loss = 0;
        fleet.run(15_000);
        expect(countMissing(fleet)).toBe(0);
        const running = [...fleet.detectors.keys()].sort();
        running.forEach((name) => expect(fleet.live(name)).toEqual(running));
      }),
      { numRuns: 60, seed: 7 },
    );
  });
});
