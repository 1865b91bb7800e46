import type { StoreItem, StoreListing } from '@dotterelpass/store';
import type { Registration } from './catalog.js';

/** Removed registrations that are remembered. */
const maxRemoved = 4096;

/** What another instance must change to have the registrations that this one has. */
export interface RegistrationChanges {
  /** Revision of the store up to which it is complete. */
  readonly revision: number;
  /** Whether it lists all registrations: removed ones are not told then. */
  readonly isWhole: boolean;
  readonly items: readonly StoreItem[];
  /** Keys of registrations that were removed. */
  readonly removed: readonly string[];
}

interface Entry {
  readonly item: StoreItem;
  /** Undefined when the item cannot be read. */
  readonly registration: Registration | undefined;
  /** Revision of the list that brought the last change, other than a heartbeat. */
  readonly changedAt: number;
}

/**
 * The registrations and the revisions of their changes. Each heartbeat writes a registration
 * anew; only what else changes is told to other instances.
 */
export class ChangeLog {
  readonly #decode: (item: StoreItem) => Registration | undefined;

  readonly #entries = new Map<string, Entry>();

  /** Revisions at which keys were missed first, oldest first. */
  readonly #removed = new Map<string, number>();

  /** Changes after this revision are known. */
  #oldestKnownRevision = Infinity;

  #revision = -1;

  /** @param read - Decodes an item; undefined when it cannot be read. */
  constructor(read: (item: StoreItem) => Registration | undefined) {
    this.#decode = read;
  }

  /** Revision of the newest list; -1 before the first. */
  get revision(): number {
    return this.#revision;
  }

  /** The registrations that can be read. */
  get registrations(): readonly Registration[] {
    return [...this.#entries.values()].flatMap(({ registration }) => registration ?? []);
  }

  /**
   * Takes a list from the store. An older one than the newest changes nothing.
   *
   * @param listing - The list.
   * @param keepMissing - Whether registrations that it lacks stay.
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
   * Takes what another instance tells.
   *
   * @param delta - Its changes. A whole list removes nothing: registrations may have lapsed when
   * it was read.
   */
  applyChanges({ revision, isWhole, items, removed }: RegistrationChanges): void {
    if (revision < this.#revision) return;
    this.#mergeItems(items, revision);
    this.#removeKeys(removed, revision);
    this.#revision = revision;
    if (isWhole) this.#oldestKnownRevision = revision;
  }

  /** @returns What has changed for an instance that has the registrations of `revision`. */
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
      const known = this.#entries.get(item.key);
      if (known && known.item.revision >= item.revision) return;
      const registration = this.#decode(item);
      const isSame = known !== undefined && isSameRegistration(known.registration, registration);
      const changedAt = isSame ? known.changedAt : revision;
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

/** The time for which an endpoint is still slow is counted from its first registration. */
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
