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

/** Membership and spread of one entry instance, in this process, without its other parts. */
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

const key = 'a shared key of tests';

/** Opens a node that has not started to look for others yet. */
export async function openInstance(name: string, port = 0): Promise<TestInstance> {
  const events: string[] = [];
  const write = (event: string) => {
    events.push(event);
  };
  const log: Logger = { debug: write, info: write, warn: write, error: write };
  const metrics = new Metrics();
  const identity = { instance: name as InstanceId, incarnation: makeIncarnation() };
  const hub = new PeerTransport(identity, key, log);
  const members = new FleetMembers(identity, hub, log, metrics);
  const platform = {
    read: async () => err({ kind: 'unreachable', message: 'down', applied: 'no' } as const),
  };
  const feed = new ConfigWatcher(platform, log, metrics);
  const spread = new ConfigGossip(feed, hub, members, log, metrics);
  const address = `127.0.0.1:${await hub.listen('127.0.0.1', port)}`;
  return { name: identity.instance, hub, members, config: feed, gossip: spread, address, events };
}

/** Opens nodes that know each other. */
export async function openInstances(names: readonly string[]): Promise<readonly TestInstance[]> {
  const nodes = await Promise.all(names.map((name) => openInstance(name)));
  await joinInstances(nodes);
  return nodes;
}

/** Makes nodes known to each other as seeds, and waits until all count as live. */
export async function joinInstances(nodes: readonly TestInstance[]): Promise<void> {
  const seeds = new Map(nodes.map(({ name, address }) => [name, address]));
  nodes.forEach(({ members, address }) => {
    members.setCandidates(seeds);
    members.start(address);
  });
  await waitUntil(() => nodes.every(({ members }) => members.live.length === nodes.length));
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

/** @returns The revision of a service in force on a node. */
export function findRevision({ config: feed }: TestInstance, service: string): number | undefined {
  return feed.inForce.findDocument(service as never)?.revision;
}

/** Waits for a condition, and fails when it does not come in 10 s. */
export async function waitUntil(check: () => boolean): Promise<void> {
  const end = performance.now() + 10_000;
  while (!check()) {
    if (performance.now() > end) throw new Error('the condition has not come');
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
}
