import { parseDocument, serializeDocument } from '@dotterelpass/configuration';
import type { ServiceDocument } from '@dotterelpass/configuration';
import type { MessageBody, PeerTransport } from '@dotterelpass/peers';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { hashText, pickOne, shuffle, systemRandom } from '@dotterelpass/values';
import type { InstanceId, ServiceId } from '@dotterelpass/values';
import { z } from 'zod';
import type { ConfigWatcher } from './config.js';
import type { Members } from './gates.js';

/** Time between digests to one peer, in milliseconds. */
const digestMs = 500;

/** Time between digests while this instance has no configuration. */
const firstDigestMs = 100;

/** Up to this many peers are all told of a change; beyond it, three of them. */
const maxDirectPeers = 8;

/** Peers that are told of a change in a larger fleet; those tell three more each. */
const pushFanout = 3;

/** Digests of equal configurations are this many numbers, whatever the number of services. */
const bucketCount = 16;

/** Documents in one answer, in bytes; one document may be larger. */
const maxPullBytes = 256 * 1024;

const requestTimeoutMs = 1000;

const name = z.string().max(64);
const revisionsSchema = z.array(z.tuple([name, z.number().int().min(1)])).max(8192);
const pushSchema = z.object({ revisions: revisionsSchema });
const digestSchema = z.object({ buckets: z.array(z.number().int()).length(bucketCount) });
const digestAnswerSchema = z.object({
  ready: z.boolean(),
  differing: z.array(z.number().int().min(0).max(bucketCount)).max(bucketCount),
  revisions: revisionsSchema,
});
const pullSchema = z.object({ services: z.array(name).max(8192) });
const pullAnswerSchema = z.object({ documents: z.array(z.instanceof(Uint8Array)).max(8192) });

type Revisions = z.infer<typeof revisionsSchema>;

/** The part of the links to peers that the spread uses. */
export type GossipHub = Pick<PeerTransport, 'handle' | 'send' | 'request'>;

/**
 * Spreads configuration between entry instances: tells peers of newer revisions at once, and
 * compares with one peer from time to time. Whoever lacks a revision pulls the document.
 */
export class ConfigGossip {
  readonly #feed: ConfigWatcher;

  readonly #hub: GossipHub;

  readonly #members: Members;

  readonly #log: Logger;

  readonly #metrics: Metrics;

  readonly #pulling = new Set<string>();

  #fromPeer = false;

  #stopped = false;

  /**
   * @param feed - The configuration in force on this instance.
   * @param hub - Links to the others.
   * @param members - Who the others are.
   * @param log - Where failures are told.
   * @param metrics - Where pulls are counted.
   */
  constructor(
    feed: ConfigWatcher,
    hub: GossipHub,
    members: Members,
    log: Logger,
    metrics: Metrics,
  ) {
    this.#feed = feed;
    this.#hub = hub;
    this.#members = members;
    this.#log = log;
    this.#metrics = metrics;
    hub.handle('config-push', (body, from) => this.#receivePush(body, from.instance));
    hub.handle('config-digest', (body) => this.#receiveDigest(body));
    hub.handle('config-pull', (body) => this.#receivePull(body));
    feed.watch((document) => this.#push(document));
  }

  /** Compares with one peer from time to time, until `stop` is called. */
  async runAntiEntropy(): Promise<void> {
    while (!this.#stopped) {
      const peers = this.#peers;
      if (peers.length > 0) await this.reconcileWithPeer(pickOne(systemRandom, peers));
      const meanMs = this.#feed.ready ? digestMs : firstDigestMs;
      await sleep(meanMs * (0.5 + systemRandom.next()));
    }
  }

  /** Ends the comparisons. */
  stop(): void {
    this.#stopped = true;
  }

  /**
   * Compares with one peer now, pulls what is newer there and tells it what is newer here.
   *
   * @param peer - The peer.
   */
  async reconcileWithPeer(peer: InstanceId): Promise<void> {
    const buckets = this.#makeBuckets();
    const answer = await this.#hub.request(peer, 'config-digest', { buckets }, requestTimeoutMs);
    if (answer.isErr()) return;
    const parsed = digestAnswerSchema.safeParse(answer.value);
    if (!parsed.success) return;
    const { ready, differing, revisions } = parsed.data;
    const theirs = new Map(revisions);
    const newer = this.#listRevisions(differing).filter(
      ([service, revision]) => revision > (theirs.get(service) ?? 0),
    );
    if (newer.length > 0) this.#hub.send(peer, 'config-push', { revisions: newer });
    const complete = await this.#pull(peer, revisions);
    if (ready && complete) this.#feed.setReady();
  }

  get #peers(): readonly InstanceId[] {
    return this.#members.live.filter((instance) => instance !== this.#members.self);
  }

  #push({ service, revision }: ServiceDocument): void {
    const peers = this.#peers;
    const direct = peers.length <= maxDirectPeers;
    // In a small fleet the peer that told this instance has told all others as well.
    if (direct && this.#fromPeer) return;
    const told = direct ? peers : shuffle(systemRandom, peers).slice(0, pushFanout);
    const body = { revisions: [[service.name, revision]] };
    told.forEach((peer) => this.#hub.send(peer, 'config-push', body));
  }

  async #receivePush(body: MessageBody, from: InstanceId): Promise<MessageBody> {
    await this.#pull(from, pushSchema.parse(body).revisions);
    return {};
  }

  #receiveDigest(body: MessageBody): MessageBody {
    const theirs = digestSchema.parse(body).buckets;
    const ours = this.#makeBuckets();
    const differing = ours.flatMap((hash, bucket) => (hash === theirs[bucket] ? [] : [bucket]));
    return { ready: this.#feed.ready, differing, revisions: this.#listRevisions(differing) };
  }

  #receivePull(body: MessageBody): MessageBody {
    const documents: Buffer[] = [];
    let bytes = 0;
    for (const service of pullSchema.parse(body).services) {
      const document = this.#feed.inForce.findDocument(service as ServiceId);
      if (!document) continue;
      const text = serializeDocument(document);
      if (documents.length > 0 && bytes + text.length > maxPullBytes) break;
      documents.push(text);
      bytes += text.length;
    }
    return { documents };
  }

  /** @returns Whether this instance has the given revisions now, or newer ones. */
  async #pull(peer: InstanceId, revisions: Revisions): Promise<boolean> {
    const wanted = revisions.filter(
      ([service, revision]) =>
        revision > this.#findRevision(service) && !this.#pulling.has(service),
    );
    let services = wanted.map(([service]) => service);
    services.forEach((service) => this.#pulling.add(service));
    try {
      while (services.length > 0) {
        const answer = await this.#hub.request(peer, 'config-pull', { services }, requestTimeoutMs);
        const parsed = pullAnswerSchema.safeParse(answer.isOk() ? answer.value : undefined);
        if (!parsed.success || parsed.data.documents.length === 0) break;
        const taken = parsed.data.documents.map((bytes) => this.#take(Buffer.from(bytes)));
        services = services.filter((service) => !taken.includes(service));
        if (taken.includes(undefined)) break;
      }
    } finally {
      wanted.forEach(([service]) => this.#pulling.delete(service));
    }
    return revisions.every(([service, revision]) => this.#findRevision(service) >= revision);
  }

  /** @returns The service whose document was offered, or undefined when it is not readable. */
  #take(bytes: Buffer): string | undefined {
    const document = parseDocument(bytes);
    if (document.isErr()) {
      this.#log.error('config-unreadable', { reason: document.error });
      this.#metrics.recordEvent('config-unreadable');
      return undefined;
    }
    this.#fromPeer = true;
    const outcome = this.#feed.offer(document.value, 'peer');
    this.#fromPeer = false;
    const { name: service } = document.value.service;
    if (outcome === 'applied') this.#metrics.recordEvent('config-pulled', service);
    return service;
  }

  #findRevision(service: string): number {
    return this.#feed.inForce.findDocument(service as ServiceId)?.revision ?? 0;
  }

  /** Sums of hashes do not depend on the order of the services. */
  #makeBuckets(): number[] {
    const buckets = Array.from({ length: bucketCount }, () => 0);
    for (const { service, revision } of this.#feed.digests) {
      const bucket = findBucket(service);
      buckets[bucket] = ((buckets[bucket] ?? 0) + hashText(`${service}@${revision}`)) % 2 ** 32;
    }
    return buckets;
  }

  #listRevisions(buckets: readonly number[]): Revisions {
    return this.#feed.digests
      .filter(({ service }) => buckets.includes(findBucket(service)))
      .map(({ service, revision }) => [service, revision]);
  }
}

function findBucket(service: string): number {
  return hashText(service) % bucketCount;
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
