import { setTimeout as sleep } from 'node:timers/promises';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Fleet, FleetUpdate, Peer } from '@dotterelpass/fleet';
import { PeerTransport } from '@dotterelpass/peers';
import type { MessageBody, MessageHandler, PeerError } from '@dotterelpass/peers';
import type { Logger } from '@dotterelpass/telemetry';
import type { Clock, FailureDomain, Incarnation, InstanceId, Random } from '@dotterelpass/values';
import type { ReplicaProgress, ReplicaUpdate, StoreReplica } from './replica.js';
import type { PeerMessenger } from './limiter.js';
import type { FleetAnswer, InstanceSummary } from './summary.js';

/** Time for which the store must fail before fallback peers are asked. */
const storeFailureDelayMs = 300;

/** Delay between rounds of requests while no peer has fresh state. */
const retryIntervalMs = 400;

/** Delay between a response and the next request to the same peer. */
const requestIntervalMs = 20;

/** Timeout of a request without long polling. */
const responseTimeoutMs = 400;

/** Time in which a peer gets an announcement, also over a new connection. */
const announceTimeoutMs = 2000;

/**
 * Time by which a response may exceed its timeout while it keeps arriving, in milliseconds. Begun
 * anew, a large configuration would take as long again.
 */
const maxTransferMs = 5000;

/** Maximum time for which a request is held until there is a change. */
const longPollMs = 1300;

/** Time for which a peer that did not respond gets no requests. */
const unresponsivePeerMs = 5000;

/** Maximum readers and, while the store fails, maximum fallback peers that are asked in turn. */
const maxReaders = 2;
const maxFallbackPeers = 3;

/** Maximum peers that are asked for a newer configuration at the start. */
const startPeers = 2;

/** Time for which the same fallback peers are asked. */
const fallbackPeersTtlMs = 3000;

/** Time between two checks whether another instance has sent its state. */
const stateCheckMs = 50;

/**
 * Type of the requests for the state of another instance. An instance of an older version, which
 * compares other fields, does not know the type: it refuses the request, and the sender asks others.
 */
const requestType = 'state';

/** Type of the requests for the summary of another instance, and their timeout. */
const summaryRequestType = 'summary';
const summaryTimeoutMs = 800;

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
  readSummary(): InstanceSummary;
}

/**
 * Shares the state read from the store between instances, which form a tree. The instance whose
 * name sorts first reads the store for all. The first instance of each other failure domain gets
 * the state from it, and the remaining ones get it from the first instance of their domain. Each
 * instance sends long-poll requests to its source. An instance without a fresh response reads the
 * store itself; while the store fails, it also asks random fallback peers.
 */
export class PeerSync implements PeerMessenger {
  readonly #options: PeerSyncOptions;

  #peerKey: string | undefined;

  #transport: PeerTransport | undefined;

  /** Handlers of the messages of other components, which every new transport gets. */
  readonly #handlers = new Map<string, MessageHandler>();

  #closeListeners: readonly ((peer: InstanceId) => void)[] = [];

  #peers: ReadonlyMap<InstanceId, Peer> = new Map();

  readonly #avoidUntil = new Map<InstanceId, number>();

  /** Peer whose updates currently replace reads of the store. */
  #source: InstanceId | undefined;

  /** Sequence number of the last change on this instance. */
  #changeSequence = 0;

  /** Peers that are asked while the store fails, and the time until which these are kept. */
  #fallbackPeers: readonly InstanceId[] = [];

  #fallbackPeersUntil = -Infinity;

  /** Peers that have, or at the start may have, a newer configuration than a restored store. */
  readonly #aheadPeers = new Set<InstanceId>();

  /** Whether peers have been asked for a newer configuration since the start. */
  #hasAskedPeers = false;

  /** Functions that end the pending long polls. */
  #longPolls: (() => void)[] = [];

  /** Sequence number in the last response of the source. */
  #sourceSequence: number | undefined;

  #stopped = false;

  constructor(options: PeerSyncOptions) {
    this.#options = options;
  }

  /** Peer whose updates replace reads of the store; undefined when there is none. */
  get source(): InstanceId | undefined {
    return this.#source;
  }

  /** Number of the other instances that are known. */
  get peerCount(): number {
    return this.#peers.size;
  }

  /**
   * Sets the peer key and the peers from the store.
   *
   * @param peerKey - Key shared by all instances. It only changes when a restored store has lost it.
   * @param peers - The other instances.
   */
  setPeers(peerKey: string, peers: ReadonlyMap<InstanceId, Peer>): void {
    if (this.#stopped) return;
    if (peerKey !== this.#peerKey) this.#replacePeerKey(peerKey);
    const transport = this.#transport;
    if (!transport) return;
    this.#peers = peers;
    peers.forEach(({ address }, instance) => transport.setAddress(instance, address));
    [...transport.addresses.keys()]
      .filter((instance) => !peers.has(instance))
      .forEach((instance) => transport.removeAddress(instance));
  }

  /** Requests updates from peers, until `stop`. */
  async start(): Promise<void> {
    while (!this.#stopped) {
      if (this.#transport) await this.#syncOnce(this.#transport);
      await sleep(this.#source === undefined ? retryIntervalMs : requestIntervalMs);
    }
  }

  /**
   * Waits until another instance has sent fresh state, or this instance finds that it is the one
   * that reads the store.
   *
   * @param maxMs - Maximum time to wait, in milliseconds.
   */
  async waitForState(maxMs: number): Promise<void> {
    const { clock, replica } = this.#options;
    const endAt = clock.now() + maxMs;
    while (!this.#stopped && clock.now() < endAt && !replica.isFresh) {
      if (this.#peers.size > 0 && this.#selectReaders().length === 0) return;
      await sleep(stateCheckMs);
    }
  }

  /** See {@link PeerTransport.request}. */
  async request(
    peer: InstanceId,
    type: string,
    body: MessageBody,
    timeoutMs: number,
  ): Promise<Result<MessageBody, PeerError>> {
    const transport = this.#transport;
    if (transport) return transport.request(peer, type, body, timeoutMs);
    return err({ kind: 'unreachable', message: 'the peer key is not known yet' });
  }

  /** Sends a message to all other instances; nobody waits for the answers. */
  announce(type: string, body: MessageBody): void {
    [...this.#peers.keys()].forEach((peer) => {
      void this.request(peer, type, body, announceTimeoutMs);
    });
  }

  /** See {@link PeerTransport.handle}. */
  handle(type: string, handler: MessageHandler): void {
    this.#handlers.set(type, handler);
    this.#transport?.handle(type, handler);
  }

  /** See {@link PeerTransport.addCloseListener}. */
  addCloseListener(listener: (peer: InstanceId) => void): void {
    this.#closeListeners = [...this.#closeListeners, listener];
    this.#transport?.addCloseListener(listener);
  }

  /** Completes the pending long polls because this instance has newer state. */
  notifyChange(): void {
    this.#changeSequence += 1;
    const longPolls = this.#longPolls;
    this.#longPolls = [];
    longPolls.forEach((endPoll) => endPoll());
  }

  /**
   * Asks all known instances for their summaries at the same time.
   *
   * @returns The answers, sorted by the names of the instances.
   */
  async collectSummaries(): Promise<readonly FleetAnswer[]> {
    const answers = await Promise.all(
      [...this.#peers.keys()].map((peer) => this.#requestSummary(peer)),
    );
    return [this.#options.readSummary(), ...answers].sort((a, b) =>
      a.instance < b.instance ? -1 : 1,
    );
  }

  stop(): void {
    this.#stopped = true;
    this.notifyChange();
    this.#transport?.close();
  }

  async #requestSummary(peer: InstanceId): Promise<FleetAnswer> {
    const transport = this.#transport;
    if (!transport) return { instance: peer, error: 'the peer key is not known yet' };
    const answer = await transport.request(peer, summaryRequestType, {}, summaryTimeoutMs);
    if (answer.isErr()) return { instance: peer, error: answer.error.message };
    return answer.value as unknown as InstanceSummary;
  }

  #replacePeerKey(peerKey: string): void {
    if (this.#peerKey !== undefined) this.#options.log.warn('peer-key-replaced');
    this.#peerKey = peerKey;
    this.#transport?.close();
    this.#transport = this.#openTransport(peerKey);
    this.#avoidUntil.clear();
  }

  #openTransport(peerKey: string): PeerTransport {
    const { instance, incarnation, ip, port, replica, fleet, clock, log } = this.#options;
    const transport = new PeerTransport({ instance, incarnation }, peerKey, log);
    transport.handle(requestType, async (body, from) => {
      const { fleetDigest, heard, ...progress } = body as unknown as SyncRequest;
      replica.markSharing();
      if (progress.configVersion > replica.progress.configVersion) {
        this.#aheadPeers.add(from.instance);
      }
      const receivedAt = clock.now();
      if (heard === this.#changeSequence) await this.#waitForChange();
      const update = replica.buildUpdate(progress);
      const heldMs = clock.now() - receivedAt;
      return {
        ...update,
        fleet: fleet.buildUpdate(fleetDigest),
        news: this.#changeSequence,
        heldMs,
      };
    });
    transport.handle(summaryRequestType, async () => ({ ...this.#options.readSummary() }));
    this.#handlers.forEach((handler, type) => transport.handle(type, handler));
    this.#closeListeners.forEach((listener) => transport.addCloseListener(listener));
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

  /** Requests updates from peers in turn, until one of them has made the local state fresh. */
  async #syncOnce(transport: PeerTransport): Promise<void> {
    const { replica, fleet, clock } = this.#options;
    let source: InstanceId | undefined;
    await this.#fetchNewerConfig(transport);
    const readers = this.#selectReaders();
    for (const peer of [...readers, ...this.#selectFallbackPeers(readers)]) {
      const heard = peer === this.#source ? this.#sourceSequence : undefined;
      const body: SyncRequest = { ...replica.progress, fleetDigest: fleet.digest, heard };
      const waitMs = heard === undefined ? responseTimeoutMs : responseTimeoutMs + longPollMs;
      const sentAt = clock.now();
      const sent = { ...body };
      const result = await transport.request(peer, requestType, sent, waitMs, maxTransferMs);
      if (this.#stopped) return;
      if (result.isErr()) {
        this.#avoidUntil.set(peer, clock.now() + unresponsivePeerMs);
        this.#options.log.info('peer-silent', { peer, reason: result.error.message });
        continue;
      }
      const response = result.value as unknown as SyncResponse;
      if (readers.includes(peer)) replica.markFollowing();
      this.#mergeResponse(response, peer, clock.now() - sentAt - response.heldMs);
      if (!replica.isFresh) continue;
      source = peer;
      this.#sourceSequence = response.news;
      break;
    }
    this.#setSource(source);
  }

  /**
   * Gets the configuration of peers that have a newer one. An instance that starts after a restore
   * reads an older one from the store until operators write theirs again.
   */
  async #fetchNewerConfig(transport: PeerTransport): Promise<void> {
    const { replica, fleet, clock, random } = this.#options;
    const available = this.#listAvailablePeers().map(([peer]) => peer);
    if (!this.#hasAskedPeers && available.length > 0) {
      this.#hasAskedPeers = true;
      const first = Math.floor(random.next() * available.length);
      available.slice(first, first + startPeers).forEach((peer) => this.#aheadPeers.add(peer));
    }
    const peers = [...this.#aheadPeers];
    this.#aheadPeers.clear();
    for (const peer of peers) {
      const body: SyncRequest = {
        ...replica.progress,
        fleetDigest: fleet.digest,
        heard: undefined,
      };
      const sentAt = clock.now();
      const sent = { ...body };
      const result = await transport.request(
        peer,
        requestType,
        sent,
        responseTimeoutMs,
        maxTransferMs,
      );
      if (this.#stopped) return;
      if (result.isErr()) continue;
      const response = result.value as unknown as SyncResponse;
      this.#mergeResponse(response, peer, clock.now() - sentAt - response.heldMs);
    }
  }

  /**
   * Merges a response.
   *
   * @param networkMs - Transfer time in milliseconds, by which the state in the response has aged.
   */
  #mergeResponse(
    { fleet: fleetUpdate, ...update }: SyncResponse,
    peer: InstanceId,
    networkMs: number,
  ): void {
    const { replica, fleet, log } = this.#options;
    const { registrations, catalog, evacuations } = update;
    const listedAgeMs = update.listedAgeMs + networkMs;
    const { items, removed, position } = registrations;
    if (items.length > 0 || removed.length > 0 || catalog) {
      log.info('knowledge-from-peer', {
        peer,
        position,
        listedAgeMs: Math.round(listedAgeMs),
        changed: items.length,
        removed: removed.length,
        hasConfig: catalog !== undefined,
      });
    }
    const catalogAgeMs = update.catalogAgeMs + networkMs;
    replica.mergeUpdate({ catalog, evacuations, registrations, listedAgeMs, catalogAgeMs }, peer);
    fleet.mergeUpdate({ ...fleetUpdate, ageMs: fleetUpdate.ageMs + networkMs });
  }

  #setSource(source: InstanceId | undefined): void {
    if (source === this.#source) return;
    const { log, replica } = this.#options;
    log.info('store-reader', {
      before: this.#source,
      now: source,
      ageMs: replica.registrationsAgeMs,
    });
    this.#source = source;
  }

  /** Lists the peers that may read the store for this instance, in the order of the requests. */
  #selectReaders(): readonly InstanceId[] {
    const { instance, failureDomain } = this.#options;
    return findReaders(instance, failureDomain, this.#listAvailablePeers()).slice(0, maxReaders);
  }

  /** Selects peers to ask while calls of this instance to the store fail. */
  #selectFallbackPeers(readers: readonly InstanceId[]): readonly InstanceId[] {
    const { replica, clock, random } = this.#options;
    const { failingSince } = replica;
    if (failingSince === undefined || clock.now() - failingSince <= storeFailureDelayMs) return [];
    const now = clock.now();
    const available = this.#listAvailablePeers().map(([peer]) => peer);
    // Each new peer costs a connection, so the selection is kept for some time.
    if (
      now >= this.#fallbackPeersUntil ||
      !this.#fallbackPeers.every((peer) => available.includes(peer))
    ) {
      this.#fallbackPeersUntil = now + fallbackPeersTtlMs;
      this.#fallbackPeers = available
        .filter((peer) => !readers.includes(peer))
        // The current source is kept: requests to it are long polls.
        .map((peer) => ({ peer, rank: peer === this.#source ? -1 : random.next() }))
        .sort((a, b) => a.rank - b.rank)
        .slice(0, maxFallbackPeers)
        .map(({ peer }) => peer);
    }
    return this.#fallbackPeers;
  }

  /** Lists the peers that can be asked now, sorted by name. */
  #listAvailablePeers(): readonly (readonly [InstanceId, Peer])[] {
    const now = this.#options.clock.now();
    return [...this.#peers]
      .filter(([peer]) => (this.#avoidUntil.get(peer) ?? 0) <= now)
      .sort(([a], [b]) => (a < b ? -1 : 1));
  }
}

/** State of the requesting instance. */
interface SyncRequest extends ReplicaProgress {
  readonly fleetDigest: string;
  /** Last sequence number received from the peer; undefined requests an immediate response. */
  readonly heard: number | undefined;
}

interface SyncResponse extends ReplicaUpdate {
  readonly fleet: FleetUpdate;
  /** Sequence number of the last change. */
  readonly news: number;
  /** Time for which the request was held until there was a change, in milliseconds. */
  readonly heldMs: number;
}

/**
 * Finds the peers that may read the store for an instance: those that sort before it in its
 * failure domain; for the first instance of a domain, the first ones of other domains that sort
 * before it.
 *
 * @param peers - The other instances, sorted by name.
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
