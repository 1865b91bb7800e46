import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { Backoff } from '@dotterelpass/store';
import type { Store, StoreItem } from '@dotterelpass/store';
import type { Log } from '@dotterelpass/telemetry';
import type { Clock, InstanceId, Random } from '@dotterelpass/values';

/** Prefix of the keys that the instances write. */
const prefix = 'dotterelpass/';
const instancePrefix = `${prefix}instances/`;
const banPrefix = `${prefix}bans/`;
const peerKeyKey = `${prefix}peer-key`;

/** Time between readings of the instances' own keys, in milliseconds. */
const readMs = 1000;

/** Bounds of the wait after a failed call, in milliseconds. */
const minRetryMs = 50;
const maxRetryMs = 4000;

/** Time to live of what an instance registers. It is not renewed: a restart registers anew. */
const leaseMs = 600_000;

/** Time for which an instance that vanished from the store still counts, in milliseconds. */
const rememberMs = 30_000;

/** Time between registrations of this instance, in milliseconds: readings may be old. */
const registerMs = 6000;

const peerKeyBytes = 24;

export interface FleetOptions {
  readonly store: Store;
  readonly instance: InstanceId;
  /** IP address and port for peers. */
  readonly peerAddress: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  onSize(size: number): void;
  onBan(fingerprint: string): void;
  /** Called with the key that all instances share and the addresses of the others. */
  onPeers(peerKey: string, addresses: ReadonlyMap<InstanceId, string>): void;
}

/** The instances of the fleet, which find each other in the store and share bans there. */
export class Fleet {
  readonly #options: FleetOptions;

  readonly #seen = new Map<string, number>();

  readonly #bans = new Set<string>();

  #peerKey: string | undefined;

  #lease: number | undefined;

  #registeredAt = -Infinity;

  #stopped = false;

  constructor(options: FleetOptions) {
    this.#options = options;
  }

  /** Registers this instance and follows the others, until `stop`. */
  async run(): Promise<void> {
    const { store, random, log } = this.#options;
    const backoff = new Backoff(random, minRetryMs, maxRetryMs);
    while (!this.#stopped) {
      const listing = await store.list(prefix, this.#peerKey !== undefined);
      if (listing.isErr()) {
        log.debug('fleet-unread', { reason: listing.error.message });
        await backoff.sleep();
        continue;
      }
      backoff.reset();
      await this.#apply(listing.value.items);
      await sleep(this.#peerKey === undefined ? minRetryMs : readMs);
    }
  }

  stop(): void {
    this.#stopped = true;
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
    const lease = await this.#findLease();
    const written = await this.#options.store.put({ key, value: Buffer.from('{}'), lease });
    if (written.isErr()) {
      this.#bans.delete(fingerprint);
      this.#options.log.warn('ban-unwritten', { fingerprint, reason: written.error.message });
    }
  }

  async #apply(items: readonly StoreItem[]): Promise<void> {
    const { instance, clock, onSize, onBan, onPeers } = this.#options;
    const now = clock.now();
    const addresses = new Map<InstanceId, string>();
    items.forEach(({ key, value }) => {
      if (key === peerKeyKey) this.#peerKey = value.toString();
      else if (key.startsWith(banPrefix)) {
        const fingerprint = key.slice(banPrefix.length);
        if (this.#bans.has(fingerprint)) return;
        this.#bans.add(fingerprint);
        onBan(fingerprint);
      } else if (key.startsWith(instancePrefix)) {
        const name = key.slice(instancePrefix.length) as InstanceId;
        this.#seen.set(name, now);
        if (name !== instance) addresses.set(name, value.toString());
      }
    });
    [...this.#seen].forEach(([name, at]) => {
      if (now - at > rememberMs) this.#seen.delete(name);
    });
    const isListed = items.some(({ key }) => key === instancePrefix + instance);
    if ((!isListed || this.#registeredAt === -Infinity) && now - this.#registeredAt > registerMs) {
      await this.#register();
    }
    if (this.#peerKey === undefined) await this.#mintPeerKey();
    else onPeers(this.#peerKey, addresses);
    onSize(Math.max(1, this.#seen.size));
  }

  async #register(): Promise<void> {
    const { store, instance, peerAddress, clock, log } = this.#options;
    // A lease that ended takes the keys with it, so a lost registration needs a new one.
    if (this.#registeredAt !== -Infinity) this.#lease = undefined;
    const lease = await this.#findLease();
    if (lease === undefined) return;
    const key = instancePrefix + instance;
    const written = await store.put({ key, value: Buffer.from(peerAddress), lease });
    if (written.isErr()) {
      log.warn('instance-unregistered', { reason: written.error.message });
      return;
    }
    this.#registeredAt = clock.now();
    log.info('instance-registered', { peerAddress });
  }

  async #findLease(): Promise<number | undefined> {
    if (this.#lease !== undefined) return this.#lease;
    const lease = await this.#options.store.openLease(leaseMs);
    if (lease.isErr()) {
      this.#options.log.warn('lease-failed', { reason: lease.error.message });
      return undefined;
    }
    this.#lease = lease.value;
    return this.#lease;
  }

  /** Whoever writes first decides; the others read the key at their next reading. */
  async #mintPeerKey(): Promise<void> {
    const { store, log } = this.#options;
    const value = Buffer.from(randomBytes(peerKeyBytes).toString('hex'));
    const written = await store.put({ key: peerKeyKey, value, expected: 0 });
    if (written.isErr()) log.warn('peer-key-unwritten', { reason: written.error.message });
  }
}
