import { createHash } from 'node:crypto';
import type { KeyValueStore, StoreItem } from '@dotterelpass/store';
import type { Logger } from '@dotterelpass/telemetry';
import type { RequestBan } from '@dotterelpass/suspects';
import type { Clock, EndpointVersion } from '@dotterelpass/values';
import { leaseMs } from './lease.js';
import type { InstanceLease } from './lease.js';

/** Between the fingerprint and the version in the name of a ban, and digits of the latter. */
const versionSeparator = '.';
const versionDigits = 16;

/** Minimum time between two writes of a key: a listing may predate the last write. */
const rewriteIntervalMs = 6000;

/** What an instance tells the others of a ban. */
export interface BanNews extends RequestBan {
  /** Whether the ban is lifted, because the request has been answered. */
  readonly isLifted: boolean;
}

/** A ban. A lifted one stays lifted while its key exists: the version does not always crash. */
interface KnownBan {
  readonly isLifted: boolean;
  readonly knownSince: number;
}

/** When a ban of this instance was decided, and when it was last written to the store. */
interface OwnBan {
  readonly ban: RequestBan;
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
  onBan(ban: RequestBan): boolean;
  /** Called when another instance has lifted a ban. */
  onLift(ban: RequestBan): void;
  /** Tells all other instances at once, since listings of the store may be seconds old. */
  announceBan(news: BanNews): void;
}

/** Bans of requests, which the instances share through keys in the store. */
export class BanList {
  readonly #options: BanListOptions;

  /** Bans by name, of this instance and of others. */
  readonly #bans = new Map<string, KnownBan>();

  /** Bans by name that this instance has decided, which it writes again when the store loses them. */
  readonly #ownBans = new Map<string, OwnBan>();

  constructor(options: BanListOptions) {
    this.#options = options;
  }

  /**
   * Writes a ban to the store, from where the other instances read it.
   *
   * @param ban - The ban.
   */
  async write(ban: RequestBan): Promise<void> {
    const { clock, announceBan } = this.#options;
    const name = buildName(ban);
    if (this.#bans.has(name)) return;
    const now = clock.now();
    this.#bans.set(name, { isLifted: false, knownSince: now });
    announceBan({ ...ban, isLifted: false });
    await this.#putOwn(ban, now);
  }

  /** @param message - What another instance has sent; ignored unless it tells of a ban. */
  receive(message: unknown): void {
    const news = parseNews(message);
    if (news) this.#mergeBan(news);
  }

  /** @param items - All keys of bans in a listing of the store. */
  merge(items: readonly StoreItem[]): void {
    const listed = new Set<string>();
    items.forEach(({ key, value }) => {
      const name = key.slice(this.#options.prefix.length);
      listed.add(name);
      const [fingerprint] = name.split(versionSeparator);
      const news = parseNews({ ...readFields(value), fingerprint });
      if (news) this.#mergeBan(news);
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
    for (const [name, { ban, bannedAt, writtenAt }] of this.#ownBans) {
      const now = clock.now();
      if (now - bannedAt > leaseMs) this.#ownBans.delete(name);
      else if (!isListed(prefix + name) && now - writtenAt > rewriteIntervalMs) {
        await this.#putOwn(ban, bannedAt);
      }
    }
  }

  #mergeBan({ isLifted, ...ban }: BanNews): void {
    const name = buildName(ban);
    const { clock, onBan, onLift } = this.#options;
    const known = this.#bans.get(name);
    if (known && (known.isLifted || !isLifted)) return;
    this.#bans.set(name, { isLifted, knownSince: clock.now() });
    if (isLifted) {
      this.#ownBans.delete(name);
      onLift(ban);
    } else if (!onBan(ban)) void this.#lift(ban);
  }

  async #lift(ban: RequestBan): Promise<void> {
    const { clock, announceBan } = this.#options;
    const name = buildName(ban);
    const news: BanNews = { ...ban, isLifted: true };
    this.#bans.set(name, { isLifted: true, knownSince: clock.now() });
    announceBan(news);
    const isWritten = await this.#put(news);
    // The next listing has the ban again, and leads to another attempt.
    if (!isWritten) this.#bans.delete(name);
  }

  /** Forgets bans whose keys have expired, so that they can be written again. */
  #dropExpired(listed: ReadonlySet<string>): void {
    const now = this.#options.clock.now();
    this.#bans.forEach(({ knownSince }, name) => {
      if (now - knownSince > leaseMs && !listed.has(name)) this.#bans.delete(name);
    });
  }

  async #putOwn(ban: RequestBan, bannedAt: number): Promise<void> {
    const writtenAt = this.#options.clock.now();
    this.#ownBans.set(buildName(ban), { ban, bannedAt, writtenAt });
    // A ban that another instance has lifted meanwhile stays lifted.
    await this.#put({ ...ban, isLifted: false }, 0);
  }

  /** @param expected - Revision that the key must have; any by default. */
  async #put({ fingerprint, ...fields }: BanNews, expected?: number): Promise<boolean> {
    const { store, lease, prefix, log } = this.#options;
    const id = await lease.getOrCreate();
    const key = prefix + buildName({ fingerprint, ...fields });
    const condition = expected === undefined ? {} : { expected };
    const value = Buffer.from(JSON.stringify(fields));
    const written = await store.put({ key, value, lease: id, ...condition });
    if (written.isOk()) return true;
    if (written.error.kind === 'refused') lease.drop();
    log.warn('ban-unwritten', { fingerprint, reason: written.error.message });
    return false;
  }
}

/** @returns The name of a ban in the store, in which the version takes few bytes. */
function buildName({ fingerprint, version }: RequestBan): string {
  if (version === undefined) return fingerprint;
  const digest = createHash('sha256').update(version).digest('hex').slice(0, versionDigits);
  return fingerprint + versionSeparator + digest;
}

/** @returns The fields of the value of a key; none when it cannot be read. */
function readFields(value: Buffer): Record<string, unknown> {
  try {
    const fields: unknown = JSON.parse(value.toString());
    return typeof fields === 'object' && fields !== null ? { ...fields } : {};
  } catch {
    return {};
  }
}

function parseNews(message: unknown): BanNews | undefined {
  const { fingerprint, version, isLifted } = message as Record<string, unknown>;
  if (typeof fingerprint !== 'string') return undefined;
  const hasVersion = typeof version === 'string';
  return {
    fingerprint,
    version: hasVersion ? (version as EndpointVersion) : undefined,
    isLifted: isLifted === true,
  };
}
