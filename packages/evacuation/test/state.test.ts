import type { FailureDomain, StorePosition } from '@dotterelpass/values';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  applyChanges,
  buildState,
  compareStates,
  isKnown,
  mergeStates,
  parseEvacuatedDomain,
  unknownState,
} from '../src/index.js';
import type { EvacuationChanges, EvacuationEvent, EvacuationState } from '../src/index.js';

const at = (revision: number, epoch = 1): StorePosition => ({ epoch, revision });

const makeState = (position: StorePosition, ...domains: [string, number][]): EvacuationState =>
  buildState(
    position,
    domains.map(([domain, revision]) => ({
      domain: domain as FailureDomain,
      askedAt: at(revision, position.epoch),
    })),
  );

const makeEvent = (kind: 'set' | 'lifted', domain: string, askedAt: StorePosition) =>
  ({ kind, domain: domain as FailureDomain, askedAt }) satisfies EvacuationEvent;

describe('parseEvacuatedDomain', () => {
  /** Guards against other keys of operators that evacuate a domain, and domains without a name. */
  it.each([
    { key: 'op/evacuate/z1', domain: 'z1' },
    { key: 'op/evacuate/a/b', domain: 'a/b' },
    { key: 'op/evacuate/', domain: undefined },
    { key: 'op/evacuate', domain: undefined },
    { key: 'op/config', domain: undefined },
    { key: `op/evacuate/${'z'.repeat(257)}`, domain: undefined },
  ])('finds $domain in $key', ({ key, domain }) => {
    expect(parseEvacuatedDomain(key, 'op/evacuate/')).toBe(domain);
  });
});

describe('mergeStates', () => {
  const set = makeState(at(5), ['z1', 4]);

  /** Guards against an old state of a peer that brings back or lifts an evacuation. */
  it.each([
    { name: 'nothing before the first reading', current: unknownState, other: set, wins: 'other' },
    { name: 'an older state', current: makeState(at(9)), other: set, wins: 'current' },
    { name: 'a newer state that lifts', current: set, other: makeState(at(6)), wins: 'other' },
    { name: 'the same position', current: set, other: makeState(at(5)), wins: 'current' },
    // The revisions of a restored store begin again below those that are known.
    { name: 'a later epoch', current: set, other: makeState(at(1, 2)), wins: 'other' },
    { name: 'an earlier epoch', current: makeState(at(1, 2)), other: set, wins: 'current' },
  ])('keeps the newer one of $name', ({ current, other, wins }) => {
    expect(mergeStates(current, other)).toBe(wins === 'other' ? other : current);
  });

  /** Guards against a starting instance that takes no reading at all for one without evacuations. */
  it('tells a reading without evacuations from none', () => {
    expect(isKnown(unknownState)).toBe(false);
    expect(isKnown(makeState(at(0, 0)))).toBe(true);
  });
});

describe('applyChanges', () => {
  const current = makeState(at(5), ['z1', 4]);
  const cases: { name: string; changes: EvacuationChanges; expected: EvacuationState }[] = [
    {
      name: 'sets a further domain',
      changes: { after: at(5), position: at(8), events: [makeEvent('set', 'z2', at(7))] },
      expected: makeState(at(8), ['z1', 4], ['z2', 7]),
    },
    {
      name: 'lifts one',
      changes: { after: at(5), position: at(8), events: [makeEvent('lifted', 'z1', at(7))] },
      expected: makeState(at(8)),
    },
    {
      name: 'sets one again in the same result',
      changes: {
        after: at(5),
        position: at(8),
        events: [makeEvent('set', 'z1', at(8)), makeEvent('lifted', 'z1', at(7))],
      },
      expected: makeState(at(8), ['z1', 8]),
    },
    {
      name: 'lifts a domain that is not evacuated',
      changes: { after: at(5), position: at(8), events: [makeEvent('lifted', 'z3', at(7))] },
      expected: makeState(at(8), ['z1', 4]),
    },
    // A state of a peer that is newer than the start of the watch.
    {
      name: 'leaves out events before the state',
      changes: {
        after: at(2),
        position: at(8),
        events: [makeEvent('lifted', 'z1', at(3)), makeEvent('set', 'z2', at(6))],
      },
      expected: makeState(at(8), ['z1', 4], ['z2', 6]),
    },
    {
      name: 'ignores changes that end before the state',
      changes: { after: at(2), position: at(4), events: [makeEvent('lifted', 'z1', at(3))] },
      expected: current,
    },
    {
      name: 'ignores changes that begin after the state',
      changes: { after: at(6), position: at(8), events: [makeEvent('set', 'z2', at(7))] },
      expected: current,
    },
    {
      name: 'ignores changes of another epoch',
      changes: {
        after: at(2, 2),
        position: at(8, 2),
        events: [makeEvent('lifted', 'z1', at(3, 2))],
      },
      expected: current,
    },
  ];

  /** Guards against evacuations that differ from those in the store. */
  it.each(cases)('$name', ({ changes, expected }) => {
    expect(applyChanges(current, changes)).toEqual(expected);
  });

  /** Guards against a write on a late page of a listing that an earlier event undoes. */
  it('keeps a write that a listing contains although it is after its position', () => {
    const listed = makeState(at(5), ['z1', 7]);
    const events = [makeEvent('lifted', 'z1', at(6)), makeEvent('set', 'z1', at(7))];
    expect(applyChanges(listed, { after: at(5), position: at(8), events })).toEqual(
      makeState(at(8), ['z1', 7]),
    );
  });
});

describe('compareStates', () => {
  /** Guards against a change that operators do not see in the log, or see twice. */
  it.each([
    { name: 'set', before: [], after: [['z1', 4]], set: ['z1'], lifted: [] },
    { name: 'lifted', before: [['z1', 4]], after: [], set: [], lifted: ['z1'] },
    { name: 'the same', before: [['z1', 4]], after: [['z1', 4]], set: [], lifted: [] },
    { name: 'set again', before: [['z1', 4]], after: [['z1', 6]], set: ['z1'], lifted: [] },
  ] as {
    name: string;
    before: [string, number][];
    after: [string, number][];
    set: string[];
    lifted: string[];
  }[])('finds what is $name', ({ before, after, set, lifted }) => {
    const difference = compareStates(makeState(at(5), ...before), makeState(at(7), ...after));
    expect(difference.set.map(({ domain }) => domain)).toEqual(set);
    expect(difference.lifted).toEqual(lifted);
  });
});

/** A write or deletion of an evacuation key, another write, or a restore that loses some keys. */
type Step =
  | { readonly kind: 'set' | 'lifted'; readonly domain: string }
  | { readonly kind: 'other' }
  | { readonly kind: 'restore'; readonly toStep: number };

/** All states and watch results of one history of a store, in its order. */
function playHistory(steps: readonly Step[]) {
  const states: EvacuationState[] = [unknownState, makeState(at(0))];
  const events: EvacuationEvent[] = [];
  let epoch = 1;
  let revision = 0;
  let domains = new Map<string, StorePosition>();
  const buildPresent = () =>
    buildState(
      at(revision, epoch),
      [...domains].map(([domain, askedAt]) => ({ domain: domain as FailureDomain, askedAt })),
    );
  steps.forEach((step) => {
    if (step.kind === 'restore') {
      const copy = states[1 + (step.toStep % (states.length - 1))] as EvacuationState;
      epoch += 1;
      revision = copy.position.revision;
      // A client reads each item with the present epoch of the store.
      domains = new Map(
        copy.domains.map(({ domain, askedAt }) => [domain, at(askedAt.revision, epoch)]),
      );
      states.push(buildPresent());
      return;
    }
    revision += 1;
    const position = at(revision, epoch);
    if (step.kind === 'set') domains.set(step.domain, position);
    if (step.kind === 'lifted') domains.delete(step.domain);
    if (step.kind !== 'other') events.push(makeEvent(step.kind, step.domain, position));
    states.push(buildPresent());
  });
  return { states, events };
}

const steps = fc.array(
  fc.oneof(
    {
      weight: 8,
      arbitrary: fc.record({
        kind: fc.constantFrom('set' as const, 'lifted' as const),
        domain: fc.constantFrom('z1', 'z2', 'z3'),
      }),
    },
    { weight: 3, arbitrary: fc.constant({ kind: 'other' as const }) },
    {
      weight: 1,
      arbitrary: fc.record({ kind: fc.constant('restore' as const), toStep: fc.nat(9) }),
    },
  ),
  { minLength: 1, maxLength: 15 },
);

describe('any order of updates', () => {
  /** Guards against instances that keep different evacuations once all have got all updates. */
  it('converges to the newest state', () => {
    fc.assert(
      fc.property(steps, fc.infiniteStream(fc.nat()), (history, numbers) => {
        const { states } = playHistory(history);
        const received = states.flatMap((state) => [state, state]);
        const shuffled = received
          .map((state) => ({ state, rank: numbers.next().value as number }))
          .sort((a, b) => a.rank - b.rank)
          .map(({ state }) => state);
        expect(shuffled.reduce(mergeStates, unknownState)).toEqual(states.at(-1));
      }),
      { seed: 7, numRuns: 300 },
    );
  });

  /**
   * Guards against a watch that loses or repeats a change because an update of a peer came while it
   * waited: at each moment, the state must be one that the store had.
   */
  it('mixed with watches leads only to states that the store had, and never back', () => {
    fc.assert(
      fc.property(steps, fc.infiniteStream(fc.nat()), (history, numbers) => {
        const { states, events } = playHistory(history);
        const draw = (): EvacuationState =>
          states[(numbers.next().value as number) % states.length] as EvacuationState;
        let current = unknownState;
        for (let round = 0; round < 30; round++) {
          const before = current;
          if ((numbers.next().value as number) % 2 === 0) current = mergeStates(current, draw());
          else {
            const [{ position: after }, { position }] = [draw(), draw()];
            const between = events.filter(
              ({ askedAt: { epoch, revision } }) =>
                epoch === after.epoch && revision > after.revision && revision <= position.revision,
            );
            current = applyChanges(current, { after, position, events: between });
          }
          expect(states).toContainEqual(current);
          expect(mergeStates(current, before)).toEqual(current);
        }
      }),
      { seed: 8, numRuns: 300 },
    );
  });
});
