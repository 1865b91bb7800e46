import type { KeyValueStore, StoreItem } from '@dotterelpass/store';
import type { Logger } from '@dotterelpass/telemetry';
import type { Clock } from '@dotterelpass/values';
import { leaseMs } from './lease.js';
import type { InstanceLease } from './lease.js';

/** Values of the keys of bans. A lifted one stays until its lease ends. */
const banValue = '{}';
const liftedBanValue = '{"isLifted":true}';

/** Minimum time between two writes of a key: a listing may predate the last write. */
const rewriteIntervalMs = 6000;

/** A ban. A lifted one stays lifted while its key exists: the request cannot crash all endpoints. */
interface KnownBan {
  readonly isLifted: boolean;
  readonly knownSince: number;
}

/** When a ban of this instance was decided, and when it was last written to the store. */
interface OwnBan {
  readonly bannedAt: number;
  readonly writtenAt: number;
}

export interface BanListOptions {
  readonly store: KeyValueStore;
  readonly lease: InstanceLease;
  /** Prefix of the keys of bans. */
  readonly prefix: string;
  readonly clock: Clock;
  readonly log: Logger;
  /**
   * Called when another instance has banned a request.
   *
   * @returns Whether this instance accepts the ban; otherwise the ban is lifted on all instances.
   */
  onBan(fingerprint: string): boolean;
  /** Called when another instance has lifted a ban. */
  onLift(fingerprint: string): void;
}

/** Bans of requests, which the instances share through keys in the store. */
export class BanList {
  readonly #options: BanListOptions;

  /** Bans by fingerprint, of this instance and of others. */
  readonly #bans = new Map<string, KnownBan>();

  /** Bans that this instance has decided, which it writes again when the store loses them. */
  readonly #ownBans = new Map<string, OwnBan>();

  constructor(options: BanListOptions) {
    this.#options = options;
  }

  /**
   * Writes a ban to the store, from where the other instances read it.
   *
   * @param fingerprint - Fingerprint of the banned request.
   */
  async write(fingerprint: string): Promise<void> {
    if (this.#bans.has(fingerprint)) return;
    const now = this.#options.clock.now();
    this.#bans.set(fingerprint, { isLifted: false, knownSince: now });
    await this.#putOwn(fingerprint, now);
  }

  /** @param items - All keys of bans in a listing of the store. */
  merge(items: readonly StoreItem[]): void {
    const listed = new Set<string>();
    items.forEach(({ key, value }) => {
      const fingerprint = key.slice(this.#options.prefix.length);
      listed.add(fingerprint);
      this.#mergeBan(fingerprint, value.toString() === liftedBanValue);
    });
    this.#dropExpired(listed);
  }

  /**
   * Writes the bans of this instance that the store has lost by a restore.
   *
   * @param isListed - Whether the last listing has a key.
   */
  async writeMissing(isListed: (key: string) => boolean): Promise<void> {
    const { clock, prefix } = this.#options;
    for (const [fingerprint, { bannedAt, writtenAt }] of this.#ownBans) {
      const now = clock.now();
      if (now - bannedAt > leaseMs) this.#ownBans.delete(fingerprint);
      else if (!isListed(prefix + fingerprint) && now - writtenAt > rewriteIntervalMs) {
        await this.#putOwn(fingerprint, bannedAt);
      }
    }
  }

  #mergeBan(fingerprint: string, isLifted: boolean): void {
    const { clock, onBan, onLift } = this.#options;
    const known = this.#bans.get(fingerprint);
    if (known && (known.isLifted || !isLifted)) return;
    this.#bans.set(fingerprint, { isLifted, knownSince: clock.now() });
    if (isLifted) {
      this.#ownBans.delete(fingerprint);
      onLift(fingerprint);
    } else if (!onBan(fingerprint)) void this.#lift(fingerprint);
  }

  async #lift(fingerprint: string): Promise<void> {
    const knownSince = this.#options.clock.now();
    this.#bans.set(fingerprint, { isLifted: true, knownSince });
    const isWritten = await this.#put(fingerprint, liftedBanValue);
    // The next listing has the ban again, and leads to another attempt.
    if (!isWritten) this.#bans.delete(fingerprint);
  }

  /** Forgets bans whose keys have expired, so that they can be written again. */
  #dropExpired(listed: ReadonlySet<string>): void {
    const now = this.#options.clock.now();
    this.#bans.forEach(({ knownSince }, fingerprint) => {
      if (now - knownSince > leaseMs && !listed.has(fingerprint)) this.#bans.delete(fingerprint);
    });
  }

  async #putOwn(fingerprint: string, bannedAt: number): Promise<void> {
    this.#ownBans.set(fingerprint, { bannedAt, writtenAt: this.#options.clock.now() });
    // A ban that another instance has lifted meanwhile stays lifted.
    await this.#put(fingerprint, banValue, 0);
  }

  /** @param expected - Revision that the key must have; any by default. */
  async #put(fingerprint: string, text: string, expected?: number): Promise<boolean> {
    const { store, lease, prefix, log } = this.#options;
    const id = await lease.getOrCreate();
    const key = prefix + fingerprint;
    const condition = expected === undefined ? {} : { expected };
    const written = await store.put({ key, value: Buffer.from(text), lease: id, ...condition });
    if (written.isOk()) return true;
    if (written.error.kind === 'refused') lease.drop();
    log.warn('ban-unwritten', { fingerprint, reason: written.error.message });
    return false;
  }
}
