import { createHash, randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { Backoff } from '@dotterelpass/store';
import type { KeyValueStore, StoreItem } from '@dotterelpass/store';
import type { Logger } from '@dotterelpass/telemetry';
import type { EndpointCrash, RequestBan } from '@dotterelpass/suspects';
import type { Clock, InstanceId, Random } from '@dotterelpass/values';
import { BanList } from './bans.js';
import type { BanNews } from './bans.js';
import { InstanceLease } from './lease.js';
import { parsePeer } from './peer.js';
import type { Peer } from './peer.js';
import { CrashReporter } from './reporter.js';

/** Prefix of the keys that the instances write. */
const prefix = 'dotterelpass/';
const instancePrefix = `${prefix}instances/`;
const banPrefix = `${prefix}bans/`;
const peerKeyKey = `${prefix}peer-key`;

/** Age at which the keys of the instances are read from the store again. */
const pollIntervalMs = 1000;

/** Poll interval while another instance sends updates. */
const followerPollIntervalMs = 4000;

/** Bounds of the back-off after a failed store call. */
const minBackoffMs = 50;
const maxBackoffMs = 4000;

/** Time for which an instance that is missing in the store still counts towards the fleet size. */
const missingInstanceTtlMs = 30_000;

/** Minimum time between two writes of a key: a listing may predate the last write. */
const rewriteIntervalMs = 6000;

const peerKeyBytes = 24;

/** Maximum number of undecodable instances that are remembered to log each only once. */
const maxUnreadableKeys = 1000;

/**
 * Time after which an instance that is not the first in the listing tries to write the peer key,
 * and the probability of the attempt in each poll: of instances that start together, only one needs
 * to.
 */
const peerKeyPatienceMs = 1000;
const peerKeyWriteProbability = 0.2;

/** Keys of the instances, as sent from one instance to another. */
export interface FleetUpdate {
  /** Undefined when the receiver already has them. */
  readonly items: readonly StoreItem[] | undefined;
  /** Time since the keys were read from the store, in milliseconds. */
  readonly ageMs: number;
}

export interface FleetOptions {
  readonly store: KeyValueStore;
  readonly instance: InstanceId;
  readonly self: Peer;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  onSize(size: number): void;
  /** Called when the keys have changed. */
  onChange(): void;
  /**
   * Called when another instance has banned a request.
   *
   * @returns Whether this instance accepts the ban; otherwise the ban is lifted on all instances.
   */
  onBan(ban: RequestBan): boolean;
  /** Called when another instance has lifted a ban. */
  onLift(ban: RequestBan): void;
  /** Called when endpoints have crashed on this instance and another one with the same request. */
  onSecondCrash(ban: RequestBan): void;
  /** Tells all other instances of a ban at once. */
  announceBan(news: BanNews): void;
  /** Called with the peer key, which all instances share, and the other instances. */
  onPeers(peerKey: string, peers: ReadonlyMap<InstanceId, Peer>): void;
}

/** Discovers the other instances through the store, and shares bans with them there. */
export class Fleet {
  readonly #options: FleetOptions;

  readonly #lastSeenAt = new Map<string, number>();

  readonly #lease: InstanceLease;

  readonly #bans: BanList;

  readonly #crashReporter: CrashReporter;

  /** Keys of undecodable instances that have been logged. */
  readonly #unreadableKeys = new Set<string>();

  #items: readonly StoreItem[] = [];

  #digest = '';

  #readAt = -Infinity;

  #peerUpdateAt = -Infinity;

  #peerKey: string | undefined;

  #registeredAt = -Infinity;

  readonly #startedAt: number;

  #stopped = false;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    const { store, log, onSecondCrash } = options;
    this.#lease = new InstanceLease(store, log);
    const lease = this.#lease;
    this.#bans = new BanList({ ...options, lease, prefix: banPrefix });
    this.#crashReporter = new CrashReporter({ store, lease, log, onSecondCrash });
  }

  /** Digest of the known keys and their values. */
  get digest(): string {
    return this.#digest;
  }

  /** Registers this instance and polls the keys of all instances, until `stop`. */
  async start(): Promise<void> {
    const { store, random, log, clock } = this.#options;
    const backoff = new Backoff(random, minBackoffMs, maxBackoffMs);
    while (!this.#stopped) {
      const waitMs = this.#calculatePollDelayMs();
      if (waitMs > 0) {
        await sleep(Math.ceil(waitMs));
        continue;
      }
      const startedAt = clock.now();
      const listing = await store.list(prefix, true);
      if (listing.isErr()) {
        log.debug('fleet-unread', { reason: listing.error.message });
        await backoff.sleep();
        continue;
      }
      backoff.reset();
      this.#readAt = startedAt;
      this.#setItems(listing.value.items);
      await this.#writeMissingKeys();
    }
  }

  stop(): void {
    this.#stopped = true;
    this.#crashReporter.stop();
  }

  /** Reports a crash, to find whether the same request has crashed an endpoint on another instance. */
  reportCrash(fingerprint: string, crash: EndpointCrash): void {
    this.#crashReporter.report(fingerprint, crash);
  }

  /** @returns An update for an instance whose keys have this digest. */
  buildUpdate(digest: string): FleetUpdate {
    const items = digest === this.#digest ? undefined : this.#items;
    return { items, ageMs: this.#options.clock.now() - this.#readAt };
  }

  /** Merges the keys that another instance has read. */
  mergeUpdate({ items, ageMs }: FleetUpdate): void {
    const now = this.#options.clock.now();
    const readAt = now - ageMs;
    if (ageMs < followerPollIntervalMs) this.#peerUpdateAt = now;
    if (readAt <= this.#readAt) return;
    this.#readAt = readAt;
    this.#setItems(items ?? this.#items);
  }

  /**
   * Tells the other instances of a ban, and writes it to the store for those that cannot be reached
   * now.
   */
  async writeBan(ban: RequestBan): Promise<void> {
    await this.#bans.write(ban);
  }

  /** @param message - The message of another instance on a ban. */
  receiveBan(message: unknown): void {
    this.#bans.receive(message);
  }

  /** @returns Delay until the next poll of the store, in milliseconds. */
  #calculatePollDelayMs(): number {
    const now = this.#options.clock.now();
    if (this.#peerKey === undefined) return this.#readAt + minBackoffMs - now;
    const hasPeerUpdate = now - this.#peerUpdateAt < followerPollIntervalMs;
    return this.#readAt + (hasPeerUpdate ? followerPollIntervalMs : pollIntervalMs) - now;
  }

  #setItems(items: readonly StoreItem[]): void {
    const { instance, clock, onSize, onChange, onPeers } = this.#options;
    const now = clock.now();
    const digest = hashItems(items);
    if (digest !== this.#digest) onChange();
    this.#items = items;
    this.#digest = digest;
    const peers = new Map<InstanceId, Peer>();
    items.forEach(({ key, value }) => {
      if (key === peerKeyKey) this.#peerKey = value.toString();
      else if (key.startsWith(instancePrefix)) {
        const name = key.slice(instancePrefix.length) as InstanceId;
        this.#lastSeenAt.set(name, now);
        const peer = this.#parsePeer(key, value);
        if (name !== instance && peer) peers.set(name, peer);
      }
    });
    [...this.#lastSeenAt].forEach(([name, at]) => {
      if (now - at > missingInstanceTtlMs) this.#lastSeenAt.delete(name);
    });
    this.#bans.merge(items.filter(({ key }) => key.startsWith(banPrefix)));
    if (this.#peerKey !== undefined) onPeers(this.#peerKey, peers);
    onSize(Math.max(1, this.#lastSeenAt.size));
  }

  #parsePeer(key: string, value: Buffer): Peer | undefined {
    const peer = parsePeer(value);
    if (peer.isOk()) return peer.value;
    if (this.#unreadableKeys.has(key)) return undefined;
    if (this.#unreadableKeys.size >= maxUnreadableKeys) this.#unreadableKeys.clear();
    this.#unreadableKeys.add(key);
    this.#options.log.warn('instance-unreadable', { item: key, reason: peer.error });
    return undefined;
  }

  /**
   * Writes the registration of this instance, its bans and the peer key when the last listing lacks
   * them, also when the store has lost them by a restore.
   */
  async #writeMissingKeys(): Promise<void> {
    const isDue = (writtenAt: number) => this.#options.clock.now() - writtenAt > rewriteIntervalMs;
    if (!this.#isRegistered() && isDue(this.#registeredAt)) await this.#register();
    if (!this.#isListed(peerKeyKey) && this.#shouldWritePeerKey()) await this.#writePeerKey();
    await this.#bans.writeMissing((key) => this.#isListed(key));
  }

  #isListed(key: string): boolean {
    return this.#items.some((item) => item.key === key);
  }

  /**
   * Whether the last listing has the registration of this instance. That of an earlier process with
   * the same address counts, too: it is written anew when its lease has expired.
   */
  #isRegistered(): boolean {
    const { instance, self } = this.#options;
    const item = this.#items.find(({ key }) => key === instancePrefix + instance);
    return item !== undefined && item.value.toString() === JSON.stringify(self);
  }

  #shouldWritePeerKey(): boolean {
    const { instance, clock, random } = this.#options;
    // The store lists keys in order.
    const first = this.#items.find(({ key }) => key.startsWith(instancePrefix));
    if (first?.key === instancePrefix + instance) return true;
    const hasWaited = clock.now() - this.#startedAt > peerKeyPatienceMs;
    return hasWaited && random.next() < peerKeyWriteProbability;
  }

  async #register(): Promise<void> {
    const { store, instance, self, clock, log } = this.#options;
    // The keys of an expired lease are deleted, so a lost registration needs a new lease.
    if (this.#registeredAt !== -Infinity) this.#lease.drop();
    const lease = await this.#lease.getOrCreate();
    if (lease === undefined) return;
    const key = instancePrefix + instance;
    const written = await store.put({ key, value: Buffer.from(JSON.stringify(self)), lease });
    if (written.isErr()) {
      log.warn('instance-unregistered', { reason: written.error.message });
      return;
    }
    this.#registeredAt = clock.now();
    log.info('instance-registered', { ...self });
  }

  /**
   * Writes the known peer key, or a new one, unless the store has one. The first write wins; other
   * instances read its key.
   */
  async #writePeerKey(): Promise<void> {
    const { store, log } = this.#options;
    const value = Buffer.from(this.#peerKey ?? randomBytes(peerKeyBytes).toString('hex'));
    const written = await store.put({ key: peerKeyKey, value, expected: 0 });
    if (written.isErr()) log.warn('peer-key-unwritten', { reason: written.error.message });
  }
}

function hashItems(items: readonly StoreItem[]): string {
  const hash = createHash('sha1');
  items.forEach(({ key, value }) => hash.update(`${key} ${value.length}\n`).update(value));
  return hash.digest('base64');
}
