import { hashText, rankByHash } from '@dotterelpass/values';
import type { InstanceId, LimitKey } from '@dotterelpass/values';

/** Bounds the connections and messages of each instance. */
const maxCoordinators = 16;

/** Key of the rendezvous hash that selects the coordinators; all instances must use the same. */
const selectionKey = 'quota-coordinators';

/** @returns The number of coordinators, and of groups of limits, in a fleet of this size. */
export function computeCoordinatorCount(size: number): number {
  return Math.min(maxCoordinators, Math.max(1, Math.ceil(Math.sqrt(size) / 2)));
}

/** @returns The group of a limit: a number from 0 to `groupCount - 1`. */
export function computeGroup(key: LimitKey, groupCount: number): number {
  return hashText(key) % groupCount;
}

/**
 * Selects the coordinators of a fleet.
 *
 * @param instances - All known instances.
 * @returns For each group, the coordinators in the order in which instances attach to them.
 */
export function selectCoordinators(
  instances: readonly InstanceId[],
): readonly (readonly InstanceId[])[] {
  const count = computeCoordinatorCount(instances.length);
  const coordinators = rankByHash(selectionKey, instances).slice(0, count);
  return Array.from({ length: count }, (_, group) => rankByHash(`group-${group}`, coordinators));
}
