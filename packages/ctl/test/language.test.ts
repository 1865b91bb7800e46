import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import { changeSchema, formatChange } from '@dotterelpass/configuration';
import { listCompletions, parseStatements } from '../src/language.js';
import { filterRows, formatTable } from '../src/print.js';

const name = fc.stringMatching(/^[a-z0-9]([a-z0-9-]{0,8}[a-z0-9])?$/);
/** Includes keywords, which must be accepted as names. */
const anyName = fc.oneof(name, fc.constantFrom('of', 'show', 'rules', 'host', 'before'));
const path = fc.stringMatching(/^\/[a-z",;=!<> ]{0,6}$/).map((text) => text.replaceAll(' ', ''));
const optional = <T>(arbitrary: fc.Arbitrary<T>) => fc.option(arbitrary, { nil: undefined });
const fields = {
  methods: optional(fc.uniqueArray(fc.constantFrom('GET', 'POST', 'PUT'), { maxLength: 3 })),
  pathPrefix: optional(path),
  retryStatuses: optional(fc.array(fc.integer({ min: 400, max: 599 }), { maxLength: 3 })),
  retryFailures: optional(fc.subarray(['connect', 'reset', 'timeout', 'shed'])),
  maxAttempts: optional(fc.integer({ min: 1, max: 10 })),
  deadlineMs: optional(fc.integer({ min: 1, max: 600_000 })),
  hedge: optional(fc.boolean()),
};
const kind = <Kind extends string>(text: Kind) => fc.constant(text);
const change = fc.oneof(
  fc.record({
    kind: fc.constantFrom('create-service', 'remove-service', 'restore-service'),
    service: anyName,
  }),
  fc.record({
    kind: kind('add-endpoint'),
    service: anyName,
    endpoint: anyName,
    address: optional(fc.constant('10.0.0.1:80')),
    failureDomain: optional(anyName),
    slots: optional(fc.integer({ min: 1, max: 1024 })),
  }),
  fc.record({
    kind: fc.constantFrom('drain-endpoint', 'stop-endpoint', 'remove-endpoint'),
    service: anyName,
    endpoint: anyName,
  }),
  fc.record({
    kind: kind('set-slots'),
    service: anyName,
    endpoint: anyName,
    slots: fc.integer({ min: 1, max: 9 }),
  }),
  fc.record({
    kind: kind('add-rule'),
    service: anyName,
    rule: anyName,
    repeat: fc.constantFrom('once', 'idempotent'),
    before: optional(anyName),
    ...fields,
  }),
  fc.record({
    kind: kind('set-rule'),
    service: anyName,
    rule: anyName,
    priority: fc.integer({ min: 0, max: 9 }),
    ...fields,
  }),
  fc.record({
    kind: fc.constantFrom('add-route', 'remove-route'),
    service: anyName,
    pathPrefix: path,
    host: optional(name),
  }),
  fc.record({
    kind: kind('set-tenant'),
    service: anyName,
    tenant: anyName,
    weight: fc.constantFrom(0.5, 2),
  }),
  fc.record({
    kind: kind('set-limits'),
    service: anyName,
    queue: optional(fc.nat(99)),
    minPoolShare: fc.constant(0.25),
  }),
);

describe('command language', () => {
  /**
   * Guards the decision history: the text of a recorded decision must parse to the command that was
   * accepted.
   */
  it('parses the formatted text of a change to the same change', () => {
    fc.assert(
      fc.property(change, (raw) => {
        const command = changeSchema.parse(raw);
        const parsed = parseStatements(formatChange(command));
        expect(parsed.isOk() ? parsed.value : parsed.error).toEqual([
          { kind: 'change', change: command },
        ]);
      }),
      { seed: 11, numRuns: 500 },
    );
  });

  /** Guards against queries and maintenance statements that parse to the wrong statement. */
  it.each([
    { line: '', expected: [] },
    { line: '# only a comment', expected: [] },
    { line: 'show rules', expected: [{ kind: 'show', subject: 'rules', where: [] }] },
    {
      line: 'show endpoints where state != active and slots > 3 # note',
      expected: [
        {
          kind: 'show',
          subject: 'endpoints',
          where: [
            { field: 'state', operator: '!=', value: 'active' },
            { field: 'slots', operator: '>', value: '3' },
          ],
        },
      ],
    },
    { line: 'lift ban ab12', expected: [{ kind: 'lift', fingerprint: 'ab12' }] },
    { line: 'settle x', expected: [{ kind: 'settle', commandId: 'x' }] },
    {
      line: 'settle x for fees',
      expected: [{ kind: 'settle', commandId: 'x', service: 'fees' }],
    },
  ])('parses "$line"', ({ line, expected }) => {
    const parsed = parseStatements(line);
    expect(parsed.isOk() ? parsed.value : parsed.error).toEqual(expected);
  });

  /**
   * Guards against syntax errors that point to the wrong place or don't name what was expected. An
   * error in any line rejects the whole source, so that no statement is run.
   */
  it.each([
    { source: 'drain fees', at: 7, expected: 'expected endpoint' },
    { source: 'drain endpoint e1', at: 18, expected: 'expected of, to, from or for' },
    { source: 'drain endpoint e1 of fees now', at: 27, expected: 'expected the end' },
    { source: 'show services\nshow nothing', line: 2, at: 6, expected: 'expected services,' },
    { source: 'set rule pay of fees', at: 21, expected: 'expected methods,' },
    { source: 'add endpoint E1 to fees', at: 1, expected: 'lower-case letters' },
    { source: 'set slots many of e1 of fees', at: 1, expected: 'expected number' },
    { source: 'settle ;', at: 8, expected: 'no meaning' },
  ])('rejects "$source"', ({ source, line = 1, at, expected }) => {
    const parsed = parseStatements(source);
    const message = parsed.isErr() ? parsed.error : 'no error';
    expect(message).toMatch(new RegExp(`^line ${line}, column ${at}: .*${expected}`));
    expect(message.split('\n').at(-1)).toBe(`  ${' '.repeat(at - 1)}^`);
  });

  /** Guards against completions that are not valid at the cursor. */
  it.each([
    { line: 's', expected: ['show', 'stop', 'set', 'settle'] },
    { line: 'show ro', expected: ['routes'] },
    { line: 'drain ', expected: ['endpoint'] },
    { line: 'add endpoint e1 ', expected: ['of', 'to', 'from', 'for'] },
  ])('completes "$line"', ({ line, expected }) => {
    expect(listCompletions(line)[0]).toEqual(expected);
  });
});

describe('query rows', () => {
  const rows = [
    { endpoint: 'e1', slots: 3, state: 'active', tags: ['a', 'b'] },
    { endpoint: 'e2', slots: 10, state: 'draining', tags: [] },
  ];

  /** Guards against numbers that are compared as text, where 10 would be less than 9. */
  it.each([
    { field: 'state', operator: '=', value: 'draining', expected: ['e2'] },
    { field: 'state', operator: '!=', value: 'draining', expected: ['e1'] },
    { field: 'slots', operator: '>', value: '9', expected: ['e2'] },
    { field: 'slots', operator: '<', value: '10', expected: ['e1'] },
    { field: 'tags', operator: '=', value: 'b', expected: ['e1'] },
  ] as const)('keeps rows where $field $operator $value', ({ expected, ...condition }) => {
    expect(filterRows(rows, [condition]).map(({ endpoint }) => endpoint)).toEqual(expected);
  });

  /** Guards against a misspelt field that silently matches no row. */
  it('rejects a field that no row has', () => {
    const condition = { field: 'sttae', operator: '=', value: 'x' } as const;
    expect(() => filterRows(rows, [condition])).toThrow(/no field sttae.*endpoint, slots/);
    expect(formatTable(rows)).toContain('draining');
  });
});
