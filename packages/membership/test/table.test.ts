import { makeRandom } from '@dotterelpass/values';
import type { Incarnation, InstanceId } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import { isNewer, decodeMessage, encodeMessage } from '../src/index.js';
import type { Member, Message } from '../src/index.js';
import { MemberTable } from '../src/table.js';

const base: Member = {
  instance: 'n0' as InstanceId,
  incarnation: '100-aa' as Incarnation,
  refutation: 1,
  state: 'live',
  address: '10.0.0.1:7070',
};

function makeTable(seed: number, count: number): MemberTable {
  const table = new MemberTable(makeRandom(seed));
  for (let n = 0; n < count; n++) table.apply({ ...base, instance: `n${n}` as InstanceId }, 0);
  return table;
}

describe('the order of updates', () => {
  /** Guards the rule that decides which of two statements about an instance holds. */
  it.each([
    [{ state: 'suspect' }, {}, true],
    [{ state: 'dead' }, { state: 'suspect' }, true],
    [{}, { state: 'suspect' }, false],
    [{ refutation: 2 }, { state: 'dead' }, true],
    [{ refutation: 0, state: 'dead' }, {}, false],
    [{ incarnation: '99-zz', refutation: 9 }, { state: 'dead' }, false],
    [{ incarnation: '101-aa', refutation: 0 }, { state: 'left' }, true],
    [{ refutation: 9 }, { state: 'left' }, false],
    [{ refutation: 0, state: 'left' }, {}, true],
    [{}, {}, false],
  ] as [Partial<Member>, Partial<Member>, boolean][])('%j after %j: %s', (update, known, newer) => {
    expect(isNewer({ ...base, ...update }, { ...base, ...known })).toBe(newer);
  });
});

describe('the table of members', () => {
  /** Guards against a dead name that travels for ever between instances that forgot it. */
  it.each(['dead', 'left'] as const)('takes no news of an unknown %s instance', (state) => {
    const table = makeTable(1, 0);
    expect(table.apply({ ...base, state }, 0)).toBe(false);
    expect(table.rows).toEqual([]);
  });

  /** Guards the round: each member once, and not in the same order on every instance. */
  it('pings each member once in a round, in an order of its own', () => {
    const [one, two] = [1, 2].map((seed) => {
      const table = makeTable(seed, 8);
      return Array.from({ length: 16 }, () => table.pickNext()?.instance);
    });
    expect(new Set(one?.slice(0, 8)).size).toBe(8);
    expect(new Set(one?.slice(8)).size).toBe(8);
    expect(one?.slice(8)).not.toEqual(two?.slice(8));
    expect(one?.slice(8)).not.toEqual(one?.slice(8).sort());
  });

  /** Guards convergence after news was lost: every entry is told again in turn. */
  it('passes on every entry again after its news has been told', () => {
    const table = makeTable(1, 8);
    for (let n = 0; n < 40; n++) table.pickNews();
    const later = Array.from({ length: 8 }, () => table.pickNews());
    later.forEach((updates) => expect(updates).toHaveLength(1));
    expect(new Set(later.flat().map(({ instance }) => instance)).size).toBe(8);
  });
});

describe('the wire form', () => {
  const message: Message = {
    kind: 'ping-req',
    sender: base,
    updates: [{ ...base, state: 'suspect' }],
    sequence: 7,
    target: 'n1' as InstanceId,
  };

  /** Guards the encoding: what is read is what was sent. */
  it('reads what it wrote', () => {
    expect(decodeMessage('ping-req', encodeMessage(message))).toEqual(message);
  });

  /** Guards against a peer of another version: a message that is not one changes nothing. */
  it.each([{}, { s: [], u: [] }, { ...encodeMessage(message), u: [['n1', 'x', -1, 0, '']] }])(
    'refuses %j',
    (body) => expect(decodeMessage('ping', body)).toBeUndefined(),
  );
});
