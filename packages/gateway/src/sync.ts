import { setTimeout as sleep } from 'node:timers/promises';
import { PeerTransport } from '@dotterelpass/peers';
import type { Logger } from '@dotterelpass/telemetry';
import type { Clock, FailureDomain, Incarnation, InstanceId, Random } from '@dotterelpass/values';
import type { StoreReplica, ReplicaUpdate } from './replica.js';
import type { Fleet, FleetUpdate, Peer } from './fleet.js';

/** Time for which the store must fail before instances elsewhere are asked, in milliseconds. */
const storeFailureDelayMs = 300;

/** Time between rounds of questions while no peer has fresh answers, in milliseconds. */
const retryIntervalMs = 400;

/** Time between an answer and the next question to the same peer, in milliseconds. */
const requestIntervalMs = 20;

/** Time for the answer of a peer that has one at hand, in milliseconds. */
const responseTimeoutMs = 400;

/** Time for which an answer is held back until there is news, in milliseconds. */
const longPollMs = 1300;

/** Time for which a peer that did not answer is not asked, in milliseconds. */
const unresponsivePeerMs = 5000;

/** Peers asked in turn that may read for this instance, and of all others while the store fails. */
const maxReaders = 2;
const maxFallbackPeers = 3;

/** Time for which the same others are asked, in milliseconds. */
const fallbackPeersTtlMs = 3000;

const requestType = 'knowledge';

export interface PeerSyncOptions {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomain;
  readonly ip: string;
  readonly port: number;
  readonly replica: StoreReplica;
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/**
 * Shares what is read from the store. In each failure domain the instance whose name comes first
 * tells the others, and the first of these reads the store for all. Each asks its own source, which
 * answers when it has news. One that gets no fresh answer reads for itself, and one that the store
 * turns away asks any others.
 */
export class PeerSync {
  readonly #options: PeerSyncOptions;

  #transport: PeerTransport | undefined;

  #peers: ReadonlyMap<InstanceId, Peer> = new Map();

  readonly #avoidUntil = new Map<InstanceId, number>();

  /** Whose answers make readings of the store needless at present. */
  #source: InstanceId | undefined;

  /** Number of the last news of this instance. */
  #changeSequence = 0;

  /** Peers elsewhere that are asked while the store fails, and until when. */
  #fallbackPeers: readonly InstanceId[] = [];

  #fallbackPeersUntil = -Infinity;

  /** Ends the waits for news. */
  #longPolls: (() => void)[] = [];

  /** Number of the last news that the source has told. */
  #sourceSequence: number | undefined;

  #stopped = false;

  constructor(options: PeerSyncOptions) {
    this.#options = options;
  }

  /** The instance that reads the store for this one; undefined when there is none. */
  get source(): InstanceId | undefined {
    return this.#source;
  }

  /**
   * Takes the shared key and the peers as the store has them.
   *
   * @param peerKey - The key; the first one is used until the process ends.
   * @param peers - The peers.
   */
  setPeers(peerKey: string, peers: ReadonlyMap<InstanceId, Peer>): void {
    this.#transport ??= this.#openTransport(peerKey);
    const transport = this.#transport;
    this.#peers = peers;
    peers.forEach(({ address }, instance) => transport.setAddress(instance, address));
    [...transport.addresses.keys()]
      .filter((instance) => !peers.has(instance))
      .forEach((instance) => transport.removeAddress(instance));
  }

  /** Asks peers, until `stop`. */
  async start(): Promise<void> {
    while (!this.#stopped) {
      if (this.#transport) await this.#syncOnce(this.#transport);
      await sleep(this.#source === undefined ? retryIntervalMs : requestIntervalMs);
    }
  }

  /** Tells those who wait that this instance knows something newer. */
  notifyChange(): void {
    this.#changeSequence += 1;
    const waiting = this.#longPolls;
    this.#longPolls = [];
    waiting.forEach((end) => end());
  }

  stop(): void {
    this.#stopped = true;
    this.notifyChange();
    this.#transport?.close();
  }

  #openTransport(peerKey: string): PeerTransport {
    const { instance, incarnation, ip, port, replica: feed, fleet, clock, log } = this.#options;
    const transport = new PeerTransport({ instance, incarnation }, peerKey, log);
    transport.handle(requestType, async (body) => {
      const { registrations, catalog, fleetDigest, heard } = body as unknown as SyncRequest;
      feed.markSharing();
      const askedAt = clock.now();
      if (heard === this.#changeSequence) await this.#waitForChange();
      const update = feed.buildUpdate(registrations, catalog);
      const heldMs = clock.now() - askedAt;
      return {
        ...update,
        fleet: fleet.buildUpdate(fleetDigest),
        news: this.#changeSequence,
        heldMs,
      };
    });
    transport.listen(ip, port).catch((error: Error) => {
      log.error('peer-port-unusable', { port, reason: error.message });
    });
    return transport;
  }

  async #waitForChange(): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, longPollMs);
      this.#longPolls.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Asks peers one by one until one has made what is known fresh. */
  async #syncOnce(transport: PeerTransport): Promise<void> {
    const { replica: feed, fleet, clock } = this.#options;
    let source: InstanceId | undefined;
    const readers = this.#selectReaders();
    for (const peer of [...readers, ...this.#selectFallbackPeers(readers)]) {
      const heard = peer === this.#source ? this.#sourceSequence : undefined;
      const body: SyncRequest = { ...feed.revisions, fleetDigest: fleet.digest, heard };
      const waitMs = heard === undefined ? responseTimeoutMs : responseTimeoutMs + longPollMs;
      const askedAt = clock.now();
      const answer = await transport.request(peer, requestType, { ...body }, waitMs);
      if (this.#stopped) return;
      if (answer.isErr()) {
        this.#avoidUntil.set(peer, clock.now() + unresponsivePeerMs);
        this.#options.log.info('peer-silent', { peer, reason: answer.error.message });
        continue;
      }
      const response = answer.value as unknown as SyncResponse;
      if (readers.includes(peer)) feed.markFollowing();
      this.#mergeResponse(response, peer, clock.now() - askedAt - response.heldMs);
      if (!feed.isFresh) continue;
      source = peer;
      this.#sourceSequence = response.news;
      break;
    }
    this.#setSource(source);
  }

  /** @param networkMs - Time on the way, which ages what is told, in milliseconds. */
  #mergeResponse(
    { fleet: keys, ...update }: SyncResponse,
    peer: InstanceId,
    networkMs: number,
  ): void {
    const { replica: feed, fleet, log } = this.#options;
    const { registrations, catalog } = update;
    const listedAgeMs = update.listedAgeMs + networkMs;
    const { items, removed, revision } = registrations;
    if (items.length > 0 || removed.length > 0 || catalog) {
      log.info('knowledge-from-peer', {
        peer,
        revision,
        listedAgeMs: Math.round(listedAgeMs),
        changed: items.length,
        removed: removed.length,
        catalogRevision: catalog?.revision,
      });
    }
    const catalogAgeMs = update.catalogAgeMs + networkMs;
    feed.mergeUpdate({ catalog, registrations, listedAgeMs, catalogAgeMs }, peer);
    fleet.mergeUpdate({ ...keys, ageMs: keys.ageMs + networkMs });
  }

  #setSource(source: InstanceId | undefined): void {
    if (source === this.#source) return;
    const { log, replica: feed } = this.#options;
    log.info('store-reader', { before: this.#source, now: source, ageMs: feed.listedAgeMs });
    this.#source = source;
  }

  /** Who may read the store for this instance, in the order in which they are asked. */
  #selectReaders(): readonly InstanceId[] {
    const { instance, failureDomain } = this.#options;
    return findReaders(instance, failureDomain, this.#listAvailablePeers()).slice(0, maxReaders);
  }

  /** Some others, while the store does not answer this instance. */
  #selectFallbackPeers(readers: readonly InstanceId[]): readonly InstanceId[] {
    const { replica: feed, clock, random } = this.#options;
    const { failingSince: lostSince } = feed;
    if (lostSince === undefined || clock.now() - lostSince <= storeFailureDelayMs) return [];
    const now = clock.now();
    const open = this.#listAvailablePeers().map(([peer]) => peer);
    // Each new one costs a link, so they stay for some time.
    if (
      now >= this.#fallbackPeersUntil ||
      !this.#fallbackPeers.every((peer) => open.includes(peer))
    ) {
      this.#fallbackPeersUntil = now + fallbackPeersTtlMs;
      this.#fallbackPeers = open
        .filter((peer) => !readers.includes(peer))
        // The present source stays: its answers wait for news.
        .map((peer) => ({ peer, rank: peer === this.#source ? -1 : random.next() }))
        .sort((a, b) => a.rank - b.rank)
        .slice(0, maxFallbackPeers)
        .map(({ peer }) => peer);
    }
    return this.#fallbackPeers;
  }

  /** The peers that may be asked now, by name. */
  #listAvailablePeers(): readonly (readonly [InstanceId, Peer])[] {
    const now = this.#options.clock.now();
    return [...this.#peers]
      .filter(([peer]) => (this.#avoidUntil.get(peer) ?? 0) <= now)
      .sort(([a], [b]) => (a < b ? -1 : 1));
  }
}

/** What the asker knows. */
interface SyncRequest {
  /** Revisions. */
  readonly registrations: number;
  readonly catalog: number;
  readonly fleetDigest: string;
  /** Number of the last news from the one who is asked; undefined for an answer at once. */
  readonly heard: number | undefined;
}

interface SyncResponse extends ReplicaUpdate {
  readonly fleet: FleetUpdate;
  /** Number of the last news. */
  readonly news: number;
  /** Time for which the question was held until there was news, in milliseconds. */
  readonly heldMs: number;
}

/**
 * Finds who may read the store for an instance: whoever comes before it in its failure domain, or
 * for the first one there, the first ones of other domains that come before it.
 *
 * @param peers - The other instances, by name.
 */
function findReaders(
  instance: InstanceId,
  domain: FailureDomain,
  peers: readonly (readonly [InstanceId, Peer])[],
): readonly InstanceId[] {
  const earlier = peers.filter(([peer]) => peer < instance);
  const sameDomain = earlier.filter(([, { failureDomain }]) => failureDomain === domain);
  const firstInDomains = earlier.filter(
    ([, { failureDomain }], index) =>
      earlier.findIndex(([, other]) => other.failureDomain === failureDomain) === index,
  );
  return (sameDomain.length > 0 ? sameDomain : firstInDomains).map(([peer]) => peer);
}
