import { createHash, randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { Backoff } from '@dotterelpass/store';
import type { KeyValueStore, StoreItem } from '@dotterelpass/store';
import type { Logger } from '@dotterelpass/telemetry';
import type { Clock, FailureDomain, InstanceId, Random } from '@dotterelpass/values';

/** Prefix of the keys that the instances write. */
const prefix = 'dotterelpass/';
const instancePrefix = `${prefix}instances/`;
const banPrefix = `${prefix}bans/`;
const peerKeyKey = `${prefix}peer-key`;

/** Age at which the instances' own keys are read again, in milliseconds. */
const pollIntervalMs = 1000;

/** The same while another instance tells them. */
const followerPollIntervalMs = 4000;

/** Bounds of the wait after a failed call, in milliseconds. */
const minBackoffMs = 50;
const maxBackoffMs = 4000;

/** Time to live of what an instance registers. It is not renewed: a restart registers anew. */
const leaseMs = 600_000;

/** Time for which an instance that vanished from the store still counts, in milliseconds. */
const missingInstanceTtlMs = 30_000;

/** Time between registrations of this instance, in milliseconds: readings may be old. */
const registerIntervalMs = 6000;

const peerKeyBytes = 24;

/** Chance of an attempt to write the shared key: instances that start together need only one. */
const peerKeyWriteProbability = 0.2;

/** Another instance. */
export interface Peer {
  /** IP address and port for peers. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
}

/** The instances' own keys, as one instance tells them to another. */
export interface FleetUpdate {
  /** Undefined when the other one has the same. */
  readonly items: readonly StoreItem[] | undefined;
  /** Age, in milliseconds. */
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
  onBan(fingerprint: string): void;
  /** Called with the key that all instances share and the others. */
  onPeers(peerKey: string, peers: ReadonlyMap<InstanceId, Peer>): void;
}

/** The instances of the fleet, which find each other in the store and share bans there. */
export class Fleet {
  readonly #options: FleetOptions;

  readonly #lastSeenAt = new Map<string, number>();

  readonly #bans = new Set<string>();

  #items: readonly StoreItem[] = [];

  #digest = '';

  #readAt = -Infinity;

  #peerUpdateAt = -Infinity;

  #peerKey: string | undefined;

  #lease: number | undefined;

  #registeredAt = -Infinity;

  #stopped = false;

  constructor(options: FleetOptions) {
    this.#options = options;
  }

  /** Identifies the keys that are known. */
  get digest(): string {
    return this.#digest;
  }

  /** Registers this instance and follows the others, until `stop`. */
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
  }

  /** @returns The keys, for an instance that has those of `digest`. */
  buildUpdate(digest: string): FleetUpdate {
    const items = digest === this.#digest ? undefined : this.#items;
    return { items, ageMs: this.#options.clock.now() - this.#readAt };
  }

  /** Takes the keys that another instance has read. */
  mergeUpdate({ items, ageMs }: FleetUpdate): void {
    const now = this.#options.clock.now();
    const readAt = now - ageMs;
    if (ageMs < followerPollIntervalMs) this.#peerUpdateAt = now;
    if (readAt <= this.#readAt) return;
    this.#readAt = readAt;
    this.#setItems(items ?? this.#items);
  }

  /**
   * Tells the fleet of a ban.
   *
   * @param fingerprint - The banned request.
   */
  async writeBan(fingerprint: string): Promise<void> {
    if (this.#bans.has(fingerprint)) return;
    this.#bans.add(fingerprint);
    const key = `${banPrefix}${fingerprint}`;
    const lease = await this.#getOrCreateLease();
    const written = await this.#options.store.put({ key, value: Buffer.from('{}'), lease });
    if (written.isErr()) {
      this.#bans.delete(fingerprint);
      this.#options.log.warn('ban-unwritten', { fingerprint, reason: written.error.message });
    }
  }

  /** @returns Time until the keys are read from the store, in milliseconds. */
  #calculatePollDelayMs(): number {
    const now = this.#options.clock.now();
    if (this.#peerKey === undefined) return this.#readAt + minBackoffMs - now;
    const isTold = now - this.#peerUpdateAt < followerPollIntervalMs;
    return this.#readAt + (isTold ? followerPollIntervalMs : pollIntervalMs) - now;
  }

  #setItems(items: readonly StoreItem[]): void {
    const { instance, clock, onSize, onChange: onNews, onBan, onPeers } = this.#options;
    const now = clock.now();
    const digest = hashRevisions(items);
    if (digest !== this.#digest) onNews();
    this.#items = items;
    this.#digest = digest;
    const peers = new Map<InstanceId, Peer>();
    items.forEach(({ key, value }) => {
      if (key === peerKeyKey) this.#peerKey = value.toString();
      else if (key.startsWith(banPrefix)) {
        const fingerprint = key.slice(banPrefix.length);
        if (this.#bans.has(fingerprint)) return;
        this.#bans.add(fingerprint);
        onBan(fingerprint);
      } else if (key.startsWith(instancePrefix)) {
        const name = key.slice(instancePrefix.length) as InstanceId;
        this.#lastSeenAt.set(name, now);
        const peer = this.#parsePeer(key, value);
        if (name !== instance && peer) peers.set(name, peer);
      }
    });
    [...this.#lastSeenAt].forEach(([name, at]) => {
      if (now - at > missingInstanceTtlMs) this.#lastSeenAt.delete(name);
    });
    if (this.#peerKey !== undefined) onPeers(this.#peerKey, peers);
    onSize(Math.max(1, this.#lastSeenAt.size));
  }

  #parsePeer(key: string, value: Buffer): Peer | undefined {
    try {
      const { address, failureDomain } = JSON.parse(value.toString()) as Peer;
      return { address, failureDomain };
    } catch (error) {
      this.#options.log.warn('instance-unreadable', { item: key, reason: String(error) });
      return undefined;
    }
  }

  /** Writes what this instance owes the others and has not been listed. */
  async #writeMissingKeys(): Promise<void> {
    const { instance, clock, random } = this.#options;
    const isListed = this.#items.some(({ key }) => key === instancePrefix + instance);
    const isDue = clock.now() - this.#registeredAt > registerIntervalMs;
    if ((!isListed || this.#registeredAt === -Infinity) && isDue) await this.#register();
    if (this.#peerKey === undefined && random.next() < peerKeyWriteProbability)
      await this.#writePeerKey();
  }

  async #register(): Promise<void> {
    const { store, instance, self, clock, log } = this.#options;
    // A lease that ended takes the keys with it, so a lost registration needs a new one.
    if (this.#registeredAt !== -Infinity) this.#lease = undefined;
    const lease = await this.#getOrCreateLease();
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

  async #getOrCreateLease(): Promise<number | undefined> {
    if (this.#lease !== undefined) return this.#lease;
    const lease = await this.#options.store.createLease(leaseMs);
    if (lease.isErr()) {
      this.#options.log.warn('lease-failed', { reason: lease.error.message });
      return undefined;
    }
    this.#lease = lease.value;
    return this.#lease;
  }

  /** Whoever writes first decides; the others read the key at their next reading. */
  async #writePeerKey(): Promise<void> {
    const { store, log } = this.#options;
    const value = Buffer.from(randomBytes(peerKeyBytes).toString('hex'));
    const written = await store.put({ key: peerKeyKey, value, expected: 0 });
    if (written.isErr()) log.warn('peer-key-unwritten', { reason: written.error.message });
  }
}

function hashRevisions(items: readonly StoreItem[]): string {
  const hash = createHash('sha1');
  items.forEach(({ key, revision }) => hash.update(`${key} ${revision}\n`));
  return hash.digest('base64');
}
