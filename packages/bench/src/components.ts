import {
  ActiveConfiguration,
  documentSchema,
  parseDocument,
  serializeDocument,
} from '@dotterelpass/configuration';
import type { ServiceDocument } from '@dotterelpass/configuration';
import { CreditPool } from '@dotterelpass/credits';
import { ConfigWatcher, ConfigGossip, servicePrefix } from '@dotterelpass/entry';
import type { GossipTransport } from '@dotterelpass/entry';
import { FailureDetector, encodeMessage } from '@dotterelpass/membership';
import type { Message } from '@dotterelpass/membership';
import { ClaimTable } from '@dotterelpass/once';
import { Metrics, createLogger } from '@dotterelpass/telemetry';
import { ManualClock, makeRandom, systemClock } from '@dotterelpass/values';
import type { Incarnation, InstanceId, ServiceId } from '@dotterelpass/values';
import { encode } from 'cbor-x';
import { ok } from 'neverthrow';
import { measureMemory, measureProcessorTime } from './usage.js';
import type { Component } from './usage.js';

/** Overhead of one small message: a TLS record (29 bytes) and the TCP and IP headers (52 bytes). */
const messageOverheadBytes = 29 + 52;

const incarnation = '1700000000000-0123abcd' as Incarnation;

/** Components of an entry instance whose cost depends on a size of the fleet. */
export const components: readonly Component[] = [
  { name: 'detector', size: 'member', measure: measureDetector },
  { name: 'documents', size: 'document', measure: measureDocuments },
  { name: 'endpoints', size: 'endpoint', measure: measureEndpoints },
  { name: 'homes', size: 'member', measure: measureCreditPool },
  { name: 'loads', size: 'endpoint', measure: measureLoads },
  { name: 'claims', size: 'key', measure: measureClaims },
];

async function measureDetector(seed: number) {
  const rows: Awaited<ReturnType<typeof measureDetectorNetwork>>[] = [];
  for (const size of [5, 20, 40, 80, 200]) rows.push(await measureDetectorNetwork(size, seed));
  return [
    { name: 'memory', unit: 'KB', points: rows.map(({ memory }) => memory) },
    { name: 'processor', unit: 'ms/s', points: rows.map(({ processor }) => processor) },
    { name: 'messages sent', unit: '1/s', points: rows.map(({ messages }) => messages) },
    { name: 'bytes sent', unit: 'KB/s', points: rows.map(({ bytes }) => bytes) },
    { name: 'bytes sent while all join', unit: 'KB/s', points: rows.map((row) => row.joining) },
  ];
}

/** Failure detectors that exchange messages in memory. */
interface DetectorNetwork {
  readonly detectors: ReadonlyMap<string, FailureDetector>;
  /** Messages and bytes sent by all detectors. */
  readonly sent: { messages: number; bytes: number };
  /** Moves the clock forward in steps of 25 ms and delivers messages after each step. */
  simulate(ms: number): void;
}

async function measureDetectorNetwork(size: number, seed: number) {
  const copies = Math.ceil(200 / size);
  const memory = measureMemory(() => {
    const network = makeDetectors(size, seed);
    network.simulate(5000);
    return network;
  }, copies);
  const network = makeDetectors(size, seed);
  const joining = await measureBytes(network, size, 4);
  // Gossip about 200 members that join at once lasts for about a minute.
  network.simulate(60_000);
  const seconds = 4;
  const milliseconds = await measureProcessorTime(() => network.simulate(seconds * 1000));
  const settled = await measureBytes(network, size, seconds);
  return {
    memory: { size, value: memory / size / 1024 },
    processor: { size, value: milliseconds / size / seconds },
    messages: { size, value: settled.messages },
    bytes: { size, value: settled.bytes },
    joining: { size, value: joining.bytes },
  };
}

async function measureBytes({ sent, simulate }: DetectorNetwork, size: number, seconds: number) {
  const before = { ...sent };
  simulate(seconds * 1000);
  return {
    messages: (sent.messages - before.messages) / size / seconds,
    bytes: (sent.bytes - before.bytes) / 1024 / size / seconds,
  };
}

/** Creates detectors that exchange messages in memory and share a simulated clock. */
function makeDetectors(size: number, seed: number): DetectorNetwork {
  const clock = new ManualClock();
  const random = makeRandom(seed);
  const names = Array.from({ length: size }, (_, n) => `entry-${n}` as InstanceId);
  const detectors = new Map<string, FailureDetector>();
  const sent = { messages: 0, bytes: 0 };
  let queue: (() => void)[] = [];
  const sendMessage = (from: string, to: string, message: Message) => {
    const item = { type: message.kind, from, incarnation, body: encodeMessage(message) };
    sent.messages += 1;
    sent.bytes += messageOverheadBytes + encode(item).length;
    queue.push(() => {
      const answer = detectors.get(to)?.receive(message);
      if (answer) sendMessage(to, from, answer);
    });
  };
  const network: DetectorNetwork = {
    detectors,
    sent,
    simulate(ms) {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 25) {
        clock.advance(25);
        detectors.forEach((detector) => detector.tick());
        for (let round = 0; round < 4; round++) {
          const due = queue;
          queue = [];
          due.forEach((deliver) => deliver());
        }
      }
    },
  };
  for (const name of names) {
    const transport = {
      send: (to: { instance: InstanceId }, message: Message) =>
        sendMessage(name, to.instance, message),
    };
    const self = { instance: name, incarnation, address: '10.0.0.1:7070' };
    const detectorRandom = makeRandom(Math.floor(random.next() * 2 ** 31));
    const detector = new FailureDetector(self, transport, clock, detectorRandom);
    detector.setCandidates(new Map(names.slice(0, 3).map((other) => [other, '10.0.0.1:7070'])));
    detectors.set(name, detector);
  }
  return network;
}

async function measureDocuments() {
  interface Row {
    readonly size: number;
    readonly memory: number;
    readonly watch: number;
    readonly digest: number;
    readonly exchanged: number;
    readonly answerBytes: number;
  }
  const rows: Row[] = [];
  for (const size of [1, 50, 100, 200, 410]) {
    const texts = makeDocuments(size, 10).map(serializeDocument);
    const log = createLogger('slope');
    let exchanged = 0;
    const handlers = new Map<string, Parameters<GossipTransport['handle']>[1]>();
    const hub: GossipTransport = {
      handle: (type, handler) => handlers.set(type, handler),
      send: () => undefined,
      async request(_peer, type, body) {
        const answer = await handlers.get(type)?.(body, {
          instance: 'a' as InstanceId,
          incarnation,
        });
        exchanged += encode(body).length + encode(answer).length + 2 * (messageOverheadBytes + 60);
        return ok(answer ?? {});
      },
    };
    const watcher = new ConfigWatcher(
      { read: async () => ok({ entries: [], index: 1 }) },
      log,
      new Metrics(),
    );
    const members = {
      self: 'a' as InstanceId,
      live: ['a', 'b'] as InstanceId[],
      findIncarnation: () => incarnation,
      watch: () => undefined,
    };
    const gossip = new ConfigGossip(watcher, hub, members, log, new Metrics());
    const entries = texts.map((value, n) => ({
      key: `${servicePrefix}service-${n}`,
      value,
      modifyIndex: 1,
    }));
    const memory = measureMemory(() => {
      const configuration = new ActiveConfiguration();
      texts.forEach((text) =>
        parseDocument(text).map((document) => configuration.activate(document)),
      );
      return configuration;
    }, 4);
    watcher.receiveReading({ entries, index: 1 }, watcher.startReading());
    const watch = await measureProcessorTime(() => {
      for (let n = 0; n < 5; n++)
        watcher.receiveReading({ entries, index: 1 }, watcher.startReading());
    });
    const digest = await measureProcessorTime(async () => {
      for (let n = 0; n < 200; n++) await gossip.reconcileWithPeer('b' as InstanceId);
    });
    const answerBytes = texts.reduce((sum, text) => sum + 100 + (text.length * 4) / 3, 0);
    rows.push({
      size,
      memory,
      watch: watch / 5,
      digest: digest / 200,
      exchanged: exchanged / 200,
      answerBytes,
    });
  }
  const list = (select: (row: Row) => number) =>
    rows.map((row) => ({ size: row.size, value: select(row) }));
  return [
    { name: 'memory in force', unit: 'KB', points: list(({ memory }) => memory / 1024) },
    { name: 'processor per watch answer', unit: 'ms', points: list(({ watch }) => watch) },
    {
      name: 'bytes per watch answer',
      unit: 'KB',
      points: list(({ answerBytes }) => answerBytes / 1024),
    },
    {
      name: 'processor per digest exchange, both sides',
      unit: 'ms',
      points: list(({ digest }) => digest),
    },
    {
      name: 'bytes per digest exchange',
      unit: 'KB',
      points: list(({ exchanged }) => exchanged / 1024),
    },
  ];
}

async function measureEndpoints() {
  const services = 40;
  const points = [10, 40, 400, 1000, 2000, 4000].map((size) => {
    const documents = makeDocuments(services, Math.ceil(size / services), 1);
    const texts = documents.map((document) => JSON.stringify(document));
    const memory = measureMemory(() => {
      const inForce = new ActiveConfiguration();
      texts.forEach((text) => inForce.activate(documentSchema.parse(JSON.parse(text))));
      return inForce;
    }, 8);
    return { size: services * Math.ceil(size / services), value: memory / 1024 };
  });
  return [{ name: 'memory in force', unit: 'KB', points: points.slice(1) }];
}

/** Measures the credit pool of a service with 100 endpoints by the number of live members. */
async function measureCreditPool() {
  const endpoints = Array.from({ length: 100 }, (_, n) => ({ id: `e-${n}` as never, slots: 3 }));
  const rows = [];
  for (const size of [5, 20, 40, 80, 200]) {
    const live = Array.from({ length: size }, (_, n) => `entry-${n}` as InstanceId);
    const pool = new CreditPool('status' as ServiceId, live[0] as InstanceId, systemClock, () => 3);
    const milliseconds = await measureProcessorTime(() => pool.setMembers(endpoints, live));
    const memory = measureMemory(() => {
      const measured = new CreditPool(
        'status' as ServiceId,
        live[0] as InstanceId,
        systemClock,
        () => 3,
      );
      measured.setMembers(endpoints, live);
      return measured;
    }, 20);
    rows.push({ size, milliseconds: milliseconds / 100, memory: memory / 100 / 1024 });
  }
  return [
    {
      name: 'processor per endpoint when membership changes',
      unit: 'ms',
      points: rows.map(({ size, milliseconds }) => ({ size, value: milliseconds })),
    },
    {
      name: 'memory per endpoint',
      unit: 'KB',
      points: rows.map(({ size, memory }) => ({ size, value: memory })),
    },
  ];
}

/** Measures the size of a `loads` message with 10 endpoints per service, all of them with calls. */
async function measureLoads() {
  const points = [10, 40, 400, 1000, 4000].map((size) => {
    const services = Object.fromEntries(
      Array.from({ length: size / 10 }, (_, n) => {
        const calls = Array.from({ length: 10 }, (__, e) => [`service-${n}-${e}`, 1] as const);
        const load = { free: 9, inFlight: 10, queued: 0, calls: Object.fromEntries(calls) };
        return [`service-${n}`, load];
      }),
    );
    const body = { at: 123_456.789, services, leaving: [] };
    const bytes =
      messageOverheadBytes + encode({ type: 'loads', from: 'entry-1', incarnation, body }).length;
    return { size, value: bytes / 1024 };
  });
  return [{ name: 'bytes of one loads message', unit: 'KB', points }];
}

async function measureClaims() {
  const rows = [];
  for (const size of [1000, 10_000, 50_000, 100_000, 200_000]) {
    const clock = new ManualClock();
    const holder = (attempt: number) => ({
      instance: 'entry-1' as InstanceId,
      incarnation,
      attempt,
    });
    const fill = () => {
      const table = new ClaimTable(clock);
      for (let n = 0; n < size; n++) {
        const key = `t1.entry-1.${incarnation}.${n}.1700000000000.0123456789abcdef0123456789abcdef`;
        table.claim({ key, digest: `d-${n}`, holder: holder(n), givenUp: [] }, 3_600_000);
        table.grant(key, holder(n));
        table.recordOutcome(key, holder(n), { verdict: 'ran' });
      }
      return table;
    };
    const milliseconds = await measureProcessorTime(() => {
      fill();
    });
    rows.push({ size, milliseconds, memory: measureMemory(fill) / 1024 });
  }
  return [
    {
      name: 'memory kept',
      unit: 'KB',
      points: rows.map(({ size, memory }) => ({ size, value: memory })),
    },
    {
      name: 'processor for claim, grant and settle of all',
      unit: 'ms',
      points: rows.map(({ size, milliseconds }) => ({ size, value: milliseconds })),
    },
  ];
}

function makeDocuments(services: number, endpoints: number, decisions = 64): ServiceDocument[] {
  return Array.from({ length: services }, (_, n) => {
    const service = {
      name: `service-${n}`,
      routes: [{ pathPrefix: `/service-${n}` }],
      endpoints: Array.from({ length: endpoints }, (__, e) => ({
        id: `service-${n}-${e}`,
        address: `10.${n % 250}.${Math.floor(e / 250)}.${e % 250}:8080`,
        failureDomain: `domain-${e % 17}`,
      })),
      rules: [{ name: 'default', repeat: 'idempotent' }],
    };
    const history = Array.from({ length: decisions }, (__, d) => ({
      commandId: `0123456789abcdef0123456789-${d}`,
      author: 'operator-1',
      atMs: 1_700_000_000_000 + d,
      text: `drain service-${n} service-${n}-${d % 10}`,
      revision: d + 1,
    }));
    return documentSchema.parse({ revision: decisions, service, history });
  });
}
