import { setTimeout as sleep } from 'node:timers/promises';
import type { Result } from 'neverthrow';
import { Backoff } from '@dotterelpass/store';
import type { KeyValueStore, PlatformError, StoreItem } from '@dotterelpass/store';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { comparePositions } from '@dotterelpass/values';
import type { Clock, Random, StorePosition } from '@dotterelpass/values';
import type { Registration } from './catalog.js';
import { ChangeLog } from './changes.js';
import type { RegistrationChanges } from './changes.js';
import { OperatorKeys } from './operator-keys.js';
import type { EvacuationStatus, OperatorUpdate } from './operator-keys.js';
import type { ReplicaTarget, StoreSchema } from './schema.js';

export type { EvacuationKeys, ReplicaTarget, StoreSchema } from './schema.js';

export interface ReplicaOptions {
  readonly store: KeyValueStore;
  readonly schema: StoreSchema;
  readonly target: ReplicaTarget;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Called after each change or new reading that other instances should get. */
  onChange(): void;
}

/** Age at which the registrations are read from the store again. */
const pollIntervalMs = 1500;

/** Poll interval while this instance reads for others, which get its registrations later. */
const sharedPollIntervalMs = 1200;

/** Maximum time between two calculations of the poll delay. */
const pollCheckMs = 400;

/** Time after a request between two instances for which one is assumed to read for the other. */
const readerRoleMs = 3000;

/** Bounds of the back-off after a failed store call. */
const minBackoffMs = 100;
const maxBackoffMs = 400;

/**
 * Additional delay after a failed store call while another instance reads for this one. That
 * instance sends an update as soon as the store is back.
 */
const followerRetryDelayMs = 1500;

/**
 * Grace period after an outage of the store in which endpoints may renew registrations that expired
 * during the outage. A registration that is still missing afterwards is removed.
 */
const reregisterGraceMs = 1800;

/** Minimum duration of an outage that lets registrations expire. */
const minExpiryOutageMs = 1700;

/** Maximum number of undecodable registrations that are remembered to log each only once. */
const maxUnreadableKeys = 1000;

/** How far a replica has come; another instance sends it what is newer. */
export interface ReplicaProgress {
  /** Store position of the registrations. */
  readonly registrations: StorePosition;
  /** Version of the configuration; -1 before the first. */
  readonly configVersion: number;
  /** Whether a configuration may be sent compressed; older instances do not accept it. */
  readonly acceptsDeflated?: boolean;
}

/** State that one instance sends to another. */
export interface ReplicaUpdate extends OperatorUpdate {
  readonly registrations: RegistrationChanges;
  /**
   * Time since the registrations were read from the store, in milliseconds. A listing without those
   * that are kept does not count: their removal would be late on every instance that gets them.
   */
  readonly listedAgeMs: number;
}

/**
 * Local replica of the configuration and the registrations in the store. State that another
 * instance has read shortly before is not read from the store again.
 */
export class StoreReplica {
  readonly #options: ReplicaOptions;

  readonly #changeLog: ChangeLog;

  readonly #operatorKeys: OperatorKeys;

  /** Epoch of the store in the last listing or update; -1 before the first. */
  #epoch = -1;

  #registrationsReadAt = -Infinity;

  /** When the registrations were last known to be complete; earlier while missing ones are kept. */
  #completeAt = -Infinity;

  /**
   * Whether a full snapshot of another instance may have left out removals. Until the registrations
   * are listed from the store, updates of other instances do not replace a listing.
   */
  #mayMissRemovals = false;

  /** Until when other instances are assumed to depend on the readings of this one. */
  #sharedReaderUntil = -Infinity;

  /** Until when another instance is assumed to read for this one. */
  #followingUntil = -Infinity;

  /** Start of the present store outage; undefined without one. */
  #failingSince: number | undefined;

  /** Whether the last reading of the registrations failed. */
  #isListingFailing = false;

  #lastSuccessAt = -Infinity;

  readonly #startedAt: number;

  /** Until when missing registrations are kept. */
  #keepMissingUntil = -Infinity;

  /** Keys of undecodable registrations that have been logged. */
  readonly #unreadableKeys = new Set<string>();

  #stopped = false;

  constructor(options: ReplicaOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#changeLog = new ChangeLog((item) => this.#decodeRegistration(item));
    this.#operatorKeys = new OperatorKeys({
      ...options,
      isStopped: () => this.#stopped,
      isListingFailing: () => this.#isListingFailing,
      recordResult: <T>(
        result: Result<T, PlatformError>,
      ): result is Extract<Result<T, PlatformError>, { value: T }> =>
        this.#recordResult('configuration', result),
      waitToRetry: (backoff) => this.#waitToRetry(backoff),
    });
  }

  /** Start of the present store outage, in monotonic milliseconds; undefined without one. */
  get failingSince(): number | undefined {
    return this.#failingSince;
  }

  /** Whether the registrations have been read at least once. */
  get hasRegistrations(): boolean {
    return this.#changeLog.isLoaded;
  }

  /** Whether the evacuations have been read at least once, or are disabled. */
  get hasEvacuations(): boolean {
    return this.#operatorKeys.hasEvacuations;
  }

  /** The evacuations in force; undefined when they are disabled. */
  get evacuations(): readonly EvacuationStatus[] | undefined {
    return this.#operatorKeys.evacuations;
  }

  /** Time since the registrations were read from the store, in milliseconds. */
  get registrationsAgeMs(): number {
    return this.#options.clock.now() - this.#registrationsReadAt;
  }

  /** Whether both configuration and registrations are too recent to read them from the store. */
  get isFresh(): boolean {
    return this.registrationsAgeMs < pollIntervalMs && this.#operatorKeys.isFresh;
  }

  /** Progress of this replica, from which another instance finds what is newer. */
  get progress(): ReplicaProgress {
    return {
      registrations: this.#changeLog.position,
      configVersion: this.#operatorKeys.configVersion,
      acceptsDeflated: true,
    };
  }

  /** Starts to watch the configuration and to poll the registrations, until `stop`. */
  start(): void {
    void this.#operatorKeys.start();
    void this.#pollRegistrations();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Records a response, with or without changes, from an instance that reads for this one. */
  markFollowing(): void {
    this.#followingUntil = this.#options.clock.now() + readerRoleMs;
  }

  /** Records a request of an instance that depends on this one, and polls faster for a while. */
  markSharing(): void {
    this.#sharedReaderUntil = this.#options.clock.now() + readerRoleMs;
  }

  /**
   * Builds an update for another instance.
   *
   * @param progress - Progress of that instance.
   */
  buildUpdate({
    registrations,
    configVersion,
    acceptsDeflated = false,
  }: ReplicaProgress): ReplicaUpdate {
    const now = this.#options.clock.now();
    return {
      ...this.#operatorKeys.buildUpdate(configVersion, acceptsDeflated),
      registrations: this.#changeLog.getChangesSince(registrations),
      listedAgeMs: now - this.#completeAt,
    };
  }

  /**
   * Merges an update from another instance.
   *
   * @param update - The update, with its ages adjusted for the transfer time.
   * @param source - Id of the instance, for the log.
   */
  mergeUpdate(update: ReplicaUpdate, source: string): void {
    const { registrations, listedAgeMs } = update;
    const now = this.#options.clock.now();
    this.#operatorKeys.mergeUpdate(update, source);
    const { position, isWhole } = registrations;
    if (position.epoch < 0 || comparePositions(position, this.#changeLog.position) < 0) return;
    const isFirst = !this.hasRegistrations;
    this.#recordEpoch(position);
    const hasNews = this.#changeLog.applyChanges(registrations);
    const earlierReadAt = this.#registrationsReadAt;
    this.#options.target.setRegistrations(this.#changeLog.registrations);
    // A full snapshot contains no removals, and the later updates contain only what changed since.
    if (isWhole && !isFirst) this.#mayMissRemovals = true;
    if (!this.#mayMissRemovals || this.#failingSince !== undefined) {
      this.#registrationsReadAt = Math.max(this.#registrationsReadAt, now - listedAgeMs);
      this.#lastSuccessAt = Math.max(this.#lastSuccessAt, this.#registrationsReadAt);
      this.#completeAt = Math.max(this.#completeAt, now - listedAgeMs);
    }
    // Instances that ask each other in an outage would pass on the same state without a pause.
    if (hasNews || this.#registrationsReadAt > earlierReadAt) this.#options.onChange();
  }

  async #pollRegistrations(): Promise<void> {
    const { store, schema, random, clock } = this.#options;
    const backoff = new Backoff(random, minBackoffMs, maxBackoffMs);
    while (!this.#stopped) {
      const waitMs = this.#calculatePollDelayMs();
      if (waitMs > 0) {
        // The delay is shorter as soon as another instance depends on this one.
        await sleep(Math.min(waitMs, pollCheckMs));
        continue;
      }
      const startedAt = clock.now();
      const listing = await store.list(schema.registrationPrefix);
      this.#isListingFailing = listing.isErr();
      if (!this.#recordResult('registrations', listing)) {
        await this.#waitToRetry(backoff);
        continue;
      }
      backoff.reset();
      this.#registrationsReadAt = Math.max(this.#registrationsReadAt, startedAt);
      this.#recordEpoch(listing.value.position);
      // The store responds, so a pending watch would have reported a change of the configuration.
      this.#operatorKeys.confirmWatch(listing.value.position, startedAt);
      const keepMissing = clock.now() < this.#keepMissingUntil;
      const isComplete = this.#changeLog.applyListing(listing.value, keepMissing);
      if (isComplete) {
        this.#mayMissRemovals = false;
        this.#completeAt = startedAt;
      }
      this.#options.target.setRegistrations(this.#changeLog.registrations);
      this.#options.onChange();
    }
  }

  async #waitToRetry(backoff: Backoff): Promise<void> {
    await backoff.sleep();
    const isReady =
      this.hasRegistrations && this.hasEvacuations && this.#options.target.version >= 0;
    if (isReady && this.#options.clock.now() < this.#followingUntil)
      await sleep(followerRetryDelayMs);
  }

  /**
   * Calculates the delay until the next poll. A poll is also due at the end of the grace period, to
   * remove the registrations that are still missing. In an outage only a poll shows removals that a
   * full snapshot has left out, however fresh the updates of other instances are.
   */
  #calculatePollDelayMs(): number {
    if (this.#mayMissRemovals && this.#failingSince !== undefined) return 0;
    const now = this.#options.clock.now();
    const isSharedReader = now < this.#sharedReaderUntil && now >= this.#followingUntil;
    const nextAt =
      this.#registrationsReadAt + (isSharedReader ? sharedPollIntervalMs : pollIntervalMs);
    const endsGracePeriod =
      this.#registrationsReadAt < this.#keepMissingUntil && this.#keepMissingUntil < nextAt;
    const waitMs = (endsGracePeriod ? this.#keepMissingUntil : nextAt) - now;
    // Timers truncate to whole milliseconds and would fire too early.
    return waitMs > 0 ? Math.ceil(waitMs) + 1 : 0;
  }

  /** Records whether a store call succeeded, and logs the start and the end of outages. */
  #recordResult<T>(
    what: string,
    result: Result<T, PlatformError>,
  ): result is Extract<Result<T, PlatformError>, { value: T }> {
    const { clock, log, metrics } = this.#options;
    const now = clock.now();
    if (result.isErr()) {
      // Pending calls fail when this instance stops.
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
      // The outage may have begun at any time after the last successful call.
      const lostMs = now - Math.max(this.#lastSuccessAt, this.#startedAt);
      this.#failingSince = undefined;
      if (lostMs > minExpiryOutageMs) this.#keepMissingUntil = now + reregisterGraceMs;
      log.info('store-regained', { what, lostMs: Math.round(lostMs) });
    }
    this.#lastSuccessAt = now;
    return true;
  }

  /**
   * Notices that the store was restored. Endpoints renew registrations that were lost with it, so
   * missing ones are kept for the grace period, as after an outage.
   */
  #recordEpoch({ epoch }: StorePosition): void {
    const { clock, log, metrics } = this.#options;
    const before = this.#epoch;
    this.#epoch = Math.max(before, epoch);
    if (before < 0 || epoch <= before) return;
    this.#keepMissingUntil = clock.now() + reregisterGraceMs;
    metrics.recordEvent('store-restored');
    log.warn('store-restored', { before, now: epoch });
  }

  #decodeRegistration({ key, value, revision }: StoreItem): Registration | undefined {
    const decoded = this.#options.schema.decodeRegistration(key, value);
    if (decoded.isOk()) return decoded.value;
    if (this.#unreadableKeys.has(key)) return undefined;
    if (this.#unreadableKeys.size >= maxUnreadableKeys) this.#unreadableKeys.clear();
    this.#unreadableKeys.add(key);
    this.#options.log.warn('registration-unreadable', {
      item: key,
      revision,
      reason: decoded.error,
    });
    return undefined;
  }
}
