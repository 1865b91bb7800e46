import { parseDocument, serializeDocument } from '@dotterelpass/configuration';
import type { ServiceDocument } from '@dotterelpass/configuration';
import type { MessageBody, PeerTransport } from '@dotterelpass/peers';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { hashText, pickOne, shuffle, systemRandom } from '@dotterelpass/values';
import type { InstanceId, ServiceId } from '@dotterelpass/values';
import { z } from 'zod';
import type { ConfigWatcher } from './config.js';
import type { Members } from './gates.js';

/** Mean time between digests, each of which goes to one random peer, in milliseconds. */
const digestIntervalMs = 500;

/** Mean time between digests while this instance has no configuration, in milliseconds. */
const initialDigestIntervalMs = 100;

/** A change is announced to all peers up to this number, otherwise to `pushFanout` of them. */
const maxDirectPeers = 8;

/** Peers to which each instance of a larger fleet announces a change that it received or made. */
const pushFanout = 3;

/** Numbers in a digest, which has the same size for any number of services. */
const bucketCount = 16;

/** Size limit for the documents of one answer, in bytes; a single larger document is still sent. */
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

/** The peer transport methods that `ConfigGossip` uses. */
export type GossipTransport = Pick<PeerTransport, 'handle' | 'send' | 'request'>;

/**
 * Spreads configuration between entry instances. Each newer revision is announced to peers at once,
 * and periodic digest comparisons with a random peer find what the announcements did not reach. An
 * instance that lacks a revision pulls the document.
 */
export class ConfigGossip {
  readonly #config: ConfigWatcher;

  readonly #hub: GossipTransport;

  readonly #members: Members;

  readonly #log: Logger;

  readonly #metrics: Metrics;

  readonly #pullsInProgress = new Set<string>();

  #isOfferingPeerDocument = false;

  #stopped = false;

  /**
   * @param config - The configuration in force on this instance.
   * @param hub - Connections to the peers.
   * @param members - The live entry instances.
   * @param log - Receives failures.
   * @param metrics - Counts pulls.
   */
  constructor(
    config: ConfigWatcher,
    hub: GossipTransport,
    members: Members,
    log: Logger,
    metrics: Metrics,
  ) {
    this.#config = config;
    this.#hub = hub;
    this.#members = members;
    this.#log = log;
    this.#metrics = metrics;
    hub.handle('config-push', (body, from) => this.#receivePush(body, from.instance));
    hub.handle('config-digest', (body) => this.#receiveDigest(body));
    hub.handle('config-pull', (body) => this.#receivePull(body));
    config.watch((document) => this.#announceRevision(document));
  }

  /** Compares digests with a random peer periodically until `stop` is called. */
  async runAntiEntropy(): Promise<void> {
    while (!this.#stopped) {
      const peers = this.#peers;
      if (peers.length > 0) await this.reconcileWithPeer(pickOne(systemRandom, peers));
      const meanMs = this.#config.ready ? digestIntervalMs : initialDigestIntervalMs;
      await sleep(meanMs * (0.5 + systemRandom.next()));
    }
  }

  /** Ends the periodic comparisons. */
  stop(): void {
    this.#stopped = true;
  }

  /**
   * Compares digests with one peer, pulls the documents that are newer there and announces the
   * revisions that are newer here.
   *
   * @param peer - Instance to compare with.
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
    const complete = await this.#pullDocuments(peer, revisions);
    if (ready && complete) this.#config.setReady();
  }

  get #peers(): readonly InstanceId[] {
    return this.#members.live.filter((instance) => instance !== this.#members.self);
  }

  #announceRevision({ service, revision }: ServiceDocument): void {
    const peers = this.#peers;
    const isSmallFleet = peers.length <= maxDirectPeers;
    // In a small fleet, the peer that sent the document has announced it to all others as well.
    if (isSmallFleet && this.#isOfferingPeerDocument) return;
    const recipients = isSmallFleet ? peers : shuffle(systemRandom, peers).slice(0, pushFanout);
    const body = { revisions: [[service.name, revision]] };
    recipients.forEach((peer) => this.#hub.send(peer, 'config-push', body));
  }

  async #receivePush(body: MessageBody, from: InstanceId): Promise<MessageBody> {
    await this.#pullDocuments(from, pushSchema.parse(body).revisions);
    return {};
  }

  #receiveDigest(body: MessageBody): MessageBody {
    const theirs = digestSchema.parse(body).buckets;
    const ours = this.#makeBuckets();
    const differing = ours.flatMap((hash, bucket) => (hash === theirs[bucket] ? [] : [bucket]));
    return { ready: this.#config.ready, differing, revisions: this.#listRevisions(differing) };
  }

  #receivePull(body: MessageBody): MessageBody {
    const documents: Buffer[] = [];
    let bytes = 0;
    for (const service of pullSchema.parse(body).services) {
      const document = this.#config.activeConfiguration.findDocument(service as ServiceId);
      if (!document) continue;
      const text = serializeDocument(document);
      if (documents.length > 0 && bytes + text.length > maxPullBytes) break;
      documents.push(text);
      bytes += text.length;
    }
    return { documents };
  }

  /**
   * Pulls the documents that are older or missing on this instance.
   *
   * @returns Whether this instance now has the given revisions or newer ones.
   */
  async #pullDocuments(peer: InstanceId, revisions: Revisions): Promise<boolean> {
    const wanted = revisions.filter(
      ([service, revision]) =>
        revision > this.#findRevision(service) && !this.#pullsInProgress.has(service),
    );
    let services = wanted.map(([service]) => service);
    services.forEach((service) => this.#pullsInProgress.add(service));
    try {
      while (services.length > 0) {
        const answer = await this.#hub.request(peer, 'config-pull', { services }, requestTimeoutMs);
        const parsed = pullAnswerSchema.safeParse(answer.isOk() ? answer.value : undefined);
        if (!parsed.success || parsed.data.documents.length === 0) break;
        const received = parsed.data.documents.map((bytes) =>
          this.#offerDocument(Buffer.from(bytes)),
        );
        services = services.filter((service) => !received.includes(service));
        if (received.includes(undefined)) break;
      }
    } finally {
      wanted.forEach(([service]) => this.#pullsInProgress.delete(service));
    }
    return revisions.every(([service, revision]) => this.#findRevision(service) >= revision);
  }

  /**
   * Offers a document from a peer to the configuration in force.
   *
   * @returns The service of the document, or undefined when the document cannot be parsed.
   */
  #offerDocument(bytes: Buffer): string | undefined {
    const document = parseDocument(bytes);
    if (document.isErr()) {
      this.#log.error('config-unreadable', { reason: document.error });
      this.#metrics.recordEvent('config-unreadable');
      return undefined;
    }
    this.#isOfferingPeerDocument = true;
    const outcome = this.#config.offer(document.value, 'peer');
    this.#isOfferingPeerDocument = false;
    const { name: service } = document.value.service;
    if (outcome === 'applied') this.#metrics.recordEvent('config-pulled', service);
    return service;
  }

  #findRevision(service: string): number {
    return this.#config.activeConfiguration.findDocument(service as ServiceId)?.revision ?? 0;
  }

  /** Sums the hashes in each bucket, since a sum does not depend on the order of the services. */
  #makeBuckets(): number[] {
    const buckets = Array.from({ length: bucketCount }, () => 0);
    for (const { service, revision } of this.#config.digests) {
      const bucket = findBucket(service);
      buckets[bucket] = ((buckets[bucket] ?? 0) + hashText(`${service}@${revision}`)) % 2 ** 32;
    }
    return buckets;
  }

  #listRevisions(buckets: readonly number[]): Revisions {
    return this.#config.digests
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
