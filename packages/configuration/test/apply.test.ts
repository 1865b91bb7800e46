import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import type { Result } from 'neverthrow';
import {
  applyCommand,
  changeSchema,
  maxCommandIds,
  maxHistory,
  maxHistoryBytes,
  serializeDocument,
} from '../src/index.js';
import type { Command, ServiceDocument } from '../src/index.js';

function makeCommand(change: unknown, commandId = 'c'): Command {
  return { commandId, author: 'rosa', atMs: 1, change: changeSchema.parse(change) };
}

function unwrapValue<T>(result: Result<T, unknown>): T {
  return result.match(
    (value) => value,
    (error) => {
      throw new Error(JSON.stringify(error));
    },
  );
}

function unwrapError<E>(result: Result<unknown, E>): E {
  if (result.isOk()) throw new Error(`expected a rejection, got ${JSON.stringify(result.value)}`);
  return result.error;
}

/** Applies the changes one after another and throws when one is rejected. */
function applyAll(changes: readonly unknown[]): ServiceDocument {
  return changes.reduce<ServiceDocument | undefined>(
    (document, change, index) =>
      unwrapValue(applyCommand(document, makeCommand(change, `c${index}`))),
    undefined,
  ) as ServiceDocument;
}

const service = 'fees';
const at = { address: '10.0.0.1:80', failureDomain: 'cercado' };
const base = applyAll([
  { kind: 'create-service', service },
  { kind: 'add-endpoint', service, endpoint: 'e1', ...at },
  { kind: 'add-endpoint', service, endpoint: 'e2', ...at },
  { kind: 'drain-endpoint', service, endpoint: 'e2' },
  { kind: 'add-rule', service, rule: 'pay', repeat: 'once', methods: ['POST'] },
  { kind: 'add-route', service, pathPrefix: '/fees' },
  { kind: 'set-tenant', service, tenant: 'office', weight: 2 },
]);
const removal = applyCommand(base, makeCommand({ kind: 'remove-service', service }));

/** Makes a service of 360 KB, with every list at its limit. */
function makeLargeService(): ServiceDocument['service'] {
  const [endpoint] = base.service.endpoints;
  const [rule] = base.service.rules;
  const long = 'x'.repeat(59);
  return {
    ...base.service,
    endpoints: [...Array(1024).keys()].map((n) => ({
      ...(endpoint as NonNullable<typeof endpoint>),
      id: `${long}${n}` as NonNullable<typeof endpoint>['id'],
      failureDomain: long as NonNullable<typeof endpoint>['failureDomain'],
    })),
    rules: Array(64).fill({
      ...rule,
      pathPrefix: `/${long.repeat(8)}`,
      methods: Array(16).fill(long.toUpperCase()),
    }),
  };
}

describe('applyCommand', () => {
  const e2 = { kind: 'add-endpoint', service, endpoint: 'e2' };
  const rule = { service, rule: 'pay' };

  /** Guards against commands with another effect than the specified one. */
  it.each([
    { change: e2, expected: { endpoints: [{}, { id: 'e2', state: 'active', ...at }] } },
    { change: { ...e2, slots: 5 }, expected: { endpoints: [{}, { id: 'e2', slots: 5 }] } },
    {
      change: { kind: 'stop-endpoint', service, endpoint: 'e1' },
      expected: { endpoints: [{ state: 'stopped' }, { state: 'draining' }] },
    },
    {
      change: { kind: 'set-slots', service, endpoint: 'e1', slots: 7 },
      expected: { endpoints: [{ slots: 7, connections: 200 }, { slots: 3 }] },
    },
    {
      change: { kind: 'remove-endpoint', service, endpoint: 'e2' },
      expected: { endpoints: [{ id: 'e1' }] },
    },
    {
      change: { kind: 'add-rule', service, rule: 'a', repeat: 'idempotent', before: 'pay' },
      expected: { rules: [{ name: 'a', maxAttempts: 3 }, { name: 'pay' }] },
    },
    {
      change: { kind: 'set-rule', ...rule, retryStatuses: [503], deadlineMs: 900, hedge: true },
      expected: { rules: [{ repeat: 'once', retryStatuses: [503], deadlineMs: 900, hedge: true }] },
    },
    { change: { kind: 'remove-rule', ...rule }, expected: { rules: [] } },
    {
      change: { kind: 'add-route', service, pathPrefix: '/', host: 'h' },
      expected: { routes: [{ pathPrefix: '/fees' }, { pathPrefix: '/', host: 'h' }] },
    },
    { change: { kind: 'remove-route', service, pathPrefix: '/fees' }, expected: { routes: [] } },
    {
      change: { kind: 'set-tenant', service, tenant: 'office', weight: 3 },
      expected: { tenants: [{ id: 'office', weight: 3 }] },
    },
    { change: { kind: 'remove-tenant', service, tenant: 'office' }, expected: { tenants: [] } },
    {
      change: { kind: 'set-limits', service, queue: 9 },
      expected: { limits: { queue: 9, minPoolShare: 0.6 } },
    },
  ])('accepts $change', ({ change, expected }) => {
    const next = unwrapValue(applyCommand(base, makeCommand(change)));
    expect(next.service).toMatchObject(expected);
    expect(next.revision).toBe(base.revision + 1);
    expect(next.history.at(-1)).toMatchObject({ commandId: 'c', revision: next.revision, change });
  });

  /** Guards against invalid commands that have an effect, and commands accepted without one. */
  it.each([
    { change: { kind: 'create-service', service }, reason: 'exists' },
    { change: { kind: 'add-endpoint', service, endpoint: 'e1', ...at }, reason: 'exists' },
    { change: { kind: 'add-endpoint', service, endpoint: 'e3' }, reason: 'bad-command' },
    { change: { kind: 'drain-endpoint', service, endpoint: 'e2' }, reason: 'no-change' },
    { change: { kind: 'drain-endpoint', service, endpoint: 'e9' }, reason: 'not-found' },
    { change: { kind: 'remove-endpoint', service, endpoint: 'e1' }, reason: 'not-allowed' },
    { change: { kind: 'add-rule', ...rule, repeat: 'once' }, reason: 'exists' },
    {
      change: { kind: 'add-rule', service, rule: 'b', repeat: 'once', before: 'z' },
      reason: 'not-found',
    },
    { change: { kind: 'set-rule', service, rule: 'z', priority: 1 }, reason: 'not-found' },
    { change: { kind: 'remove-route', service, pathPrefix: '/x' }, reason: 'not-found' },
    { change: { kind: 'restore-service', service }, reason: 'no-change' },
    {
      change: { kind: 'add-route', service, pathPrefix: '/'.repeat(500), host: 'h' },
      document: {
        ...base,
        service: { ...base.service, rules: Array(900).fill(base.service.rules[0]) },
      },
      reason: 'bad-command',
    },
    {
      change: { kind: 'remove-route', service, pathPrefix: '/fees' },
      document: { ...base, service: makeLargeService() },
      reason: 'too-large',
    },
  ])('rejects $change as $reason', ({ change, reason, document = base }) => {
    const before = JSON.stringify(document);
    expect(unwrapError(applyCommand(document, makeCommand(change))).reason).toBe(reason);
    expect(JSON.stringify(document)).toBe(before);
  });

  /** Guards against a service that is created again with a revision that was used before. */
  it('keeps the revision of a removed service', () => {
    const removed = unwrapValue(removal);
    expect(removed).toMatchObject({ removed: true, revision: base.revision + 1 });
    const drain = makeCommand({ kind: 'drain-endpoint', service, endpoint: 'e1' });
    expect(unwrapError(applyCommand(removed, drain)).reason).toBe('not-found');
    const recreated = applyCommand(removed, makeCommand({ kind: 'create-service', service }));
    expect(unwrapValue(recreated)).toMatchObject({
      removed: false,
      revision: removed.revision + 1,
    });
    expect(unwrapValue(recreated).service.endpoints).toEqual([]);
  });

  /** Guards against documents that grow without limit, and command ids that are dropped too soon. */
  it.each([
    { letters: 1, isFull: true },
    { letters: 60, isFull: false },
  ])('limits the history and ids of commands with $letters letters', ({ letters, isFull }) => {
    let document = base;
    for (let index = 0; index < 400; index++) {
      const change = {
        kind: 'set-rule',
        ...rule,
        pathPrefix: `/${index}${'é'.repeat(8 * letters)}`,
        methods: Array(16).fill('X'.repeat(letters)),
      };
      document = unwrapValue(applyCommand(document, makeCommand(change, `id${index}`)));
    }
    const ids = [...document.earlier, ...document.history].map(({ commandId }) => commandId);
    const bytes = Buffer.byteLength(JSON.stringify(document.history));
    expect(document.history.length === maxHistory).toBe(isFull);
    expect(bytes).toBeLessThanOrEqual(maxHistoryBytes);
    expect(ids).toHaveLength(maxCommandIds);
    expect(ids).toEqual([...Array(maxCommandIds).keys()].map((index) => `id${index + 144}`));
    expect(document.compacted + document.history.length).toBe(document.revision);
    expect(serializeDocument(document).length).toBeLessThan(2 ** 19);
  });

  /** Guards against wrong endpoint states after any order of commands; the model is one map. */
  it('agrees with a model of the endpoint states', () => {
    const kinds = ['add-endpoint', 'drain-endpoint', 'stop-endpoint', 'remove-endpoint'] as const;
    const step = fc.record({
      kind: fc.constantFrom(...kinds),
      endpoint: fc.constantFrom('a', 'b'),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        let document = applyAll([{ kind: 'create-service', service }]);
        const model = new Map<string, string>();
        for (const { kind, endpoint } of steps) {
          const state = model.get(endpoint);
          const target = {
            'add-endpoint': 'active',
            'drain-endpoint': 'draining',
            'stop-endpoint': 'stopped',
          };
          const accepted =
            kind === 'remove-endpoint'
              ? state !== undefined && state !== 'active'
              : state !== target[kind] && (state !== undefined || kind === 'add-endpoint');
          const fields = kind === 'add-endpoint' ? at : {};
          const result = applyCommand(
            document,
            makeCommand({ kind, service, endpoint, ...fields }),
          );
          expect(result.isOk()).toBe(accepted);
          document = result.unwrapOr(document);
          if (accepted && kind === 'remove-endpoint') model.delete(endpoint);
          else if (accepted && kind !== 'remove-endpoint') model.set(endpoint, target[kind]);
        }
        const states = document.service.endpoints.map(({ id, state }): [string, string] => [
          id,
          state,
        ]);
        expect(states.sort()).toEqual([...model].sort());
      }),
      { seed: 7, numRuns: 300 },
    );
  });
});
