import { describe, expect, it } from 'vitest';
import { ManualClock } from '@dotterelpass/values';
import type { ServiceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Acceptor, ActiveConfiguration, changeSchema } from '../src/index.js';
import type {
  Command,
  DocumentStore,
  ServiceDocument,
  StoredDocument,
  StoreError,
} from '../src/index.js';

const service = 'fees' as ServiceId;
const answerLost: StoreError = { message: 'the answer was lost', applied: 'unknown' };
const platformDown: StoreError = { message: 'the platform is down', applied: 'no' };

type Fault = (write: () => boolean) => Result<boolean, StoreError> | undefined;

/** A store of one document. A queued fault replaces the next write. */
class FakeStore implements DocumentStore {
  stored: StoredDocument = { document: undefined, modifyIndex: 0 };

  faults: Fault[] = [];

  isDown = false;

  async read(): Promise<Result<StoredDocument, StoreError>> {
    return this.isDown ? err(platformDown) : ok(this.stored);
  }

  async write(document: ServiceDocument, index: number): Promise<Result<boolean, StoreError>> {
    const write = () => {
      if (this.stored.modifyIndex !== index) return false;
      this.stored = { document, modifyIndex: index + 1 };
      return true;
    };
    return this.faults.shift()?.(write) ?? ok(write());
  }
}

function openAcceptor() {
  const store = new FakeStore();
  const inForce = new ActiveConfiguration();
  const clock = new ManualClock();
  const peers: ServiceDocument[] = [];
  const acceptor = new Acceptor({
    store,
    activeConfiguration: inForce,
    fleet: { list: async () => peers },
    activate: (document) => inForce.activate(document),
    clock,
    sleep: async () => clock.advance(100),
    timeoutMs: 1000,
  });
  const accept = (commandId: string, change: object, options = {}, author = 'rosa') =>
    acceptor.accept(makeCommand(commandId, change, author), options);
  const add = (endpoint: string, commandId = `add-${endpoint}`) =>
    accept(commandId, {
      kind: 'add-endpoint',
      endpoint,
      address: '10.0.0.1:80',
      failureDomain: 'maadi',
    });
  const drain = (commandId: string, endpoint: string, author?: string, options = {}) =>
    accept(commandId, { kind: 'drain-endpoint', endpoint }, options, author);
  const create = () => accept('create', { kind: 'create-service' });
  return { store, peers, acceptor, accept, add, drain, create };
}

function makeCommand(commandId: string, change: object, author: string): Command {
  return { commandId, author, atMs: 1, change: changeSchema.parse({ service, ...change }) };
}

/** Runs an operation of another operator after the next read, before the write that follows it. */
function interpose(operation: () => Promise<unknown>, store: FakeStore) {
  let pending = true;
  const { read } = store;
  Object.assign(store, {
    read: async () => {
      const stored = await read.call(store);
      if (pending) {
        pending = false;
        await operation();
      }
      return stored;
    },
  });
}

describe('acceptance of commands', () => {
  /** Guards against accepting a command twice when only the answer of the first write was lost. */
  it('recognizes a command whose answer was lost', async () => {
    const setup = openAcceptor();
    await setup.create();
    setup.store.faults = [(write) => (write() ? err(answerLost) : undefined)];
    expect(await setup.add('e1')).toMatchObject({ kind: 'accepted', revision: 2 });
    expect(await setup.add('e1')).toMatchObject({ kind: 'accepted', revision: 2 });
    expect(setup.store.stored.document?.history).toHaveLength(2);
    expect(await setup.add('e2', 'add-e1')).toMatchObject({ reason: 'id-reused' });
  });

  /** Guards against a command of two concurrent operators that is dropped, or a hidden conflict. */
  it.each([
    { other: 'e2', expected: { kind: 'accepted', revision: 5 } },
    {
      other: 'e1',
      expected: {
        kind: 'rejected',
        reason: 'conflict',
        by: { author: 'hani', commandId: 'theirs', revision: 4, text: 'drain endpoint e1 of fees' },
      },
    },
  ])('answers a race on e1 with another operator on $other', async ({ other, expected }) => {
    const setup = openAcceptor();
    await setup.create();
    await setup.add('e1');
    await setup.add('e2');
    interpose(() => setup.drain('theirs', other, 'hani'), setup.store);
    const mine = await setup.accept('mine', { kind: 'stop-endpoint', endpoint: 'e1' });
    expect(mine).toMatchObject(expected);
  });

  /** Guards against a command that overrides a conflicting decision its operator has not seen. */
  it.each([
    { expectedRevision: 2, expected: { reason: 'conflict', by: { commandId: 'earlier' } } },
    { expectedRevision: 3, expected: { kind: 'accepted' } },
    { expectedRevision: 9, expected: { reason: 'platform-went-back' } },
  ])('checks the expected revision $expectedRevision', async ({ expectedRevision, expected }) => {
    const setup = openAcceptor();
    await setup.create();
    await setup.add('e1');
    await setup.drain('earlier', 'e1');
    const change = { kind: 'stop-endpoint', endpoint: 'e1' };
    expect(await setup.accept('mine', change, { expectedRevision })).toMatchObject(expected);
  });

  /** Guards against a rejection after which an earlier write of the command takes effect. */
  it('rejects only when no earlier write can take effect', async () => {
    const setup = openAcceptor();
    await setup.create();
    await setup.add('e1');
    const delayed: (() => boolean)[] = [];
    setup.store.faults = [(write) => (delayed.push(write) ? err(answerLost) : undefined)];
    const { read } = setup.store;
    let reads = 0;
    const outdated = setup.store.stored;
    // The second read returns an outdated document in which e1 does not exist yet.
    setup.store.read = async () => {
      reads += 1;
      const document = outdated.document && {
        ...outdated.document,
        service: emptyService(outdated.document),
      };
      return reads === 2 ? ok({ document, modifyIndex: 1 }) : read.call(setup.store);
    };
    const answer = await setup.drain('mine', 'e1');
    delayed.forEach((write) => write());
    const held = setup.store.stored.document?.history.some((d) => d.commandId === 'mine');
    expect(answer.kind === 'accepted').toBe(held);
  });

  /** Guards against confusing a command that was not written with one that may have been. */
  it.each([
    { faults: [], isDown: true, expected: { reason: 'platform-unavailable' } },
    {
      faults: Array<Fault>(20).fill(() => err(answerLost)),
      isDown: false,
      expected: { kind: 'undecided', settle: 'settle add-e1 for fees' },
    },
  ])(
    'answers $expected when the platform does not answer',
    async ({ faults, isDown, expected }) => {
      const setup = openAcceptor();
      await setup.create();
      Object.assign(setup.store, { faults, isDown });
      expect(await setup.add('e1')).toMatchObject(expected);
    },
  );

  /** Guards against a write that takes effect after its command was settled. */
  it('settles a command for good', async () => {
    const setup = openAcceptor();
    await setup.create();
    const delayed: (() => boolean)[] = [];
    const delay: Fault = (write) => (delayed.push(write) ? err(answerLost) : undefined);
    setup.store.faults = Array<Fault>(20).fill(delay);
    expect(await setup.add('e1')).toMatchObject({ kind: 'undecided' });
    setup.store.faults = [];
    const settled = await setup.acceptor.settle('add-e1', service);
    expect(settled).toMatchObject({ kind: 'rejected', reason: 'never-accepted' });
    expect(delayed.map((write) => write())).not.toContain(true);
    expect(await setup.acceptor.settle('create', service)).toMatchObject({ kind: 'accepted' });
  });

  /** Guards against the loss of decisions when the platform was restored from a backup. */
  it('rejects commands on a restored platform until the configuration is written back', async () => {
    const setup = openAcceptor();
    const restore = () => setup.accept('restore', { kind: 'restore-service' });
    await setup.create();
    await setup.add('e1');
    const backup = setup.store.stored;
    await setup.add('e2');
    const [other] = [openAcceptor()];
    other.store.stored = backup;
    other.peers.push(setup.store.stored.document as ServiceDocument);
    expect(await other.add('e3')).toMatchObject({ reason: 'platform-went-back' });
    setup.store.stored = backup;
    expect(await restore()).toMatchObject({ kind: 'accepted', revision: 4 });
    expect(setup.store.stored.document?.service.endpoints).toHaveLength(2);
    expect(await setup.accept('again', { kind: 'restore-service' })).toMatchObject({
      reason: 'no-change',
    });
  });

  /** Guards decisions that were accepted on the restored platform before the restore command. */
  it('keeps the decisions of both sides in a restore', async () => {
    const setup = openAcceptor();
    await setup.create();
    await setup.add('e1');
    const backup = setup.store.stored;
    await setup.drain('ours', 'e1');
    await setup.accept('ours-2', { kind: 'remove-endpoint', endpoint: 'e1' });
    const other = openAcceptor();
    other.store.stored = backup;
    await other.add('e2', 'theirs');
    await other.accept('against', { kind: 'set-slots', endpoint: 'e1', slots: 9 });
    setup.store.stored = other.store.stored;
    const answer = await setup.accept('restore', { kind: 'restore-service' });
    expect(answer).toMatchObject({
      kind: 'accepted',
      notes: [
        'applied again: add endpoint e2 to fees at 10.0.0.1:80 in maadi (rosa)',
        'superseded: set slots 9 of e1 of fees (rosa)',
      ],
    });
    const document = setup.store.stored.document as ServiceDocument;
    expect(document.service.endpoints.map(({ id }) => id)).toEqual(['e2']);
    const ids = document.history.map(({ commandId }) => commandId);
    expect(ids.slice(2)).toEqual(['ours', 'ours-2', 'theirs', 'against', 'restore']);
    expect(document.history.at(-2)).toMatchObject({ commandId: 'against', superseded: true });
  });
});

function emptyService(document: ServiceDocument): ServiceDocument['service'] {
  return { ...document.service, endpoints: [] };
}
