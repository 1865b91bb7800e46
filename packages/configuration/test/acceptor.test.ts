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
const lost: StoreError = { message: 'the answer was lost', applied: 'unknown' };
const down: StoreError = { message: 'the platform is down', applied: 'no' };

type Fault = (write: () => boolean) => Result<boolean, StoreError> | undefined;

/** One stored document. A fault decides what becomes of the next write. */
class FakeStore implements DocumentStore {
  stored: StoredDocument = { document: undefined, modifyIndex: 0 };

  faults: Fault[] = [];

  isDown = false;

  async read(): Promise<Result<StoredDocument, StoreError>> {
    return this.isDown ? err(down) : ok(this.stored);
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

function openDesk() {
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

/** Lets another operator change the store before a write. */
function interpose(other: () => Promise<unknown>, store: FakeStore) {
  let pending = true;
  const { read } = store;
  Object.assign(store, {
    read: async () => {
      const stored = await read.call(store);
      if (pending) {
        pending = false;
        await other();
      }
      return stored;
    },
  });
}

describe('acceptance of commands', () => {
  /** Guards against a second acceptance when only the answer of the first was lost. */
  it('recognises a command whose answer was lost', async () => {
    const desk = openDesk();
    await desk.create();
    desk.store.faults = [(write) => (write() ? err(lost) : undefined)];
    expect(await desk.add('e1')).toMatchObject({ kind: 'accepted', revision: 2 });
    expect(await desk.add('e1')).toMatchObject({ kind: 'accepted', revision: 2 });
    expect(desk.store.stored.document?.history).toHaveLength(2);
    expect(await desk.add('e2', 'add-e1')).toMatchObject({ reason: 'id-reused' });
  });

  /** Guards the later of two racing operators: no command is dropped and no collision hidden. */
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
    const desk = openDesk();
    await desk.create();
    await desk.add('e1');
    await desk.add('e2');
    interpose(() => desk.drain('theirs', other, 'hani'), desk.store);
    const mine = await desk.accept('mine', { kind: 'stop-endpoint', endpoint: 'e1' });
    expect(mine).toMatchObject(expected);
  });

  /** Guards a command that is based on an older state than the present one. */
  it.each([
    { expectedRevision: 2, expected: { reason: 'conflict', by: { commandId: 'earlier' } } },
    { expectedRevision: 3, expected: { kind: 'accepted' } },
    { expectedRevision: 9, expected: { reason: 'platform-went-back' } },
  ])('checks the expected revision $expectedRevision', async ({ expectedRevision, expected }) => {
    const desk = openDesk();
    await desk.create();
    await desk.add('e1');
    await desk.drain('earlier', 'e1');
    const change = { kind: 'stop-endpoint', endpoint: 'e1' };
    expect(await desk.accept('mine', change, { expectedRevision })).toMatchObject(expected);
  });

  /** Guards against a rejection that an earlier write of the same command disproves later. */
  it('rejects only when no earlier write can take effect', async () => {
    const desk = openDesk();
    await desk.create();
    await desk.add('e1');
    const late: (() => boolean)[] = [];
    desk.store.faults = [(write) => (late.push(write) ? err(lost) : undefined)];
    const { read } = desk.store;
    let reads = 0;
    const old = desk.store.stored;
    // The second read is behind: there e1 does not exist yet.
    desk.store.read = async () => {
      reads += 1;
      const document = old.document && { ...old.document, service: emptyService(old.document) };
      return reads === 2 ? ok({ document, modifyIndex: 1 }) : read.call(desk.store);
    };
    const answer = await desk.drain('mine', 'e1');
    late.forEach((write) => write());
    const held = desk.store.stored.document?.history.some((d) => d.commandId === 'mine');
    expect(answer.kind === 'accepted').toBe(held);
  });

  /** Guards the difference between a command that was not written and one that may have been. */
  it.each([
    { faults: [], isDown: true, expected: { reason: 'platform-unavailable' } },
    {
      faults: Array<Fault>(20).fill(() => err(lost)),
      isDown: false,
      expected: { kind: 'undecided', settle: 'settle add-e1 for fees' },
    },
  ])('answers $expected when the platform does not', async ({ faults, isDown, expected }) => {
    const desk = openDesk();
    await desk.create();
    Object.assign(desk.store, { faults, isDown });
    expect(await desk.add('e1')).toMatchObject(expected);
  });

  /** Guards against a write that takes effect after its command was settled. */
  it('settles a command for good', async () => {
    const desk = openDesk();
    await desk.create();
    const late: (() => boolean)[] = [];
    const delay: Fault = (write) => (late.push(write) ? err(lost) : undefined);
    desk.store.faults = Array<Fault>(20).fill(delay);
    expect(await desk.add('e1')).toMatchObject({ kind: 'undecided' });
    desk.store.faults = [];
    const settled = await desk.acceptor.settle('add-e1', service);
    expect(settled).toMatchObject({ kind: 'rejected', reason: 'never-accepted' });
    expect(late.map((write) => write())).not.toContain(true);
    expect(await desk.acceptor.settle('create', service)).toMatchObject({ kind: 'accepted' });
  });

  /** Guards the fleet's decisions against a platform that was restored from a backup. */
  it('refuses commands on a restored platform until the fleet is written back', async () => {
    const desk = openDesk();
    const restore = () => desk.accept('restore', { kind: 'restore-service' });
    await desk.create();
    await desk.add('e1');
    const backup = desk.store.stored;
    await desk.add('e2');
    const [instance] = [openDesk()];
    instance.store.stored = backup;
    instance.peers.push(desk.store.stored.document as ServiceDocument);
    expect(await instance.add('e3')).toMatchObject({ reason: 'platform-went-back' });
    desk.store.stored = backup;
    expect(await restore()).toMatchObject({ kind: 'accepted', revision: 4 });
    expect(desk.store.stored.document?.service.endpoints).toHaveLength(2);
    expect(await desk.accept('again', { kind: 'restore-service' })).toMatchObject({
      reason: 'no-change',
    });
  });

  /** Guards decisions that were accepted on the restored platform before anyone noticed. */
  it('keeps the decisions of both sides in a restore', async () => {
    const desk = openDesk();
    await desk.create();
    await desk.add('e1');
    const backup = desk.store.stored;
    await desk.drain('ours', 'e1');
    await desk.accept('ours-2', { kind: 'remove-endpoint', endpoint: 'e1' });
    const other = openDesk();
    other.store.stored = backup;
    await other.add('e2', 'theirs');
    await other.accept('against', { kind: 'set-slots', endpoint: 'e1', slots: 9 });
    desk.store.stored = other.store.stored;
    const answer = await desk.accept('restore', { kind: 'restore-service' });
    expect(answer).toMatchObject({
      kind: 'accepted',
      notes: [
        'applied again: add endpoint e2 to fees at 10.0.0.1:80 in maadi (rosa)',
        'superseded: set slots 9 of e1 of fees (rosa)',
      ],
    });
    const document = desk.store.stored.document as ServiceDocument;
    expect(document.service.endpoints.map(({ id }) => id)).toEqual(['e2']);
    const ids = document.history.map(({ commandId }) => commandId);
    expect(ids.slice(2)).toEqual(['ours', 'ours-2', 'theirs', 'against', 'restore']);
    expect(document.history.at(-2)).toMatchObject({ commandId: 'against', superseded: true });
  });
});

function emptyService(document: ServiceDocument): ServiceDocument['service'] {
  return { ...document.service, endpoints: [] };
}
