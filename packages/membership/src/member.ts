import type { Incarnation, InstanceId } from '@dotterelpass/values';

/**
 * States of a member. At equal refutation numbers a later state in this list replaces an earlier
 * one. The index of a state is its encoding on the wire.
 */
export const memberStates = ['live', 'suspect', 'dead', 'left'] as const;

export type MemberState = (typeof memberStates)[number];

/** The state of one entry instance as disseminated by gossip. */
export interface Member {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  /**
   * Raised only by the instance itself, to refute a suspicion or its declared death. This is the
   * incarnation number of SWIM.
   */
  readonly refutation: number;
  readonly state: MemberState;
  /** IP address and port for peers. */
  readonly address: string;
}

/**
 * Compares two incarnations of one instance by start time.
 *
 * @returns A negative number when `a` is older, 0 when they are equal.
 */
export function compareIncarnations(a: Incarnation, b: Incarnation): number {
  const difference = Number.parseInt(a, 10) - Number.parseInt(b, 10);
  if (difference) return difference;
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/**
 * Decides whether an update replaces the stored entry of the same instance. A newer incarnation
 * replaces an older one in any state; a graceful leave is final for its incarnation.
 *
 * @param update - The received entry.
 * @param known - The stored entry.
 */
export function isNewer(update: Member, known: Member): boolean {
  const order = compareIncarnations(update.incarnation, known.incarnation);
  if (order !== 0) return order > 0;
  if (known.state === 'left' || update.state === 'left') return known.state !== 'left';
  if (update.refutation !== known.refutation) return update.refutation > known.refutation;
  return memberStates.indexOf(update.state) > memberStates.indexOf(known.state);
}

/** @returns Whether the member is present. A suspect is present until it is declared dead. */
export function isPresent({ state }: Member): boolean {
  return state === 'live' || state === 'suspect';
}
