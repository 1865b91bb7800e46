import { setTimeout as sleep } from 'node:timers/promises';
import type { Result } from 'neverthrow';
import { Backoff } from '@dotterelpass/store';
import type { PlatformError, Store, StoreItem, StoreListing } from '@dotterelpass/store';
import type { Log, Metrics } from '@dotterelpass/telemetry';
import type { Clock, Random } from '@dotterelpass/values';
import type { Catalog, Registration } from './catalog.js';

/** Where knowledge lies in the store, and how it is decoded. */
export interface Schema {
  /** Key of the operators' configuration. */
  readonly catalogKey: string;
  /** Prefix of the endpoints' registrations. */
  readonly registrationPrefix: string;
  readCatalog(value: Buffer): Result<Catalog, string>;
  readRegistration(key: string, value: Buffer): Result<Registration, string>;
}

/** Takes what the feed has learned. */
export interface FeedTarget {
  readonly version: number;
  applyCatalog(catalog: Catalog, source: string): void;
  applyRegistrations(registrations: readonly Registration[], keepMissing: boolean): void;
}

export interface FeedOptions {
  readonly store: Store;
  readonly schema: Schema;
  readonly target: FeedTarget;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Time for which one watch waits, in milliseconds. A connection that has gone silent is noticed
 * when it ends, so it bounds how late a change of the configuration can be.
 */
const watchMs = 2500;

/** Time between readings of the registrations, in milliseconds. */
const listMs = 1500;

/** Bounds of the wait after a failed call, in milliseconds. */
const minRetryMs = 100;
const maxRetryMs = 400;

/**
 * Time after the store's return in which registrations that lapsed meanwhile may come back, in
 * milliseconds. One that is missing after that has gone.
 */
const lapseMs = 1800;

/** Outages shorter than this make no registration lapse, in milliseconds. */
const shortOutageMs = 1700;

/** What another instance may be told: items as the store gave them. */
export interface Knowledge {
  readonly catalog: StoreItem | undefined;
  readonly listing: StoreListing | undefined;
  /** Age of the listing, in milliseconds. */
  readonly listingAgeMs: number;
}

/** Keeps the configuration and the endpoints as the store has them. */
export class Feed {
  readonly #options: FeedOptions;

  #catalogItem: StoreItem | undefined;

  #listing: StoreListing | undefined;

  #listedAt = -Infinity;

  /** Since when calls to the store fail; undefined while they do not. */
  #lostSince: number | undefined;

  #answeredAt = -Infinity;

  readonly #startedAt: number;

  /** Until when missing registrations are kept. */
  #keepUntil = -Infinity;

  #badItems = new Map<string, number>();

  #stopped = false;

  constructor(options: FeedOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  /** Since when the store fails, in monotonic milliseconds; undefined while it answers. */
  get lostSince(): number | undefined {
    return this.#lostSince;
  }

  /** Whether the registrations have been read once. */
  get isListed(): boolean {
    return this.#listing !== undefined;
  }

  get knowledge(): Knowledge {
    return {
      catalog: this.#catalogItem,
      listing: this.#listing,
      listingAgeMs: this.#options.clock.now() - this.#listedAt,
    };
  }

  /** Starts to follow the store, until `stop`. */
  run(): void {
    void this.#runCatalog();
    void this.#runListing();
  }

  stop(): void {
    this.#stopped = true;
  }

  /**
   * Takes what another instance knows, while the store does not answer this one.
   *
   * @param knowledge - What it knows.
   * @param source - The instance.
   */
  receive({ catalog, listing, listingAgeMs }: Knowledge, source: string): void {
    if (catalog) this.#applyCatalog(catalog, source);
    const known = this.#listing?.revision ?? 0;
    if (!listing || listing.revision <= known) return;
    this.#applyListing(listing, true, this.#options.clock.now() - listingAgeMs);
  }

  async #runCatalog(): Promise<void> {
    const { store, schema, random, log } = this.#options;
    const backoff = new Backoff(random, minRetryMs, maxRetryMs);
    let revision: number | undefined;
    while (!this.#stopped) {
      if (revision === undefined) {
        const read = await store.read(schema.catalogKey);
        if (this.#record('configuration', read)) {
          if (read.value.item) this.#applyCatalog(read.value.item, 'store');
          revision = read.value.revision;
          backoff.reset();
        } else await backoff.sleep();
        continue;
      }
      const changes = await store.watch(schema.catalogKey, revision, watchMs);
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
        .filter(({ key }) => key === schema.catalogKey)
        .forEach((item) => this.#applyCatalog(item, 'store'));
      revision = Math.max(revision, changes.value.revision);
    }
  }

  async #runListing(): Promise<void> {
    const { store, schema, random, clock } = this.#options;
    const backoff = new Backoff(random, minRetryMs, maxRetryMs);
    while (!this.#stopped) {
      const startedAt = clock.now();
      const listing = await store.list(schema.registrationPrefix);
      if (!this.#record('registrations', listing)) {
        await backoff.sleep();
        continue;
      }
      backoff.reset();
      this.#applyListing(listing.value, clock.now() < this.#keepUntil, clock.now());
      await sleep(this.#findListWait(startedAt));
    }
  }

  /** The list is read at the moment from which missing registrations have gone, too. */
  #findListWait(startedAt: number): number {
    const now = this.#options.clock.now();
    const nextAt = startedAt + listMs;
    const isKeeping = this.#keepUntil > now && this.#keepUntil < nextAt;
    // Timers drop fractions of a millisecond and would end a little too early.
    return Math.max(0, Math.ceil((isKeeping ? this.#keepUntil : nextAt) - now) + 1);
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
    const catalog = schema.readCatalog(item.value);
    if (catalog.isErr()) {
      metrics.recordEvent('configuration-unreadable');
      log.error('configuration-unreadable', { revision: item.revision, reason: catalog.error });
      return;
    }
    if (item.revision >= (this.#catalogItem?.revision ?? 0)) this.#catalogItem = item;
    target.applyCatalog(catalog.value, source);
  }

  /** @param listedAt - When an instance read the list from the store, monotonic milliseconds. */
  #applyListing(listing: StoreListing, keepMissing: boolean, listedAt: number): void {
    const { schema, target, log } = this.#options;
    this.#listing = listing;
    this.#listedAt = listedAt;
    const bad = new Map<string, number>();
    const registrations = listing.items.flatMap(({ key, value, revision }) => {
      const read = schema.readRegistration(key, value);
      if (read.isOk()) return [read.value];
      bad.set(key, revision);
      if (this.#badItems.get(key) !== revision) {
        log.warn('registration-unreadable', { item: key, revision, reason: read.error });
      }
      return [];
    });
    this.#badItems = bad;
    target.applyRegistrations(registrations, keepMissing);
  }
}
