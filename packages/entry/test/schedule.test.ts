import { describe, expect, it } from 'vitest';
import { Acceptor, applyChange, changeSchema, findRevision } from '@dotterelpass/configuration';
import type { CommandResult, Change, Command, ServiceDocument } from '@dotterelpass/configuration';
import { Metrics, createLogger } from '@dotterelpass/telemetry';
import { ManualClock, makeRandom, pickOne } from '@dotterelpass/values';
import type { Random, ServiceId } from '@dotterelpass/values';
import { ConfigWatcher, servicePrefix } from '../src/config.js';
import { PlatformDocumentStore } from '../src/documents.js';
import { FakePlatform, TaskScheduler } from './fakes.js';

const service = 'fees' as ServiceId;
const log = createLogger('schedule');
const metrics = new Metrics();
const schedules = Number(process.env.SCHEDULES ?? 2000);
const firstSeed = Number(process.env.SEED ?? 1);

interface Report {
  readonly command: Command;
  readonly answer: CommandResult;
}

/** One entry instance: what it has in force, and how it accepts commands. */
class Instance {
  readonly feed: ConfigWatcher;

  readonly acceptor: Acceptor;

  /** Every document that came in force here, in turn. */
  readonly past: ServiceDocument[] = [];

  constructor(platform: FakePlatform, clock: ManualClock, all: readonly Instance[]) {
    this.feed = new ConfigWatcher(platform, log, metrics);
    this.feed.watch((document) => this.past.push(document));
    this.acceptor = new Acceptor({
      store: new PlatformDocumentStore(platform),
      activeConfiguration: this.feed.inForce,
      fleet: {
        list: async (name) =>
          all.flatMap(({ feed }) => {
            const unreachable = platform.scheduler.random.next() < platform.faults.loseResponse;
            return unreachable ? [] : (feed.inForce.findDocument(name) ?? []);
          }),
      },
      activate: (document) => this.feed.offer(document, 'operator'),
      clock,
      sleep: () => platform.scheduler.waitForTurn(),
      timeoutMs: 300,
    });
  }

  /** Reads the platform once, as the watch does. */
  async watchOnce(platform: FakePlatform, consistent: boolean): Promise<void> {
    const number = this.feed.startReading();
    const reading = await platform.read(servicePrefix, { recurse: true, consistent });
    if (reading.isOk()) this.feed.receiveReading(reading.value, number);
  }
}

/** Runs several operators against several instances and one platform, in one random order. */
async function runSchedule(seed: number): Promise<void> {
  const random = makeRandom(seed);
  const schedule = new TaskScheduler(random);
  const platform = new FakePlatform(schedule);
  const clock = new ManualClock();
  const instances: Instance[] = [];
  for (let index = 0; index < 3; index++) {
    instances.push(new Instance(platform, clock, instances));
  }
  const reports: Report[] = [];
  const withRestore = seed % 2 === 0;
  platform.faults = { loseResponse: 0.15, staleRead: 0.3 };
  const drive = async (tasks: readonly Promise<void>[], faults: boolean) => {
    let open = true;
    void Promise.all(tasks).finally(() => {
      open = false;
    });
    while (open) {
      clock.advance(5);
      if (faults && withRestore && random.next() < 0.01) platform.restore(1 + (seed % 3));
      await schedule.runNextTask();
    }
    await Promise.all(tasks);
  };
  const watch = async (instance: Instance, rounds: number, consistent: boolean) => {
    for (let round = 0; round < rounds; round++) await instance.watchOnce(platform, consistent);
  };
  const operators = ['rosa', 'hani', 'omar'].map((author) =>
    operate(author, instances, random, clock, reports),
  );
  const spread = async () => {
    for (let round = 0; round < 10; round++) {
      const document = pickOne(random, instances).feed.inForce.findDocument(service);
      await schedule.waitForTurn();
      if (document) pickOne(random, instances).feed.offer(document, 'peer');
    }
  };
  await drive([...operators, spread(), ...instances.map((i) => watch(i, 12, false))], true);

  // Quiet again: late writes arrive, undecided commands are settled, a lost state is restored.
  platform.faults = { loseResponse: 0, staleRead: 0 };
  while (await schedule.runNextTask());
  await drive(
    instances.map((i) => watch(i, 2, true)),
    false,
  );
  const [first] = instances as [Instance];
  const end = async () => {
    await first.acceptor.accept(
      makeCommand('restore', { kind: 'restore-service', service }, clock),
    );
    for (const [index, { command, answer }] of reports.entries()) {
      if (answer.kind !== 'undecided') continue;
      const settled = await first.acceptor.settle(command.commandId, service);
      if (settled.kind !== 'undecided') reports[index] = { command, answer: settled };
    }
  };
  await drive([end()], false);
  await drive(
    instances.map((i) => watch(i, 2, true)),
    false,
  );
  checkOutcome(platform, instances, reports);
}

async function operate(
  author: string,
  instances: readonly Instance[],
  random: Random,
  clock: ManualClock,
  reports: Report[],
): Promise<void> {
  for (let index = 0; index < 4; index++) {
    const command = makeCommand(`${author}-${index}`, pickChange(random), clock, author);
    let answer = await pickOne(random, instances).acceptor.accept(command);
    if (random.next() < 0.2) {
      // The instance was lost before it answered, so the client asks another one.
      answer = await pickOne(random, instances).acceptor.accept(command, { repeated: true });
    }
    reports.push({ command, answer });
  }
}

function makeCommand(
  commandId: string,
  change: Change,
  clock: ManualClock,
  author = 'rosa',
): Command {
  return { commandId, author, atMs: clock.wall(), change };
}

function pickChange(random: Random): Change {
  const endpoint = pickOne(random, ['e1', 'e2']);
  const at = { address: '10.0.0.1:80', failureDomain: 'cercado' };
  return changeSchema.parse(
    pickOne(random, [
      { kind: 'create-service', service },
      { kind: 'add-endpoint', service, endpoint, ...at },
      { kind: 'add-endpoint', service, endpoint, ...at },
      { kind: 'drain-endpoint', service, endpoint },
      { kind: 'stop-endpoint', service, endpoint },
      { kind: 'set-tenant', service, tenant: 'office', weight: 1 + Math.floor(random.next() * 9) },
      { kind: 'remove-service', service },
    ]),
  );
}

function checkOutcome(
  platform: FakePlatform,
  instances: readonly Instance[],
  reports: readonly Report[],
): void {
  const ids = (document: ServiceDocument) => document.history.map(({ commandId }) => commandId);
  for (const { past } of instances) {
    past.slice(1).forEach((document, index) => {
      const before = past[index] as ServiceDocument;
      expect(document.revision, 'a revision went back').toBeGreaterThan(before.revision);
      expect(ids(document), 'a decision was reverted').toEqual(expect.arrayContaining(ids(before)));
    });
  }
  const final = instances[0]?.feed.inForce.findDocument(service);
  for (const { feed } of instances) {
    expect(feed.inForce.findDocument(service), 'instances differ').toEqual(final);
    expect(feed.regressions, 'the platform differs from the fleet').toEqual([]);
  }
  for (const { command, answer } of reports) {
    const { commandId } = command;
    const revision = final && findRevision(final, commandId);
    if (answer.kind === 'accepted') expect(revision, `${commandId} is lost`).toBeDefined();
    const forgotten = platform.lostWrites.some((value) => value.includes(`"${commandId}"`));
    if (answer.kind === 'rejected' && answer.reason !== 'id-reused' && !forgotten) {
      expect(revision, `${commandId} was reported as rejected`).toBeUndefined();
    }
  }
  if (!final) return;
  expect(new Set(ids(final)).size, 'a command was accepted twice').toBe(final.history.length);
  expect(replay(final), 'the decisions do not give the content').toEqual(final.service);
}

/** The service that results from the accepted decisions alone. */
function replay({ history }: ServiceDocument): ServiceDocument['service'] | undefined {
  let document: ServiceDocument | undefined;
  for (const { change, superseded, revision } of history) {
    const parsed = changeSchema.parse(change);
    if (superseded || parsed.kind === 'restore-service') continue;
    const applied = applyChange(document, parsed);
    if (applied.isOk()) {
      document = { ...applied.value, revision, history: [], compacted: 0, earlier: [] };
    }
  }
  return document?.service;
}

describe('commands and configuration under random schedules', () => {
  /**
   * Guards against accepted commands that are lost, reverted or accepted twice, and against wrong
   * reports to operators. `SEED=n SCHEDULES=1` repeats one schedule.
   */
  it(`keeps its promises in ${schedules} schedules`, { timeout: 300_000 }, async () => {
    for (let seed = firstSeed; seed < firstSeed + schedules; seed++) {
      try {
        await runSchedule(seed);
      } catch (error) {
        throw new Error(`seed ${seed}: ${String(error)}`, { cause: error });
      }
    }
  });
});
