import { setTimeout as sleep } from 'node:timers/promises';
import type { Result } from 'neverthrow';
import { Backoff } from '@dotterelpass/store';
import type { PlatformError, KeyValueStore, StoreItem } from '@dotterelpass/store';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import type { Clock, Random } from '@dotterelpass/values';
import type { GatewayConfig, Registration } from './catalog.js';
import { ChangeLog } from './changes.js';
import type { Delta } from './changes.js';

/** Where knowledge lies in the store, and how it is decoded. */
export interface StoreSchema {
  /** Key of the operators' configuration. */
  readonly configKey: string;
  /** Prefix of the endpoints' registrations. */
  readonly registrationPrefix: string;
  decodeConfig(value: Buffer): Result<GatewayConfig, string>;
  decodeRegistration(key: string, value: Buffer): Result<Registration, string>;
}

/** Takes what the feed has learned. */
export interface FeedTarget {
  readonly version: number;
  applyCatalog(catalog: GatewayConfig, source: string): void;
  applyRegistrations(registrations: readonly Registration[]): void;
}

export interface FeedOptions {
  readonly store: KeyValueStore;
  readonly schema: StoreSchema;
  readonly target: FeedTarget;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Called when there is something newer for other instances. */
  onNews(): void;
}

/**
 * Time for which one watch waits, in milliseconds. A connection that has gone silent is noticed
 * when it ends, so it bounds how late a change of the configuration can be.
 */
const watchMs = 2500;

/** Age at which the registrations are read from the store, in milliseconds. */
const listMs = 1500;

/** The same while this instance reads for others, which get them a little later. */
const sharedListMs = 1200;

/** Time for which an instance counts as one that reads for others, in milliseconds. */
const sharingMs = 3000;

/** Bounds of the wait after a failed call, in milliseconds. */
const minRetryMs = 100;
const maxRetryMs = 400;

/**
 * Further wait after a failed call of an instance for which another one reads, in milliseconds:
 * it hears from that one as soon as the store is back.
 */
const followerRetryMs = 1500;

/**
 * Time after the store's return in which registrations that lapsed meanwhile may come back, in
 * milliseconds. One that is missing after that has gone.
 */
const lapseMs = 1800;

/** Outages shorter than this make no registration lapse, in milliseconds. */
const shortOutageMs = 1700;

/** Unreadable registrations that are remembered, so that each is logged once. */
const maxBadKeys = 1000;

/** What an instance tells another one. */
export interface Knowledge {
  /** The configuration, when the other one has an older one. */
  readonly catalog: StoreItem | undefined;
  /** Time since the configuration was known to be the newest, in milliseconds. */
  readonly catalogAgeMs: number;
  readonly registrations: Delta;
  /** Age of the registrations, in milliseconds. */
  readonly listedAgeMs: number;
}

/**
 * Keeps the configuration and the endpoints as the store has them. What another instance has read
 * a moment ago is not read again.
 */
export class Feed {
  readonly #options: FeedOptions;

  readonly #log: ChangeLog;

  #catalogItem: StoreItem | undefined;

  /** When the configuration was last known to be the newest. */
  #catalogAt = -Infinity;

  /** Whether a watch of the configuration waits. */
  #isWatching = false;

  /** Until when another instance watches the configuration for this one. */
  #restUntil = -Infinity;

  #listedAt = -Infinity;

  #sharedUntil = -Infinity;

  /** Until when an instance that answers is taken to read for this one. */
  #followingUntil = -Infinity;

  /** Since when calls to the store fail; undefined while they do not. */
  #lostSince: number | undefined;

  #answeredAt = -Infinity;

  readonly #startedAt: number;

  /** Until when missing registrations are kept. */
  #keepUntil = -Infinity;

  /** Keys of registrations of which it has been told that they cannot be read. */
  readonly #badKeys = new Set<string>();

  #stopped = false;

  constructor(options: FeedOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#log = new ChangeLog((item) => this.#readRegistration(item));
  }

  /** Since when the store fails, in monotonic milliseconds; undefined while it answers. */
  get lostSince(): number | undefined {
    return this.#lostSince;
  }

  /** Whether the registrations have been read once. */
  get isListed(): boolean {
    return this.#log.revision >= 0;
  }

  /** Age of the registrations, in milliseconds. */
  get listedAgeMs(): number {
    return this.#options.clock.now() - this.#listedAt;
  }

  /** Whether both are so new that there is no need to read them. */
  get isFresh(): boolean {
    return this.listedAgeMs < listMs && this.#options.clock.now() < this.#restUntil;
  }

  /** Revisions of what is known, for another instance to tell what is newer. */
  get revisions(): { readonly registrations: number; readonly catalog: number } {
    return { registrations: this.#log.revision, catalog: this.#catalogItem?.revision ?? 0 };
  }

  /** Starts to follow the store, until `stop`. */
  run(): void {
    void this.#runCatalog();
    void this.#runListing();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** An instance that reads for this one has answered, whether or not it had something new. */
  follow(): void {
    this.#followingUntil = this.#options.clock.now() + sharingMs;
  }

  /** Another instance depends on what this one reads: it reads more often for some time. */
  share(): void {
    this.#sharedUntil = this.#options.clock.now() + sharingMs;
  }

  /**
   * Tells another instance what it does not know.
   *
   * @param registrations - Revision of its registrations.
   * @param catalog - Revision of its configuration.
   */
  tell(registrations: number, catalog: number): Knowledge {
    const now = this.#options.clock.now();
    const item = this.#catalogItem;
    return {
      catalog: item && item.revision > catalog ? item : undefined,
      catalogAgeMs: now - this.#catalogAt,
      registrations: this.#log.findSince(registrations),
      listedAgeMs: this.listedAgeMs,
    };
  }

  /**
   * Takes what another instance knows.
   *
   * @param knowledge - What it knows.
   * @param source - The instance.
   */
  receive({ catalog, catalogAgeMs, registrations, listedAgeMs }: Knowledge, source: string): void {
    const now = this.#options.clock.now();
    if (catalog) this.#applyCatalog(catalog, source);
    this.#catalogAt = Math.max(this.#catalogAt, now - catalogAgeMs);
    this.#restUntil = Math.max(this.#restUntil, now - catalogAgeMs + listMs);
    const { revision, isWhole } = registrations;
    if (revision < 0 || revision < this.#log.revision) return;
    this.#log.merge(registrations);
    this.#options.target.applyRegistrations(this.#log.registrations);
    // A whole list does not tell what was removed, so it does not replace a reading of one's own.
    if (!isWhole || this.#lostSince !== undefined) {
      this.#listedAt = Math.max(this.#listedAt, now - listedAgeMs);
      this.#answeredAt = Math.max(this.#answeredAt, this.#listedAt);
    }
    this.#options.onNews();
  }

  async #runCatalog(): Promise<void> {
    const { store, schema, random, log, clock } = this.#options;
    const backoff = new Backoff(random, minRetryMs, maxRetryMs);
    let revision: number | undefined;
    while (!this.#stopped) {
      const restMs = this.#restUntil - clock.now();
      if (restMs > 0) {
        revision = undefined;
        await sleep(Math.ceil(restMs));
        continue;
      }
      if (revision === undefined) {
        const read = await store.read(schema.configKey);
        if (this.#record('configuration', read)) {
          if (read.value.item) this.#applyCatalog(read.value.item, 'store');
          this.#catalogAt = clock.now();
          revision = read.value.revision;
          backoff.reset();
        } else await this.#waitToRetry(backoff);
        continue;
      }
      this.#isWatching = true;
      const changes = await store.watch(schema.configKey, revision, watchMs);
      this.#isWatching = false;
      if (!this.#record('configuration', changes)) {
        // The connection may have missed a change, so the whole is read again.
        revision = undefined;
        continue;
      }
      if (changes.value.kind === 'forgotten') {
        log.warn('history-forgotten', { after: revision });
        revision = undefined;
        continue;
      }
      changes.value.items
        .filter(({ key }) => key === schema.configKey)
        .forEach((item) => this.#applyCatalog(item, 'store'));
      this.#catalogAt = clock.now();
      revision = Math.max(revision, changes.value.revision);
    }
  }

  async #runListing(): Promise<void> {
    const { store, schema, random, clock } = this.#options;
    const backoff = new Backoff(random, minRetryMs, maxRetryMs);
    while (!this.#stopped) {
      const waitMs = this.#findListWait();
      if (waitMs > 0) {
        await sleep(waitMs);
        continue;
      }
      const startedAt = clock.now();
      const listing = await store.list(schema.registrationPrefix);
      if (!this.#record('registrations', listing)) {
        await this.#waitToRetry(backoff);
        continue;
      }
      backoff.reset();
      this.#listedAt = Math.max(this.#listedAt, startedAt);
      // A store that answers this would have told the watch of a change.
      if (this.#isWatching) this.#catalogAt = startedAt;
      this.#log.replace(listing.value, clock.now() < this.#keepUntil);
      this.#options.target.applyRegistrations(this.#log.registrations);
      this.#options.onNews();
    }
  }

  async #waitToRetry(backoff: Backoff): Promise<void> {
    await backoff.sleep();
    const isReady = this.isListed && this.#options.target.version >= 0;
    if (isReady && this.#options.clock.now() < this.#followingUntil) await sleep(followerRetryMs);
  }

  /** The list is read at the moment from which missing registrations have gone, too. */
  #findListWait(): number {
    const now = this.#options.clock.now();
    const isReader = now < this.#sharedUntil && now >= this.#restUntil;
    const nextAt = this.#listedAt + (isReader ? sharedListMs : listMs);
    const isKeeping = this.#listedAt < this.#keepUntil && this.#keepUntil < nextAt;
    const waitMs = (isKeeping ? this.#keepUntil : nextAt) - now;
    // Timers drop fractions of a millisecond and would end a little too early.
    return waitMs > 0 ? Math.ceil(waitMs) + 1 : 0;
  }

  /** Notes whether the store answers, and tells when that changes. */
  #record<T>(
    what: string,
    result: Result<T, PlatformError>,
  ): result is Extract<Result<T, PlatformError>, { value: T }> {
    const { clock, log, metrics } = this.#options;
    const now = clock.now();
    if (result.isErr()) {
      // The stop of this instance ends the calls that wait.
      if (this.#stopped) return false;
      metrics.recordEvent('store-failed');
      const { kind, message } = result.error;
      log.info('store-failed', { what, kind, reason: message });
      if (this.#lostSince === undefined) {
        this.#lostSince = now;
        log.warn('store-lost', { what, kind, reason: message });
      }
      return false;
    }
    if (this.#lostSince !== undefined) {
      // The store may have been away since its last answer, before a call failed.
      const lostMs = now - Math.max(this.#answeredAt, this.#startedAt);
      this.#lostSince = undefined;
      if (lostMs > shortOutageMs) this.#keepUntil = now + lapseMs;
      log.info('store-regained', { what, lostMs: Math.round(lostMs) });
    }
    this.#answeredAt = now;
    return true;
  }

  #applyCatalog(item: StoreItem, source: string): void {
    const { schema, target, log, metrics } = this.#options;
    const catalog = schema.decodeConfig(item.value);
    if (catalog.isErr()) {
      metrics.recordEvent('configuration-unreadable');
      log.error('configuration-unreadable', { revision: item.revision, reason: catalog.error });
      return;
    }
    const known = this.#catalogItem?.revision ?? 0;
    if (item.revision >= known) this.#catalogItem = item;
    target.applyCatalog(catalog.value, source);
    if (item.revision > known) this.#options.onNews();
  }

  #readRegistration({ key, value, revision }: StoreItem): Registration | undefined {
    const read = this.#options.schema.decodeRegistration(key, value);
    if (read.isOk()) return read.value;
    if (this.#badKeys.has(key)) return undefined;
    if (this.#badKeys.size >= maxBadKeys) this.#badKeys.clear();
    this.#badKeys.add(key);
    this.#options.log.warn('registration-unreadable', { item: key, revision, reason: read.error });
    return undefined;
  }
}
