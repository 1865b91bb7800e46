import { inspect } from 'node:util';
import type { WorkspaceId } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import { WorkspaceTable, decideIdentification, hashKey } from '../src/index.js';
import type { Credential, Workspace, WorkspaceEntry } from '../src/index.js';

const makeWorkspace = (name: string): Workspace => ({
  name: name as WorkspaceId,
  priority: undefined,
  ratePerSecond: 0,
  burst: 0,
});

const makeEntry = (name: string, ...keys: string[]): WorkspaceEntry => ({
  workspace: makeWorkspace(name),
  keyDigests: keys.map(hashKey),
});

function buildTable(...entries: WorkspaceEntry[]): WorkspaceTable {
  const table = WorkspaceTable.build(entries);
  if (table.isErr()) throw new RangeError(table.error);
  return table.value;
}

describe('a table of workspaces', () => {
  /** Guards against a key that counts for another workspace, or after it was withdrawn. */
  it.each([
    { name: 'the first key', entries: [makeEntry('a', 'k1', 'k2')], key: 'k1', expected: 'a' },
    { name: 'a further key', entries: [makeEntry('a', 'k1', 'k2')], key: 'k2', expected: 'a' },
    { name: 'a key listed twice', entries: [makeEntry('a', 'k1', 'k1')], key: 'k1', expected: 'a' },
    {
      name: 'the key of another workspace',
      entries: [makeEntry('a', 'k1'), makeEntry('b', 'k2')],
      key: 'k2',
      expected: 'b',
    },
    {
      name: 'a key that was moved',
      entries: [makeEntry('a'), makeEntry('b', 'k1')],
      key: 'k1',
      expected: 'b',
    },
    { name: 'an unknown key', entries: [makeEntry('a', 'k1')], key: 'k3', expected: undefined },
    { name: 'part of a key', entries: [makeEntry('a', 'k12')], key: 'k1', expected: undefined },
    { name: 'another case', entries: [makeEntry('a', 'k1')], key: 'K1', expected: undefined },
    { name: 'an empty key', entries: [makeEntry('a', 'k1')], key: '', expected: undefined },
    { name: 'a digest', entries: [makeEntry('a', 'k1')], key: hashKey('k1'), expected: undefined },
    { name: 'a name', entries: [makeEntry('a', 'k1')], key: 'a', expected: undefined },
    {
      name: 'a property of objects',
      entries: [makeEntry('a', 'k1')],
      key: '__proto__',
      expected: undefined,
    },
    { name: 'a key without workspaces', entries: [], key: 'k1', expected: undefined },
  ])('finds the workspace of $name: $expected', ({ entries, key, expected }) => {
    expect(buildTable(...entries).findByKey(key)?.name).toBe(expected);
  });

  /** Guards against requests of one workspace that count as those of another. */
  it.each([
    {
      name: 'a key in two workspaces',
      entries: [makeEntry('a', 'secret-1'), makeEntry('b', 'secret-2', 'secret-1')],
      error: 'workspaces a and b have a key in common',
    },
    {
      name: 'two workspaces of one name',
      entries: [makeEntry('a', 'secret-1'), makeEntry('a', 'secret-2')],
      error: 'workspace a is defined twice',
    },
  ])('is not built with $name', ({ entries, error }) => {
    const table = WorkspaceTable.build(entries);
    expect(table.isErr() && table.error).toBe(error);
  });

  /** Guards against keys in answers to operators and in log lines. */
  it('shows no key when it is printed or serialized', () => {
    const table = buildTable(makeEntry('a', 'secret-1'));
    const text = JSON.stringify(table) + inspect(table, { depth: 9, showHidden: true });
    expect(text).not.toContain('secret-1');
    expect(text).not.toContain(hashKey('secret-1'));
  });

  it('finds workspaces by name, and lists them', () => {
    const table = buildTable(makeEntry('a', 'k1'), makeEntry('b'));
    expect(table.findByName('b' as WorkspaceId)?.name).toBe('b');
    expect(table.findByName('c' as WorkspaceId)).toBeUndefined();
    expect(table.list().map(({ name }) => name)).toEqual(['a', 'b']);
    expect(table.size).toBe(2);
  });
});

describe('decideIdentification', () => {
  const key = (text: string): Credential => ({ kind: 'key', key: text });

  /** Guards against requests that are served without a key, and against public ones that are not. */
  it.each([
    { credential: key('k1'), isPublic: false, expected: 'identified a' },
    { credential: key('k1'), isPublic: true, expected: 'identified a' },
    { credential: key('k2'), isPublic: false, expected: 'rejected unknown' },
    { credential: key('k2'), isPublic: true, expected: 'anonymous' },
    { credential: { kind: 'missing' }, isPublic: false, expected: 'rejected missing' },
    { credential: { kind: 'missing' }, isPublic: true, expected: 'anonymous' },
    { credential: { kind: 'malformed' }, isPublic: false, expected: 'rejected malformed' },
    { credential: { kind: 'malformed' }, isPublic: true, expected: 'anonymous' },
  ] as const)('of $credential, public $isPublic: $expected', (row) => {
    const decision = decideIdentification(
      buildTable(makeEntry('a', 'k1')),
      row.credential,
      row.isPublic,
    );
    const text = [decision.kind, 'workspace' in decision ? decision.workspace.name : '']
      .concat('cause' in decision ? decision.cause : '')
      .filter(Boolean)
      .join(' ');
    expect(text).toBe(row.expected);
  });
});
