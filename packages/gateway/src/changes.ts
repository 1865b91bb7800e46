import type { StoreItem, StoreListing } from '@dotterelpass/store';
import { beforeFirstPosition, comparePositions } from '@dotterelpass/values';
import type { StorePosition } from '@dotterelpass/values';
import type { Registration } from './catalog.js';

/** Maximum number of tombstones of removed registrations. */
const maxRemoved = 4096;

/** Changes with which another instance gets the same registrations as this instance. */
export interface RegistrationChanges {
  /** Store position up to which the changes are complete. */
  readonly position: StorePosition;
  /** Whether `items` is a full snapshot; `removed` is empty then. */
  readonly isWhole: boolean;
  readonly items: readonly StoreItem[];
  /** Keys of the removed registrations. */
  readonly removed: readonly string[];
}

interface Entry {
  readonly item: StoreItem;
  /** Undefined when the item cannot be decoded. */
  readonly registration: Registration | undefined;
  /**
   * Position of the listing or changes that contained the last change other than a heartbeat, or of
   * the item if that is later.
   */
  readonly changedAt: StorePosition;
}

/**
 * Registrations with the positions of their last changes. Heartbeats rewrite a registration without
 * other changes; these writes are not sent to other instances.
 */
export class ChangeLog {
  readonly #decode: (item: StoreItem) => Registration | undefined;

  readonly #entries = new Map<string, Entry>();

  /** Tombstones: removed keys and the positions of their removal, oldest first. */
  readonly #removed = new Map<string, StorePosition>();

  /**
   * Keys that a restored store has as new or as ready again, with the revisions of their items. The
   * copy may be older than the removal or the draining of the endpoint, so such an item counts only
   * once the endpoint has written it again.
   */
  readonly #unconfirmed = new Map<string, number>();

  /** Epoch of the last listing, or of the first snapshot before one; -1 before both. */
  #listedEpoch = -1;

  /**
   * All changes after this position are known; older positions need a full snapshot. Undefined
   * before the first position.
   */
  #oldestKnownPosition: StorePosition | undefined;

  #position = beforeFirstPosition;

  /** @param decode - Decodes an item; returns undefined when that fails. */
  constructor(decode: (item: StoreItem) => Registration | undefined) {
    this.#decode = decode;
  }

  /** Position up to which the registrations are complete. */
  get position(): StorePosition {
    return this.#position;
  }

  /** Whether a listing or changes have been applied. */
  get isLoaded(): boolean {
    return this.#position.epoch >= 0;
  }

  /** The registrations that could be decoded. */
  get registrations(): readonly Registration[] {
    return [...this.#entries.values()].flatMap(({ registration }) => registration ?? []);
  }

  /**
   * Applies a listing from the store. A listing older than the present position is ignored. The
   * position does not advance while registrations are kept that are not listed: an instance with
   * the position of the listing would never get their removal if it is at the same position.
   *
   * @param listing - The listing.
   * @param keepMissing - Whether registrations that are not listed are kept.
   * @returns Whether the registrations are now complete up to the position of the listing.
   */
  applyListing(listing: StoreListing, keepMissing: boolean): boolean {
    const { items, position } = listing;
    if (comparePositions(position, this.#position) < 0) return false;
    this.#mergeItems(this.#selectConfirmed(items, position), position);
    this.#listedEpoch = position.epoch;
    const listed = new Set(items.map(({ key }) => key));
    const known = new Set([...this.#entries.keys(), ...this.#unconfirmed.keys()]);
    const missing = [...known].filter((key) => !listed.has(key));
    if (keepMissing && missing.length > 0) return false;
    this.#removeKeys(missing, position);
    this.#advance(position, this.#oldestKnownPosition ?? position);
    return true;
  }

  /**
   * Applies changes from another instance. A full snapshot removes nothing: registrations may have
   * expired at the time when it was read.
   *
   * @param changes - The changes.
   * @returns Whether they contained anything new.
   */
  applyChanges({ position, isWhole, items, removed }: RegistrationChanges): boolean {
    const order = comparePositions(position, this.#position);
    if (order < 0) return false;
    const newItems = isWhole ? this.#selectConfirmed(items, position) : items;
    const hasMerged = this.#mergeItems(newItems, position);
    if (this.#listedEpoch < 0) this.#listedEpoch = position.epoch;
    this.#removeKeys(removed, position);
    this.#advance(position, isWhole ? position : this.#oldestKnownPosition);
    return order > 0 || hasMerged;
  }

  /** @returns The changes for an instance that has the registrations of `position`. */
  getChangesSince(position: StorePosition): RegistrationChanges {
    const isAfter = (at: StorePosition) => comparePositions(at, position) > 0;
    const isWhole = this.#oldestKnownPosition === undefined || isAfter(this.#oldestKnownPosition);
    const entries = [...this.#entries.values()];
    const changed = isWhole ? entries : entries.filter(({ changedAt }) => isAfter(changedAt));
    const removed = [...this.#removed].filter(([, at]) => !isWhole && isAfter(at));
    return {
      position: this.#position,
      isWhole,
      items: changed.map(({ item }) => item),
      removed: removed.map(([key]) => key),
    };
  }

  /**
   * Moves to a position. Changes before a restore of the store may have been lost with it, so those
   * of an earlier epoch are not known any more.
   */
  #advance(position: StorePosition, oldestKnown: StorePosition | undefined): void {
    const isRestored = oldestKnown !== undefined && oldestKnown.epoch < position.epoch;
    this.#oldestKnownPosition = isRestored ? position : oldestKnown;
    this.#position = position;
  }

  /** @returns Whether any of the items is newer than what is known. */
  #mergeItems(items: readonly StoreItem[], position: StorePosition): boolean {
    const newItems = items.filter((item) => {
      const existing = this.#entries.get(item.key);
      return !existing || comparePositions(existing.item, item) < 0;
    });
    newItems.forEach((item) => {
      const existing = this.#entries.get(item.key);
      const registration = this.#decode(item);
      // After a restore, instances that have only read the copy need what is written again.
      const isUnchanged =
        existing?.item.epoch === item.epoch &&
        isSameRegistration(existing.registration, registration) &&
        !hasTurnedCold(existing.registration, registration);
      // Changes contain later items while their sender keeps missing registrations.
      const readAt = comparePositions(item, position) > 0 ? item : position;
      const changedAt = isUnchanged ? existing.changedAt : readAt;
      this.#entries.set(item.key, { item, registration, changedAt });
      this.#removed.delete(item.key);
      this.#unconfirmed.delete(item.key);
    });
    return newItems.length > 0;
  }

  /** Selects the items that a restored store does not have merely because its copy is old. */
  #selectConfirmed(items: readonly StoreItem[], { epoch }: StorePosition): readonly StoreItem[] {
    const isRestored = this.#listedEpoch >= 0 && epoch > this.#listedEpoch;
    if (isRestored) this.#unconfirmed.clear();
    return items.filter((item) => this.#isConfirmed(item, isRestored));
  }

  #isConfirmed(item: StoreItem, isRestored: boolean): boolean {
    const seenRevision = this.#unconfirmed.get(item.key);
    if (seenRevision !== undefined) return item.revision > seenRevision;
    if (!this.#mayBeOutdated(item, isRestored)) return true;
    this.#unconfirmed.set(item.key, item.revision);
    return false;
  }

  #mayBeOutdated(item: StoreItem, isRestored: boolean): boolean {
    const entry = this.#entries.get(item.key);
    if (!entry) return isRestored;
    if (entry.item.epoch === item.epoch) return false;
    const registration = this.#decode(item);
    return registration?.state === 'ready' && !isSameRegistration(entry.registration, registration);
  }

  #removeKeys(keys: readonly string[], position: StorePosition): void {
    keys.forEach((key) => {
      const isUsed = this.#entries.delete(key);
      // Another instance, which knows less, may use an item that is not confirmed here.
      const isListed = this.#unconfirmed.delete(key);
      if (!isUsed && !isListed) return;
      this.#removed.delete(key);
      this.#removed.set(key, position);
    });
    while (this.#removed.size > maxRemoved) {
      const [oldest] = this.#removed;
      if (!oldest) return;
      const [key, removedAt] = oldest;
      this.#removed.delete(key);
      const known = this.#oldestKnownPosition;
      if (known && comparePositions(removedAt, known) > 0) this.#oldestKnownPosition = removedAt;
    }
  }
}

/** Whether a later registration of an endpoint has a longer warm-up time than the earlier one. */
function hasTurnedCold(
  earlier: Registration | undefined,
  later: Registration | undefined,
): boolean {
  return earlier !== undefined && later !== undefined && later.warmupMs > earlier.warmupMs;
}

/**
 * Compares registrations without their warm-up times, which are counted from the first registration
 * of an endpoint.
 */
function isSameRegistration(a: Registration | undefined, b: Registration | undefined): boolean {
  if (!a || !b) return false;
  return (
    a.service === b.service &&
    a.address === b.address &&
    a.failureDomain === b.failureDomain &&
    a.slots === b.slots &&
    a.state === b.state &&
    a.startedAtMs === b.startedAtMs
  );
}
