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
const scheduleCount = Number(process.env.SCHEDULES ?? 2000);
const firstSeed = Number(process.env.SEED ?? 1);

interface CommandReport {
  readonly command: Command;
  readonly answer: CommandResult;
}

/** One entry instance: its configuration in force, and its acceptor of commands. */
class ScheduledInstance {
  readonly config: ConfigWatcher;

  readonly acceptor: Acceptor;

  /** Every document that came into force on this instance, in order. */
  readonly activated: ServiceDocument[] = [];

  constructor(platform: FakePlatform, clock: ManualClock, peers: readonly ScheduledInstance[]) {
    this.config = new ConfigWatcher(platform, log, metrics);
    this.config.watch((document) => this.activated.push(document));
    this.acceptor = new Acceptor({
      store: new PlatformDocumentStore(platform),
      activeConfiguration: this.config.activeConfiguration,
      fleet: {
        list: async (name) =>
          peers.flatMap(({ config }) => {
            const unreachable = platform.scheduler.random.next() < platform.faults.loseResponse;
            return unreachable ? [] : (config.activeConfiguration.findDocument(name) ?? []);
          }),
      },
      activate: (document) => this.config.offer(document, 'operator'),
      clock,
      sleep: () => platform.scheduler.waitForTurn(),
      timeoutMs: 300,
    });
  }

  /** Performs one reading of the watch. */
  async watchOnce(platform: FakePlatform, consistent: boolean): Promise<void> {
    const readNumber = this.config.startReading();
    const reading = await platform.read(servicePrefix, { recurse: true, consistent });
    if (reading.isOk()) this.config.receiveReading(reading.value, readNumber);
  }
}

/** Runs several operators against several instances and one platform, in an order from the seed. */
async function runSchedule(seed: number): Promise<void> {
  const random = makeRandom(seed);
  const scheduler = new TaskScheduler(random);
  const platform = new FakePlatform(scheduler);
  const clock = new ManualClock();
  const instances: ScheduledInstance[] = [];
  for (let index = 0; index < 3; index++) {
    instances.push(new ScheduledInstance(platform, clock, instances));
  }
  const reports: CommandReport[] = [];
  const restoresBackups = seed % 2 === 0;
  platform.faults = { loseResponse: 0.15, staleRead: 0.3 };
  const runTasks = async (tasks: readonly Promise<void>[], faults: boolean) => {
    let running = true;
    void Promise.all(tasks).finally(() => {
      running = false;
    });
    while (running) {
      clock.advance(5);
      if (faults && restoresBackups && random.next() < 0.01) platform.restore(1 + (seed % 3));
      await scheduler.runNextTask();
    }
    await Promise.all(tasks);
  };
  const watch = async (instance: ScheduledInstance, rounds: number, consistent: boolean) => {
    for (let round = 0; round < rounds; round++) await instance.watchOnce(platform, consistent);
  };
  const operators = ['rosa', 'hani', 'omar'].map((author) =>
    runOperator(author, instances, random, clock, reports),
  );
  const spreadDocuments = async () => {
    for (let round = 0; round < 10; round++) {
      const document = pickOne(random, instances).config.activeConfiguration.findDocument(service);
      await scheduler.waitForTurn();
      if (document) pickOne(random, instances).config.offer(document, 'peer');
    }
  };
  await runTasks(
    [...operators, spreadDocuments(), ...instances.map((i) => watch(i, 12, false))],
    true,
  );

  // Without further faults, late writes take effect, a lost state is restored and undecided commands
  // are settled.
  platform.faults = { loseResponse: 0, staleRead: 0 };
  while (await scheduler.runNextTask());
  await runTasks(
    instances.map((i) => watch(i, 2, true)),
    false,
  );
  const [first] = instances as [ScheduledInstance];
  const settleCommands = async () => {
    await first.acceptor.accept(
      makeCommand('restore', { kind: 'restore-service', service }, clock),
    );
    for (const [index, { command, answer }] of reports.entries()) {
      if (answer.kind !== 'undecided') continue;
      const settled = await first.acceptor.settle(command.commandId, service);
      if (settled.kind !== 'undecided') reports[index] = { command, answer: settled };
    }
  };
  await runTasks([settleCommands()], false);
  await runTasks(
    instances.map((i) => watch(i, 2, true)),
    false,
  );
  checkOutcome(platform, instances, reports);
}

async function runOperator(
  author: string,
  instances: readonly ScheduledInstance[],
  random: Random,
  clock: ManualClock,
  reports: CommandReport[],
): Promise<void> {
  for (let index = 0; index < 4; index++) {
    const command = makeCommand(`${author}-${index}`, pickChange(random), clock, author);
    let answer = await pickOne(random, instances).acceptor.accept(command);
    if (random.next() < 0.2) {
      // The instance failed before it answered, so the client repeats the command elsewhere.
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
  return { commandId, author, atMs: clock.readWallTime(), change };
}

function pickChange(random: Random): Change {
  const endpoint = pickOne(random, ['e1', 'e2']);
  const location = { address: '10.0.0.1:80', failureDomain: 'cercado' };
  return changeSchema.parse(
    pickOne(random, [
      { kind: 'create-service', service },
      { kind: 'add-endpoint', service, endpoint, ...location },
      { kind: 'add-endpoint', service, endpoint, ...location },
      { kind: 'drain-endpoint', service, endpoint },
      { kind: 'stop-endpoint', service, endpoint },
      { kind: 'set-tenant', service, tenant: 'office', weight: 1 + Math.floor(random.next() * 9) },
      { kind: 'remove-service', service },
    ]),
  );
}

function checkOutcome(
  platform: FakePlatform,
  instances: readonly ScheduledInstance[],
  reports: readonly CommandReport[],
): void {
  const ids = (document: ServiceDocument) => document.history.map(({ commandId }) => commandId);
  for (const { activated } of instances) {
    activated.slice(1).forEach((document, index) => {
      const previous = activated[index] as ServiceDocument;
      expect(document.revision, 'a revision went back').toBeGreaterThan(previous.revision);
      expect(ids(document), 'a decision was reverted').toEqual(
        expect.arrayContaining(ids(previous)),
      );
    });
  }
  const final = instances[0]?.config.activeConfiguration.findDocument(service);
  for (const { config } of instances) {
    expect(config.activeConfiguration.findDocument(service), 'instances differ').toEqual(final);
    expect(config.regressions, 'the platform differs from the fleet').toEqual([]);
  }
  for (const { command, answer } of reports) {
    const { commandId } = command;
    const revision = final && findRevision(final, commandId);
    if (answer.kind === 'accepted') expect(revision, `${commandId} is lost`).toBeDefined();
    const wasLost = platform.lostWrites.some((value) => value.includes(`"${commandId}"`));
    if (answer.kind === 'rejected' && answer.reason !== 'id-reused' && !wasLost) {
      expect(revision, `${commandId} was reported as rejected`).toBeUndefined();
    }
  }
  if (!final) return;
  expect(new Set(ids(final)).size, 'a command was accepted twice').toBe(final.history.length);
  expect(replay(final), 'replaying the decisions does not give the service').toEqual(final.service);
}

/** @returns The service that results from applying the accepted decisions in order. */
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
  it(
    `neither loses, reverts nor repeats commands in ${scheduleCount} schedules`,
    { timeout: 300_000 },
    async () => {
      for (let seed = firstSeed; seed < firstSeed + scheduleCount; seed++) {
        try {
          await runSchedule(seed);
        } catch (error) {
          throw new Error(`seed ${seed}: ${String(error)}`, { cause: error });
        }
      }
    },
  );
});
