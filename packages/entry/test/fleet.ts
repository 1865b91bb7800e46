import { parseDocument } from '@dotterelpass/configuration';
import type { ServiceDocument } from '@dotterelpass/configuration';
import { PeerTransport } from '@dotterelpass/peers';
import { Metrics } from '@dotterelpass/telemetry';
import type { Logger } from '@dotterelpass/telemetry';
import type { InstanceId } from '@dotterelpass/values';
import { err } from 'neverthrow';
import { ConfigWatcher } from '../src/config.js';
import { FleetMembers, makeIncarnation } from '../src/members.js';
import { ConfigGossip } from '../src/gossip.js';

/** The membership and configuration gossip of one entry instance, running in this process. */
export interface TestInstance {
  readonly name: InstanceId;
  readonly hub: PeerTransport;
  readonly members: FleetMembers;
  readonly config: ConfigWatcher;
  readonly gossip: ConfigGossip;
  readonly address: string;
  /** Log events in order. */
  readonly events: string[];
}

const peerKey = 'a shared key of tests';

/** Opens an instance whose failure detection has not started. */
export async function openInstance(name: string, port = 0): Promise<TestInstance> {
  const events: string[] = [];
  const write = (event: string) => {
    events.push(event);
  };
  const log: Logger = { debug: write, info: write, warn: write, error: write };
  const metrics = new Metrics();
  const identity = { instance: name as InstanceId, incarnation: makeIncarnation() };
  const hub = new PeerTransport(identity, peerKey, log);
  const members = new FleetMembers(identity, hub, log, metrics);
  const platform = {
    read: async () => err({ kind: 'unreachable', message: 'down', applied: 'no' } as const),
  };
  const config = new ConfigWatcher(platform, log, metrics);
  const gossip = new ConfigGossip(config, hub, members, log, metrics);
  const address = `127.0.0.1:${await hub.listen('127.0.0.1', port)}`;
  return { name: identity.instance, hub, members, config, gossip, address, events };
}

/** Opens instances that are members of one fleet. */
export async function openInstances(names: readonly string[]): Promise<readonly TestInstance[]> {
  const instances = await Promise.all(names.map((name) => openInstance(name)));
  await joinInstances(instances);
  return instances;
}

/** Starts instances with each other as candidates, and waits until all are live everywhere. */
export async function joinInstances(instances: readonly TestInstance[]): Promise<void> {
  const candidates = new Map(instances.map(({ name, address }) => [name, address]));
  instances.forEach(({ members, address }) => {
    members.setCandidates(candidates);
    members.start(address);
  });
  await waitUntil(() => instances.every(({ members }) => members.live.length === instances.length));
}

/** Makes a document whose history has one decision for each revision. */
export function makeDocument(service: string, revision: number): ServiceDocument {
  const history = Array.from({ length: revision }, (_, n) => ({
    commandId: `c${n + 1}`,
    author: 'test',
    atMs: n,
    text: 'a change',
    revision: n + 1,
  }));
  const text = JSON.stringify({ revision, service: { name: service }, history });
  const document = parseDocument(Buffer.from(text));
  if (document.isErr()) throw new Error(document.error);
  return document.value;
}

/** @returns The revision of a service in force on an instance. */
export function findRevision({ config }: TestInstance, service: string): number | undefined {
  return config.activeConfiguration.findDocument(service as never)?.revision;
}

/** Waits for a condition, and fails when it is not met within 10 s. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  const deadline = performance.now() + 10_000;
  while (!isMet()) {
    if (performance.now() > deadline) throw new Error('the condition was not met within 10 s');
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
}
