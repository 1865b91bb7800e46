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
  for (let n = 0; n < count; n++) table.merge({ ...base, instance: `n${n}` as InstanceId }, 0);
  return table;
}

describe('the precedence of updates', () => {
  /** Guards the precedence of two entries of the same instance. */
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

describe('the member table', () => {
  /** Guards against the entry of a dead instance that circulates forever after its removal. */
  it.each(['dead', 'left'] as const)('ignores an update of an unknown %s instance', (state) => {
    const table = makeTable(1, 0);
    expect(table.merge({ ...base, state }, 0)).toBe(false);
    expect(table.rows).toEqual([]);
  });

  /** Guards against members that are probed unevenly, or by all instances in the same order. */
  it('picks each member once per round, in a random order', () => {
    const [first, second] = [1, 2].map((seed) => {
      const table = makeTable(seed, 8);
      return Array.from({ length: 16 }, () => table.pickProbeTarget()?.instance);
    });
    expect(new Set(first?.slice(0, 8)).size).toBe(8);
    expect(new Set(first?.slice(8)).size).toBe(8);
    expect(first?.slice(8)).not.toEqual(second?.slice(8));
    expect(first?.slice(8)).not.toEqual(first?.slice(8).sort());
  });

  /** Guards convergence after lost updates: every entry is sent again in rotation. */
  it('sends every entry again after its update has left the gossip queue', () => {
    const table = makeTable(1, 8);
    for (let n = 0; n < 40; n++) table.pickUpdates();
    const later = Array.from({ length: 8 }, () => table.pickUpdates());
    later.forEach((updates) => expect(updates).toHaveLength(1));
    expect(new Set(later.flat().map(({ instance }) => instance)).size).toBe(8);
  });
});

describe('the wire form of messages', () => {
  const message: Message = {
    kind: 'ping-req',
    sender: base,
    updates: [{ ...base, state: 'suspect' }],
    sequence: 7,
    target: 'n1' as InstanceId,
  };

  /** Guards against an encoding that changes a message. */
  it('decodes an encoded message to an equal one', () => {
    expect(decodeMessage('ping-req', encodeMessage(message))).toEqual(message);
  });

  /** Guards against invalid messages, such as those of a peer with another version. */
  it.each([{}, { s: [], u: [] }, { ...encodeMessage(message), u: [['n1', 'x', -1, 0, '']] }])(
    'rejects %j',
    (body) => expect(decodeMessage('ping', body)).toBeUndefined(),
  );
});
