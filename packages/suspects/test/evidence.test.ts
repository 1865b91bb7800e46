import { ManualClock } from '@dotterelpass/values';
import type { Incarnation } from '@dotterelpass/values';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CrashTable } from '../src/evidence.js';

const request = 'f';

/** Time in which a ban reaches the other instances, in milliseconds. */
const banDelayMs = 2000;

/** Time after the third crash from which the runs of a request are counted, and how many may be. */
const contactMs = 3000;
const maxLateRuns = 3;

/** Crashes of each instance's endpoints, with the fleet's keys as the store has them. */
class FleetModel {
  readonly clock = new ManualClock();

  readonly #tables: CrashTable[];

  /** First crashed incarnation of each request. */
  readonly #reports = new Map<string, string>();

  /** Times from which bans are known to all instances. */
  readonly #bans = new Map<string, number>();

  #crashes = 0;

  constructor(instances: number) {
    this.#tables = Array.from({ length: instances }, () => new CrashTable(this.clock));
  }

  /** Runs a request, unless it is banned, at an instance whose endpoint crashes or answers. */
  run(instance: number, crashes: boolean): 'banned' | 'crashed' | 'answered' {
    const table = this.#getTable(instance);
    const bannedAt = this.#bans.get(request);
    if (bannedAt !== undefined && this.clock.now() >= bannedAt && !table.acceptBan(request)) {
      this.#bans.delete(request);
      this.#tables.forEach((other) => other.liftBan(request));
    }
    if (table.isBanned(request)) return 'banned';
    if (!crashes) {
      table.recordAnswer(request);
      return 'answered';
    }
    this.#crashes += 1;
    this.crash(instance, `e${this.#crashes}`);
    return 'crashed';
  }

  /** Lets an endpoint crash while it runs the request for an instance. */
  crash(instance: number, incarnation: string): void {
    const table = this.#getTable(instance);
    const finding = table.recordCrash(request, incarnation as Incarnation);
    if (finding === 'banned') this.#ban();
    if (finding !== 'suspect') return;
    const earlier = this.#reports.get(request);
    if (earlier === undefined) this.#reports.set(request, incarnation);
    else if (earlier !== incarnation && table.acceptBan(request)) this.#ban();
  }

  #ban(): void {
    if (!this.#bans.has(request)) this.#bans.set(request, this.clock.now() + banDelayMs);
  }

  #getTable(instance: number): CrashTable {
    return this.#tables[instance % this.#tables.length] as CrashTable;
  }
}

describe('a request that crashes each endpoint', () => {
  /** Guards against a fleet in which each instance counts by itself (review/5). */
  it.each([1, 2, 5, 9, 51, 300])('reaches few endpoints of %i instances', (instances) => {
    const arrivals = fc.array(
      fc.record({ instance: fc.nat(instances - 1), pauseMs: fc.integer({ min: 0, max: 5000 }) }),
      { minLength: 20, maxLength: 80 },
    );
    fc.assert(
      fc.property(arrivals, (sent) => {
        const fleet = new FleetModel(instances);
        const crashedAt: number[] = [];
        sent.forEach(({ instance, pauseMs }) => {
          fleet.clock.advance(pauseMs);
          if (fleet.run(instance, true) === 'crashed') crashedAt.push(fleet.clock.now());
        });
        const freeUntil = (crashedAt[2] ?? Infinity) + contactMs;
        expect(crashedAt.filter((at) => at > freeUntil).length).toBeLessThanOrEqual(maxLateRuns);
      }),
      { seed: 35, numRuns: 50 },
    );
  });
});

describe('a request that crashes nothing', () => {
  /**
   * Guards against a ban of a much used request whose endpoints crash for another reason (review/4):
   * in each round several endpoints crash, each with calls of several instances.
   */
  it.each([1, 5, 51])('is served by %i instances through any crashes of endpoints', (instances) => {
    const rounds = fc.array(
      fc.record({
        answers: fc.integer({ min: 4, max: 40 }),
        crashes: fc.array(fc.array(fc.nat(instances - 1), { minLength: 1, maxLength: 3 }), {
          maxLength: 4,
        }),
      }),
      { maxLength: 30 },
    );
    fc.assert(
      fc.property(rounds, (series) => {
        const fleet = new FleetModel(instances);
        series.forEach(({ answers, crashes }, round) => {
          fleet.clock.advance(6000);
          for (let index = 0; index < answers * instances; index++) {
            expect(fleet.run(index, false)).toBe('answered');
          }
          crashes.forEach((victims, endpoint) =>
            victims.forEach((instance) => fleet.crash(instance, `${round}-${endpoint}`)),
          );
        });
        expect(fleet.run(0, false)).toBe('answered');
      }),
      { seed: 34, numRuns: 50 },
    );
  });

  /**
   * Guards against a ban that lasts although the request is answered: instances that have just
   * started know of no answer yet.
   */
  it('is served again once an instance that has answered it hears of the ban', () => {
    const fleet = new FleetModel(3);
    fleet.crash(0, 'e1');
    fleet.crash(1, 'e2');
    expect(fleet.run(1, false)).toBe('banned');
    expect(fleet.run(2, false)).toBe('answered');
    fleet.clock.advance(banDelayMs);
    expect(fleet.run(2, false)).toBe('answered');
    expect([0, 1, 2].map((instance) => fleet.run(instance, false))).toEqual(
      Array(3).fill('answered'),
    );
  });
});

describe('CrashTable', () => {
  // Guards against one crash that counts as several, and against several that count as one.
  it.each([
    { name: 'one crash that two calls notice', incarnations: ['e1', 'e1'], isBanned: false },
    { name: 'crashes of two endpoints', incarnations: ['e1', 'e2'], isBanned: true },
    { name: 'two incarnations of one endpoint', incarnations: ['e1@1', 'e1@2'], isBanned: true },
    { name: 'as many answers as crashes', incarnations: ['e1', 'e2'], answers: 2, isBanned: false },
    {
      name: 'fewer answers than crashes',
      incarnations: ['e1', 'e2', 'e3'],
      answers: 1,
      isBanned: true,
    },
    {
      name: 'crashes ten minutes apart',
      incarnations: ['e1', 'e2'],
      pauseMs: 600_000,
      isBanned: false,
    },
  ])('bans after $name: $isBanned', ({ incarnations, answers = 0, pauseMs = 1000, isBanned }) => {
    const clock = new ManualClock();
    const table = new CrashTable(clock);
    for (let index = 0; index < answers; index++) table.recordAnswer(request);
    incarnations.forEach((incarnation) => {
      clock.advance(pauseMs);
      table.recordCrash(request, incarnation as Incarnation);
    });
    expect(table.isBanned(request)).toBe(isBanned);
    expect(table.isBanned('another')).toBe(false);
  });
});
