import { ManualClock } from '@dotterelpass/values';
import type { EndpointVersion, Incarnation } from '@dotterelpass/values';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CrashTable } from '../src/evidence.js';

const request = 'f';
const version = 'v1' as EndpointVersion;
const nextVersion = 'v2' as EndpointVersion;

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

  #bannedVersion: EndpointVersion | undefined;

  #crashes = 0;

  constructor(instances: number) {
    this.#tables = Array.from({ length: instances }, () => new CrashTable(this.clock));
  }

  /** Runs a request, unless it is banned, at an instance whose endpoint crashes or answers. */
  run(instance: number, crashes: boolean, by = version): 'banned' | 'crashed' | 'answered' {
    const table = this.#getTable(instance);
    const bannedAt = this.#bans.get(request);
    const isKnown = bannedAt !== undefined && this.clock.now() >= bannedAt;
    if (isKnown && !table.acceptBan({ fingerprint: request, version: this.#bannedVersion })) {
      this.#bans.delete(request);
      this.#tables.forEach((other) =>
        other.liftBan({ fingerprint: request, version: this.#bannedVersion }),
      );
    }
    if (table.isBanned(request)) return 'banned';
    if (!crashes) {
      table.recordAnswer(request, by);
      return 'answered';
    }
    this.#crashes += 1;
    this.crash(instance, `e${this.#crashes}`, by);
    return 'crashed';
  }

  /** Lets an endpoint crash while it runs the request for an instance. */
  crash(instance: number, name: string, by = version): void {
    const table = this.#getTable(instance);
    const incarnation = name as Incarnation;
    const finding = table.recordCrash(request, { incarnation, version: by });
    if (finding === 'banned') this.#ban(by);
    if (finding !== 'suspect') return;
    const earlier = this.#reports.get(request);
    if (earlier === undefined) this.#reports.set(request, incarnation);
    else if (earlier !== incarnation) {
      if (table.acceptBan({ fingerprint: request, version: by })) this.#ban(by);
    }
  }

  #ban(by: EndpointVersion): void {
    if (this.#bans.has(request)) return;
    this.#bannedVersion = by;
    this.#bans.set(request, this.clock.now() + banDelayMs);
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

describe('a request that crashes the endpoints of a release', () => {
  /** Guards against answers of the version before, which excuse crashes and lift bans (review/12). */
  it.each([1, 3, 12])('reaches few of them at %i instances', (instances) => {
    const arrivals = fc.array(
      fc.record({
        instance: fc.nat(instances - 1),
        pauseMs: fc.integer({ min: 0, max: 2000 }),
        // While the release goes on, both versions run.
        isNew: fc.boolean(),
      }),
      { minLength: 40, maxLength: 120 },
    );
    fc.assert(
      fc.property(arrivals, (sent) => {
        const fleet = new FleetModel(instances);
        for (let index = 0; index < 20 * instances; index++) fleet.run(index, false);
        const crashedAt: number[] = [];
        sent.forEach(({ instance, pauseMs, isNew }) => {
          fleet.clock.advance(pauseMs);
          const result = fleet.run(instance, isNew, isNew ? nextVersion : version);
          if (result === 'crashed') crashedAt.push(fleet.clock.now());
        });
        const freeUntil = (crashedAt[2] ?? Infinity) + contactMs;
        expect(crashedAt.filter((at) => at > freeUntil).length).toBeLessThanOrEqual(maxLateRuns);
      }),
      { seed: 12, numRuns: 100 },
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
      name: 'answers of another version',
      incarnations: ['e1', 'e2'],
      answers: 40,
      answeredBy: 'v0',
      isBanned: true,
    },
    {
      name: 'crashes ten minutes apart',
      incarnations: ['e1', 'e2'],
      pauseMs: 600_000,
      isBanned: false,
    },
  ])(
    'bans after $name: $isBanned',
    ({ incarnations, answers = 0, pauseMs = 1000, isBanned, ...row }) => {
      const clock = new ManualClock();
      const table = new CrashTable(clock);
      const answeredBy = (row.answeredBy ?? version) as EndpointVersion;
      for (let index = 0; index < answers; index++) table.recordAnswer(request, answeredBy);
      incarnations.forEach((incarnation) => {
        clock.advance(pauseMs);
        table.recordCrash(request, { incarnation: incarnation as Incarnation, version });
      });
      expect(table.isBanned(request)).toBe(isBanned);
      expect(table.isBanned('another')).toBe(false);
    },
  );

  it.each([
    { name: 'the version of the ban', lifted: version, isBanned: false },
    { name: 'another version', lifted: nextVersion, isBanned: true },
  ])('is banned after a lift for $name: $isBanned', ({ lifted, isBanned }) => {
    const table = new CrashTable(new ManualClock());
    table.acceptBan({ fingerprint: request, version });
    expect(table.liftBan({ fingerprint: request, version: lifted })).toBe(!isBanned);
    expect(table.isBanned(request)).toBe(isBanned);
  });
});
