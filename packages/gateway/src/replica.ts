import { setTimeout as sleep } from 'node:timers/promises';
import type { Result } from 'neverthrow';
import { Backoff } from '@dotterelpass/store';
import type { PlatformError, KeyValueStore, StoreItem } from '@dotterelpass/store';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import type { Clock, Random } from '@dotterelpass/values';
import type { GatewayConfig, Registration } from './catalog.js';
import { ChangeLog } from './changes.js';
import type { RegistrationChanges } from './changes.js';

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
export interface ReplicaTarget {
  readonly version: number;
  setConfig(config: GatewayConfig, source: string): void;
  setRegistrations(registrations: readonly Registration[]): void;
}

export interface ReplicaOptions {
  readonly store: KeyValueStore;
  readonly schema: StoreSchema;
  readonly target: ReplicaTarget;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Called when there is something newer for other instances. */
  onChange(): void;
}

/**
 * Time for which one watch waits, in milliseconds. A connection that has gone silent is noticed
 * when it ends, so it bounds how late a change of the configuration can be.
 */
const watchTimeoutMs = 2500;

/** Age at which the registrations are read from the store, in milliseconds. */
const pollIntervalMs = 1500;

/** The same while this instance reads for others, which get them a little later. */
const sharedPollIntervalMs = 1200;

/** Time for which an instance counts as one that reads for others, in milliseconds. */
const readerRoleMs = 3000;

/** Bounds of the wait after a failed call, in milliseconds. */
const minBackoffMs = 100;
const maxBackoffMs = 400;

/**
 * Further wait after a failed call of an instance for which another one reads, in milliseconds:
 * it hears from that one as soon as the store is back.
 */
const followerRetryDelayMs = 1500;

/**
 * Time after the store's return in which registrations that lapsed meanwhile may come back, in
 * milliseconds. One that is missing after that has gone.
 */
const reregisterGraceMs = 1800;

/** Outages shorter than this make no registration lapse, in milliseconds. */
const minLapseOutageMs = 1700;

/** Unreadable registrations that are remembered, so that each is logged once. */
const maxUnreadableKeys = 1000;

/** What an instance tells another one. */
export interface ReplicaUpdate {
  /** The configuration, when the other one has an older one. */
  readonly catalog: StoreItem | undefined;
  /** Time since the configuration was known to be the newest, in milliseconds. */
  readonly catalogAgeMs: number;
  readonly registrations: RegistrationChanges;
  /** Age of the registrations, in milliseconds. */
  readonly listedAgeMs: number;
}

/**
 * Keeps the configuration and the endpoints as the store has them. What another instance has read
 * a moment ago is not read again.
 */
export class StoreReplica {
  readonly #options: ReplicaOptions;

  readonly #changeLog: ChangeLog;

  #configItem: StoreItem | undefined;

  /** When the configuration was last known to be the newest. */
  #configCheckedAt = -Infinity;

  /** Whether a watch of the configuration waits. */
  #isWatchPending = false;

  /** Until when another instance watches the configuration for this one. */
  #configFreshUntil = -Infinity;

  #registrationsReadAt = -Infinity;

  #sharedReaderUntil = -Infinity;

  /** Until when an instance that answers is taken to read for this one. */
  #followingUntil = -Infinity;

  /** Since when calls to the store fail; undefined while they do not. */
  #failingSince: number | undefined;

  #lastSuccessAt = -Infinity;

  readonly #startedAt: number;

  /** Until when missing registrations are kept. */
  #keepMissingUntil = -Infinity;

  /** Keys of registrations of which it has been told that they cannot be read. */
  readonly #unreadableKeys = new Set<string>();

  #stopped = false;

  constructor(options: ReplicaOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#changeLog = new ChangeLog((item) => this.#decodeRegistration(item));
  }

  /** Since when the store fails, in monotonic milliseconds; undefined while it answers. */
  get failingSince(): number | undefined {
    return this.#failingSince;
  }

  /** Whether the registrations have been read once. */
  get hasRegistrations(): boolean {
    return this.#changeLog.revision >= 0;
  }

  /** Age of the registrations, in milliseconds. */
  get listedAgeMs(): number {
    return this.#options.clock.now() - this.#registrationsReadAt;
  }

  /** Whether both are so new that there is no need to read them. */
  get isFresh(): boolean {
    return this.listedAgeMs < pollIntervalMs && this.#options.clock.now() < this.#configFreshUntil;
  }

  /** Revisions of what is known, for another instance to tell what is newer. */
  get revisions(): { readonly registrations: number; readonly catalog: number } {
    return { registrations: this.#changeLog.revision, catalog: this.#configItem?.revision ?? 0 };
  }

  /** Starts to follow the store, until `stop`. */
  start(): void {
    void this.#watchConfig();
    void this.#pollRegistrations();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** An instance that reads for this one has answered, whether or not it had something new. */
  markFollowing(): void {
    this.#followingUntil = this.#options.clock.now() + readerRoleMs;
  }

  /** Another instance depends on what this one reads: it reads more often for some time. */
  markSharing(): void {
    this.#sharedReaderUntil = this.#options.clock.now() + readerRoleMs;
  }

  /**
   * Tells another instance what it does not know.
   *
   * @param registrations - Revision of its registrations.
   * @param catalog - Revision of its configuration.
   */
  buildUpdate(registrations: number, catalog: number): ReplicaUpdate {
    const now = this.#options.clock.now();
    const item = this.#configItem;
    return {
      catalog: item && item.revision > catalog ? item : undefined,
      catalogAgeMs: now - this.#configCheckedAt,
      registrations: this.#changeLog.getChangesSince(registrations),
      listedAgeMs: this.listedAgeMs,
    };
  }

  /**
   * Takes what another instance knows.
   *
   * @param knowledge - What it knows.
   * @param source - The instance.
   */
  mergeUpdate(
    { catalog, catalogAgeMs, registrations, listedAgeMs }: ReplicaUpdate,
    source: string,
  ): void {
    const now = this.#options.clock.now();
    if (catalog) this.#applyConfig(catalog, source);
    this.#configCheckedAt = Math.max(this.#configCheckedAt, now - catalogAgeMs);
    this.#configFreshUntil = Math.max(this.#configFreshUntil, now - catalogAgeMs + pollIntervalMs);
    const { revision, isWhole } = registrations;
    if (revision < 0 || revision < this.#changeLog.revision) return;
    this.#changeLog.applyChanges(registrations);
    this.#options.target.setRegistrations(this.#changeLog.registrations);
    // A whole list does not tell what was removed, so it does not replace a reading of one's own.
    if (!isWhole || this.#failingSince !== undefined) {
      this.#registrationsReadAt = Math.max(this.#registrationsReadAt, now - listedAgeMs);
      this.#lastSuccessAt = Math.max(this.#lastSuccessAt, this.#registrationsReadAt);
    }
    this.#options.onChange();
  }

  async #watchConfig(): Promise<void> {
    const { store, schema, random, log, clock } = this.#options;
    const backoff = new Backoff(random, minBackoffMs, maxBackoffMs);
    let revision: number | undefined;
    while (!this.#stopped) {
      const restMs = this.#configFreshUntil - clock.now();
      if (restMs > 0) {
        revision = undefined;
        await sleep(Math.ceil(restMs));
        continue;
      }
      if (revision === undefined) {
        const read = await store.read(schema.configKey);
        if (this.#recordResult('configuration', read)) {
          if (read.value.item) this.#applyConfig(read.value.item, 'store');
          this.#configCheckedAt = clock.now();
          revision = read.value.revision;
          backoff.reset();
        } else await this.#waitToRetry(backoff);
        continue;
      }
      this.#isWatchPending = true;
      const changes = await store.watch(schema.configKey, revision, watchTimeoutMs);
      this.#isWatchPending = false;
      if (!this.#recordResult('configuration', changes)) {
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
        .forEach((item) => this.#applyConfig(item, 'store'));
      this.#configCheckedAt = clock.now();
      revision = Math.max(revision, changes.value.revision);
    }
  }

  async #pollRegistrations(): Promise<void> {
    const { store, schema, random, clock } = this.#options;
    const backoff = new Backoff(random, minBackoffMs, maxBackoffMs);
    while (!this.#stopped) {
      const waitMs = this.#calculatePollDelayMs();
      if (waitMs > 0) {
        await sleep(waitMs);
        continue;
      }
      const startedAt = clock.now();
      const listing = await store.list(schema.registrationPrefix);
      if (!this.#recordResult('registrations', listing)) {
        await this.#waitToRetry(backoff);
        continue;
      }
      backoff.reset();
      this.#registrationsReadAt = Math.max(this.#registrationsReadAt, startedAt);
      // A store that answers this would have told the watch of a change.
      if (this.#isWatchPending) this.#configCheckedAt = startedAt;
      this.#changeLog.applyListing(listing.value, clock.now() < this.#keepMissingUntil);
      this.#options.target.setRegistrations(this.#changeLog.registrations);
      this.#options.onChange();
    }
  }

  async #waitToRetry(backoff: Backoff): Promise<void> {
    await backoff.sleep();
    const isReady = this.hasRegistrations && this.#options.target.version >= 0;
    if (isReady && this.#options.clock.now() < this.#followingUntil)
      await sleep(followerRetryDelayMs);
  }

  /** The list is read at the moment from which missing registrations have gone, too. */
  #calculatePollDelayMs(): number {
    const now = this.#options.clock.now();
    const isReader = now < this.#sharedReaderUntil && now >= this.#configFreshUntil;
    const nextAt = this.#registrationsReadAt + (isReader ? sharedPollIntervalMs : pollIntervalMs);
    const isKeeping =
      this.#registrationsReadAt < this.#keepMissingUntil && this.#keepMissingUntil < nextAt;
    const waitMs = (isKeeping ? this.#keepMissingUntil : nextAt) - now;
    // Timers drop fractions of a millisecond and would end a little too early.
    return waitMs > 0 ? Math.ceil(waitMs) + 1 : 0;
  }

  /** Notes whether the store answers, and tells when that changes. */
  #recordResult<T>(
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
      if (this.#failingSince === undefined) {
        this.#failingSince = now;
        log.warn('store-lost', { what, kind, reason: message });
      }
      return false;
    }
    if (this.#failingSince !== undefined) {
      // The store may have been away since its last answer, before a call failed.
      const lostMs = now - Math.max(this.#lastSuccessAt, this.#startedAt);
      this.#failingSince = undefined;
      if (lostMs > minLapseOutageMs) this.#keepMissingUntil = now + reregisterGraceMs;
      log.info('store-regained', { what, lostMs: Math.round(lostMs) });
    }
    this.#lastSuccessAt = now;
    return true;
  }

  #applyConfig(item: StoreItem, source: string): void {
    const { schema, target, log, metrics } = this.#options;
    const catalog = schema.decodeConfig(item.value);
    if (catalog.isErr()) {
      metrics.recordEvent('configuration-unreadable');
      log.error('configuration-unreadable', { revision: item.revision, reason: catalog.error });
      return;
    }
    const known = this.#configItem?.revision ?? 0;
    if (item.revision >= known) this.#configItem = item;
    target.setConfig(catalog.value, source);
    if (item.revision > known) this.#options.onChange();
  }

  #decodeRegistration({ key, value, revision }: StoreItem): Registration | undefined {
    const read = this.#options.schema.decodeRegistration(key, value);
    if (read.isOk()) return read.value;
    if (this.#unreadableKeys.has(key)) return undefined;
    if (this.#unreadableKeys.size >= maxUnreadableKeys) this.#unreadableKeys.clear();
    this.#unreadableKeys.add(key);
    this.#options.log.warn('registration-unreadable', { item: key, revision, reason: read.error });
    return undefined;
  }
}
