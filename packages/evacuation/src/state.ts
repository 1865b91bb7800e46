import { beforeFirstPosition, comparePositions } from '@dotterelpass/values';
import type { FailureDomain, StorePosition } from '@dotterelpass/values';

/** Maximum length of the name of a failure domain, which is in logs and in messages to peers. */
const maxDomainChars = 256;

/** A failure domain whose endpoints get nothing more. */
export interface EvacuatedDomain {
  readonly domain: FailureDomain;
  /** Store position of the write that asked for the evacuation. */
  readonly askedAt: StorePosition;
}

/** All evacuated failure domains at one position of the store. */
export interface EvacuationState {
  /** Position up to which the state is complete. */
  readonly position: StorePosition;
  /** Sorted by name. */
  readonly domains: readonly EvacuatedDomain[];
}

/** One write or deletion of an evacuation key. */
export interface EvacuationEvent extends EvacuatedDomain {
  readonly kind: 'set' | 'lifted';
}

/** All events between two positions of one epoch, in any order. */
export interface EvacuationChanges {
  readonly after: StorePosition;
  readonly position: StorePosition;
  readonly events: readonly EvacuationEvent[];
}

/** Differences between two states. */
export interface EvacuationDifference {
  /** Domains that are evacuated now and were not, or for which it was asked again. */
  readonly set: readonly EvacuatedDomain[];
  /** Domains that are not evacuated any more. */
  readonly lifted: readonly FailureDomain[];
}

/** State before the first reading. */
export const unknownState: EvacuationState = { position: beforeFirstPosition, domains: [] };

/** Whether a state was read from a store, by this instance or by another one. */
export function isKnown({ position }: EvacuationState): boolean {
  return comparePositions(position, beforeFirstPosition) > 0;
}

/**
 * Parses the key of an evacuation.
 *
 * @param key - Key in the store.
 * @param prefix - What the keys of evacuations begin with.
 * @returns The failure domain; undefined for another key, and for one without a usable name.
 */
export function parseEvacuatedDomain(key: string, prefix: string): FailureDomain | undefined {
  if (!key.startsWith(prefix)) return undefined;
  const domain = key.slice(prefix.length);
  const isUsable = domain.length > 0 && domain.length <= maxDomainChars;
  return isUsable ? (domain as FailureDomain) : undefined;
}

/** Builds the state of a listing. */
export function buildState(
  position: StorePosition,
  domains: readonly EvacuatedDomain[],
): EvacuationState {
  return { position, domains: [...domains].sort((a, b) => (a.domain < b.domain ? -1 : 1)) };
}

/**
 * Merges two states. The one with the newer position wins as a whole, because a state is complete at
 * its position: what it does not contain has been lifted.
 *
 * @returns One of both; `current` when their positions are equal.
 */
export function mergeStates(current: EvacuationState, other: EvacuationState): EvacuationState {
  return comparePositions(other.position, current.position) > 0 ? other : current;
}

/**
 * Applies the result of a watch. The state may have been replaced by a newer one of another instance
 * while the watch waited, so earlier events are left out.
 *
 * @param current - The present state.
 * @param changes - The changes.
 * @returns The present state when it is newer than the changes, or does not reach to their start.
 */
export function applyChanges(
  current: EvacuationState,
  { after, position, events }: EvacuationChanges,
): EvacuationState {
  const isSameEpoch = current.position.epoch === position.epoch && after.epoch === position.epoch;
  if (!isSameEpoch || comparePositions(current.position, after) < 0) return current;
  if (comparePositions(position, current.position) <= 0) return current;
  const domains = new Map(current.domains.map((evacuated) => [evacuated.domain, evacuated]));
  events
    .filter(({ askedAt }) => comparePositions(askedAt, current.position) > 0)
    .sort((a, b) => comparePositions(a.askedAt, b.askedAt))
    .forEach(({ kind, domain, askedAt }) => {
      // The pages of a listing may contain writes after its position.
      const known = domains.get(domain);
      if (known && comparePositions(known.askedAt, askedAt) >= 0) return;
      if (kind === 'set') domains.set(domain, { domain, askedAt });
      else domains.delete(domain);
    });
  return buildState(position, [...domains.values()]);
}

/** Compares two states, the earlier one first. */
export function compareStates(
  before: EvacuationState,
  after: EvacuationState,
): EvacuationDifference {
  const earlier = new Map(before.domains.map(({ domain, askedAt }) => [domain, askedAt]));
  const later = new Set(after.domains.map(({ domain }) => domain));
  const set = after.domains.filter(
    ({ domain, askedAt }) =>
      // A restored store keeps the revisions of the writes in its copy, in a new epoch.
      earlier.get(domain)?.revision !== askedAt.revision,
  );
  return { set, lifted: [...earlier.keys()].filter((domain) => !later.has(domain)) };
}
