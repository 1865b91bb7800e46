import type { StoreItem, StoreListing } from '@dotterelpass/store';
import type { Registration } from './catalog.js';

/** Maximum number of tombstones of removed registrations. */
const maxRemoved = 4096;

/** Changes with which another instance gets the same registrations as this instance. */
export interface RegistrationChanges {
  /** Store revision up to which the changes are complete. */
  readonly revision: number;
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
  /** Revision of the listing that contained the last change other than a heartbeat. */
  readonly changedAt: number;
}

/**
 * Registrations with the revisions of their last changes. Heartbeats rewrite a registration without
 * other changes; these writes are not sent to other instances.
 */
export class ChangeLog {
  readonly #decode: (item: StoreItem) => Registration | undefined;

  readonly #entries = new Map<string, Entry>();

  /** Tombstones: removed keys and the revisions of their removal, oldest first. */
  readonly #removed = new Map<string, number>();

  /** All changes after this revision are known; older revisions need a full snapshot. */
  #oldestKnownRevision = Infinity;

  #revision = -1;

  /** @param decode - Decodes an item; returns undefined when that fails. */
  constructor(decode: (item: StoreItem) => Registration | undefined) {
    this.#decode = decode;
  }

  /** Revision of the newest listing or changes; -1 before the first. */
  get revision(): number {
    return this.#revision;
  }

  /** The registrations that could be decoded. */
  get registrations(): readonly Registration[] {
    return [...this.#entries.values()].flatMap(({ registration }) => registration ?? []);
  }

  /**
   * Applies a listing from the store. A listing older than the present revision is ignored.
   *
   * @param listing - The listing.
   * @param keepMissing - Whether registrations that are not listed are kept.
   */
  applyListing(listing: StoreListing, keepMissing: boolean): void {
    if (listing.revision < this.#revision) return;
    this.#mergeItems(listing.items, listing.revision);
    if (!keepMissing) {
      const listed = new Set(listing.items.map(({ key }) => key));
      this.#removeKeys(
        [...this.#entries.keys()].filter((key) => !listed.has(key)),
        listing.revision,
      );
    }
    this.#revision = listing.revision;
    this.#oldestKnownRevision = Math.min(this.#oldestKnownRevision, listing.revision);
  }

  /**
   * Applies changes from another instance. A full snapshot removes nothing: registrations may have
   * expired at the time when it was read.
   *
   * @param changes - The changes.
   */
  applyChanges({ revision, isWhole, items, removed }: RegistrationChanges): void {
    if (revision < this.#revision) return;
    this.#mergeItems(items, revision);
    this.#removeKeys(removed, revision);
    this.#revision = revision;
    if (isWhole) this.#oldestKnownRevision = revision;
  }

  /** @returns The changes for an instance that has the registrations of `revision`. */
  getChangesSince(revision: number): RegistrationChanges {
    const isWhole = revision < this.#oldestKnownRevision;
    const entries = [...this.#entries.values()];
    const changed = isWhole ? entries : entries.filter(({ changedAt }) => changedAt > revision);
    const removed = [...this.#removed].filter(([, at]) => !isWhole && at > revision);
    return {
      revision: this.#revision,
      isWhole,
      items: changed.map(({ item }) => item),
      removed: removed.map(([key]) => key),
    };
  }

  #mergeItems(items: readonly StoreItem[], revision: number): void {
    items.forEach((item) => {
      const existing = this.#entries.get(item.key);
      if (existing && existing.item.revision >= item.revision) return;
      const registration = this.#decode(item);
      const isUnchanged =
        existing !== undefined && isSameRegistration(existing.registration, registration);
      const changedAt = isUnchanged ? existing.changedAt : revision;
      this.#entries.set(item.key, { item, registration, changedAt });
      this.#removed.delete(item.key);
    });
  }

  #removeKeys(keys: readonly string[], revision: number): void {
    keys.forEach((key) => {
      if (!this.#entries.delete(key)) return;
      this.#removed.delete(key);
      this.#removed.set(key, revision);
    });
    while (this.#removed.size > maxRemoved) {
      const [oldest] = this.#removed;
      if (!oldest) return;
      this.#removed.delete(oldest[0]);
      this.#oldestKnownRevision = Math.max(this.#oldestKnownRevision, oldest[1]);
    }
  }
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
