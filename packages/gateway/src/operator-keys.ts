import { setTimeout as sleep } from 'node:timers/promises';
import {
  applyChanges,
  buildState,
  compareStates,
  isKnown,
  mergeStates,
  parseEvacuatedDomain,
  unknownState,
} from '@dotterelpass/evacuation';
import type { EvacuatedDomain, EvacuationEvent, EvacuationState } from '@dotterelpass/evacuation';
import { Backoff } from '@dotterelpass/store';
import type { KeyValueStore, PlatformError, StoreItem, WatchResult } from '@dotterelpass/store';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import type { Clock, FailureDomain, Random, StorePosition } from '@dotterelpass/values';
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { GatewayConfig } from './catalog.js';
import { deflateItem, inflateItem } from './handout.js';
import type { SharedConfigItem } from './handout.js';
import type { EvacuationKeys, ReplicaTarget, StoreSchema } from './schema.js';

/**
 * Timeout of one watch request. A connection that silently stopped working is only noticed when the
 * request ends, so the timeout bounds the delay of a configuration change.
 */
const watchTimeoutMs = 2500;

/** Age up to which the state of another instance replaces a watch. */
const freshMs = 1500;

/**
 * Time between the first reading of the configuration and the first watch. Most instances find
 * another one meanwhile that watches for them.
 */
const firstWatchDelayMs = 1000;

/** Time between two checks whether the store has answered again. */
const recoveryCheckMs = 100;

/** Bounds of the back-off after a failed store call. */
const minBackoffMs = 100;
const maxBackoffMs = 400;

/** Maximum number of malformed keys that are remembered to log each only once. */
const maxMalformedKeys = 1000;

/** What operators have written, as one instance sends it to another. */
export interface OperatorUpdate {
  /** The configuration; undefined when the receiver already has this version. */
  readonly catalog: SharedConfigItem | undefined;
  /** Time since all of this was last confirmed to be current, in milliseconds. */
  readonly catalogAgeMs: number;
  /** Undefined when they are disabled or not known yet. */
  readonly evacuations?: EvacuationState | undefined;
}

/** An evacuation in force on an instance, as shown to operators. */
export interface EvacuationStatus extends EvacuatedDomain {
  /** Wall-clock time since which it is in force here, in ISO 8601 format. */
  readonly since: string;
}

type StoreResult<T> = Result<T, PlatformError>;

export interface OperatorKeysOptions {
  readonly store: KeyValueStore;
  readonly schema: StoreSchema;
  readonly target: ReplicaTarget;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Called after each change that other instances should get. */
  onChange(): void;
  isStopped(): boolean;
  /** Returns whether the last listing of the registrations failed. */
  isListingFailing(): boolean;
  /** Records whether a store call succeeded. */
  recordResult<T>(result: StoreResult<T>): result is Extract<StoreResult<T>, { value: T }>;
  /** Waits after a failed store call. */
  waitToRetry(backoff: Backoff): Promise<void>;
}

/** One reading of the keys. */
interface Reading {
  readonly configItem: StoreItem | undefined;
  /** All items that were read. */
  readonly items: readonly StoreItem[];
  readonly position: StorePosition;
}

/**
 * Local copy of what operators write to the store: the configuration and, where they are enabled, the
 * evacuations of failure domains.
 */
export class OperatorKeys {
  readonly #options: OperatorKeysOptions;

  /** The newest configuration in the store or from another instance. */
  #configItem: StoreItem | undefined;

  /** The same as other instances get it; undefined until one needs it. */
  #sharedConfigItem: StoreItem | undefined;

  /** The same, compressed if it is large; undefined until an instance needs it. */
  #deflatedConfigItem: SharedConfigItem | undefined;

  #configVersion = -1;

  #evacuations = unknownState;

  /** Wall-clock times since which the evacuations are in force, in milliseconds. */
  readonly #evacuatedSince = new Map<FailureDomain, number>();

  readonly #malformedKeys = new Set<string>();

  /** When the keys were last confirmed to be current. */
  #checkedAt = -Infinity;

  /** Epoch of the pending watch request; undefined without one. */
  #watchedEpoch: number | undefined;

  /** Until when the state of another instance is fresh, so that no watch is needed. */
  #freshUntil = -Infinity;

  constructor(options: OperatorKeysOptions) {
    this.#options = options;
  }

  /** Version of the configuration; -1 before the first. */
  get configVersion(): number {
    return this.#configVersion;
  }

  /** Whether the state of another instance is too recent to watch the keys. */
  get isFresh(): boolean {
    return this.#options.clock.now() < this.#freshUntil;
  }

  /** Whether the evacuations have been read at least once, or are disabled. */
  get hasEvacuations(): boolean {
    return !this.#options.schema.evacuations || isKnown(this.#evacuations);
  }

  /** The evacuations in force; undefined when they are disabled. */
  get evacuations(): readonly EvacuationStatus[] | undefined {
    if (!this.#options.schema.evacuations) return undefined;
    return this.#evacuations.domains.map((evacuated) => ({
      ...evacuated,
      since: new Date(this.#evacuatedSince.get(evacuated.domain) ?? 0).toISOString(),
    }));
  }

  /** Reads and watches the keys until the instance stops. */
  async start(): Promise<void> {
    const { random, log, clock, isStopped, isListingFailing, recordResult } = this.#options;
    const backoff = new Backoff(random, minBackoffMs, maxBackoffMs);
    /** Where the next watch continues; undefined when the keys must be read first. */
    let position: StorePosition | undefined;
    while (!isStopped()) {
      const remainingMs = this.#freshUntil - clock.now();
      if (remainingMs > 0) {
        position = undefined;
        await sleep(Math.ceil(remainingMs));
        continue;
      }
      if (isListingFailing()) {
        // In an outage, one task finds out when the store is back: refused calls cost as well.
        position = undefined;
        await sleep(recoveryCheckMs);
        continue;
      }
      if (position === undefined) {
        const reading = await this.#read();
        if (recordResult(reading)) {
          const isFirst = this.#checkedAt === -Infinity;
          this.#applyReading(reading.value);
          this.#checkedAt = clock.now();
          if (isFirst) this.#freshUntil = clock.now() + firstWatchDelayMs;
          ({ position } = reading.value);
          backoff.reset();
        } else await this.#options.waitToRetry(backoff);
        continue;
      }
      const changes = await this.#watch(position);
      if (!recordResult(changes)) {
        // The connection may have missed a change, so the keys are read again.
        position = undefined;
        continue;
      }
      if (changes.value.kind === 'forgotten') {
        log.warn('history-forgotten', { after: position });
        position = undefined;
        await backoff.sleep();
        continue;
      }
      this.#applyChanges(position, changes.value);
      this.#checkedAt = clock.now();
      ({ position } = changes.value);
    }
  }

  /**
   * Confirms the keys because the store has responded: a pending watch would have reported a change.
   *
   * @param position - Position of the store in its response.
   * @param requestedAt - Monotonic time of the request, in milliseconds.
   */
  confirmWatch({ epoch }: StorePosition, requestedAt: number): void {
    if (this.#watchedEpoch === epoch) this.#checkedAt = requestedAt;
  }

  /**
   * Builds an update for another instance.
   *
   * @param configVersion - Version of the configuration of that instance.
   * @param acceptsDeflated - Whether that instance accepts a compressed configuration.
   */
  buildUpdate(configVersion: number, acceptsDeflated: boolean): OperatorUpdate {
    const { clock, schema } = this.#options;
    const hasState = schema.evacuations !== undefined && isKnown(this.#evacuations);
    return {
      // Only the version tells which configuration is newer: a store that is restored from a copy
      // assigns its revisions again.
      catalog:
        this.#configVersion > configVersion
          ? this.#getSharedConfigItem(acceptsDeflated)
          : undefined,
      catalogAgeMs: clock.now() - this.#checkedAt,
      ...(hasState ? { evacuations: this.#evacuations } : {}),
    };
  }

  /**
   * Merges an update from another instance. One without evacuations replaces no reading of the store
   * where these are enabled.
   *
   * @param update - The update, with its age adjusted for the transfer time.
   * @param source - Id of the instance, for the log.
   */
  mergeUpdate({ catalog, catalogAgeMs, evacuations }: OperatorUpdate, source: string): void {
    const { clock, schema } = this.#options;
    if (schema.evacuations && evacuations) {
      this.#setEvacuations(mergeStates(this.#evacuations, evacuations), source, catalogAgeMs);
    }
    if (catalog && !this.#applySharedConfig(catalog, source)) return;
    if (schema.evacuations && !evacuations) return;
    const checkedAt = clock.now() - catalogAgeMs;
    this.#checkedAt = Math.max(this.#checkedAt, checkedAt);
    this.#freshUntil = Math.max(this.#freshUntil, checkedAt + freshMs);
  }

  /** Reads the configuration, or all keys of operators where evacuations are enabled. */
  async #read(): Promise<StoreResult<Reading>> {
    const { store, schema } = this.#options;
    const { configKey, evacuations } = schema;
    if (!evacuations) {
      const reading = await store.read(configKey);
      return reading.map(({ item, position }) => ({
        configItem: item,
        items: item ? [item] : [],
        position,
      }));
    }
    const listing = await store.list(evacuations.operatorPrefix);
    return listing.andThen(({ items, position }) =>
      ok({ configItem: items.find(({ key }) => key === configKey), items, position }),
    );
  }

  async #watch(position: StorePosition): Promise<StoreResult<WatchResult>> {
    const { store, schema } = this.#options;
    const prefix = schema.evacuations?.operatorPrefix ?? schema.configKey;
    this.#watchedEpoch = position.epoch;
    const changes = await store.watch(prefix, position, watchTimeoutMs);
    this.#watchedEpoch = undefined;
    return changes;
  }

  #applyReading({ configItem, items, position }: Reading): void {
    const { evacuations: keys } = this.#options.schema;
    if (keys) {
      const domains = this.#selectEvacuations(items, keys);
      const listed = buildState(position, domains);
      this.#setEvacuations(mergeStates(this.#evacuations, listed), 'store', 0);
    }
    if (configItem) this.#applyConfig(configItem, 'store');
  }

  #applyChanges(
    after: StorePosition,
    { items, removed, position }: Extract<WatchResult, { kind: 'changes' }>,
  ): void {
    const { configKey, evacuations: keys } = this.#options.schema;
    if (keys) {
      const set = this.#selectEvacuations(items, keys);
      const lifted = this.#selectEvacuations(removed, keys);
      const events: EvacuationEvent[] = [
        ...set.map((evacuated) => ({ ...evacuated, kind: 'set' as const })),
        ...lifted.map((evacuated) => ({ ...evacuated, kind: 'lifted' as const })),
      ];
      const next = applyChanges(this.#evacuations, { after, position, events });
      this.#setEvacuations(next, 'store', 0);
    }
    this.#applyNewestConfig(items.filter(({ key }) => key === configKey));
  }

  /** Selects the keys of evacuations, and logs those that name no failure domain. */
  #selectEvacuations(
    items: readonly (StorePosition & { readonly key: string })[],
    { evacuationPrefix }: EvacuationKeys,
  ): readonly EvacuatedDomain[] {
    return items
      .filter(({ key }) => key.startsWith(evacuationPrefix))
      .flatMap(({ key, epoch, revision }) => {
        const domain = parseEvacuatedDomain(key, evacuationPrefix);
        if (domain !== undefined) return [{ domain, askedAt: { epoch, revision } }];
        this.#reportMalformedKey(key, revision);
        return [];
      });
  }

  #reportMalformedKey(key: string, revision: number): void {
    if (this.#malformedKeys.has(key)) return;
    if (this.#malformedKeys.size >= maxMalformedKeys) this.#malformedKeys.clear();
    this.#malformedKeys.add(key);
    const reason = 'the key names no failure domain';
    this.#options.log.error('evacuation-unreadable', { item: key.slice(0, 300), revision, reason });
  }

  /**
   * Puts a state into force.
   *
   * @param source - `store` or the id of the sending instance.
   * @param ageMs - Time since the state was last confirmed, in milliseconds.
   */
  #setEvacuations(next: EvacuationState, source: string, ageMs: number): void {
    const before = this.#evacuations;
    if (next === before) return;
    this.#evacuations = next;
    const { target, log, clock, metrics } = this.#options;
    const { set, lifted } = compareStates(before, next);
    const hasChanged = set.length > 0 || lifted.length > 0;
    if (hasChanged) target.setEvacuations(next.domains);
    const fields = { readAt: next.position, source, ageMs: Math.round(ageMs) };
    set.forEach(({ domain, askedAt }) => {
      this.#evacuatedSince.set(domain, clock.readWallTime());
      metrics.recordEvent('evacuation-in-force');
      log.warn('evacuation-in-force', { domain, position: askedAt, ...fields });
    });
    lifted.forEach((domain) => {
      this.#evacuatedSince.delete(domain);
      metrics.recordEvent('evacuation-lifted');
      const position = before.domains.find((other) => other.domain === domain)?.askedAt;
      log.warn('evacuation-lifted', { domain, position, ...fields });
    });
    // The position advances with each watch. Alone it is no news, except for a starting instance.
    if (hasChanged || !isKnown(before)) this.#options.onChange();
  }

  /** Applies the highest valid version of several that arrive together; each costs a rebuild. */
  #applyNewestConfig(items: readonly StoreItem[]): void {
    const versions = items.flatMap((item) => {
      const config = this.#decodeConfig(item);
      return config ? [{ item, config }] : [];
    });
    const newest = versions.reduce<(typeof versions)[number] | undefined>(
      (best, next) => (best && best.config.version > next.config.version ? best : next),
      undefined,
    );
    if (newest) this.#putInForce(newest.item, newest.config, 'store');
  }

  #getSharedConfigItem(acceptsDeflated: boolean): SharedConfigItem | undefined {
    const item = this.#configItem;
    this.#sharedConfigItem ??= item && {
      ...item,
      value: this.#options.schema.redactConfig(item.value),
    };
    if (!acceptsDeflated || !this.#sharedConfigItem) return this.#sharedConfigItem;
    this.#deflatedConfigItem ??= deflateItem(this.#sharedConfigItem);
    return this.#deflatedConfigItem;
  }

  /** @returns Whether the configuration of another instance could be read. */
  #applySharedConfig(shared: SharedConfigItem, source: string): boolean {
    const item = inflateItem(shared);
    if (item.isOk()) {
      this.#applyConfig(item.value, source);
      return true;
    }
    const { revision } = shared;
    this.#options.log.error('configuration-unreadable', { revision, source, reason: item.error });
    return false;
  }

  #applyConfig(item: StoreItem, source: string): void {
    const config = this.#decodeConfig(item);
    if (config) this.#putInForce(item, config, source);
  }

  #decodeConfig(item: StoreItem): GatewayConfig | undefined {
    const { schema, log, metrics } = this.#options;
    const config = schema.decodeConfig(item.value);
    if (config.isOk()) return config.value;
    metrics.recordEvent('configuration-unreadable');
    log.error('configuration-unreadable', { revision: item.revision, reason: config.error });
    return undefined;
  }

  #putInForce(item: StoreItem, config: GatewayConfig, source: string): void {
    const { target, onChange } = this.#options;
    if (config.version <= this.#configVersion) return;
    this.#configItem = item;
    this.#sharedConfigItem = config.workspaces ? undefined : item;
    this.#deflatedConfigItem = undefined;
    this.#configVersion = config.version;
    target.setConfig(config, source);
    onChange();
  }
}
