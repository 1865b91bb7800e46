import type { Incarnation, InstanceId } from '@dotterelpass/values';

/** States of a member, in the order in which one replaces another at equal refutations. */
export const memberStates = ['live', 'suspect', 'dead', 'left'] as const;

export type MemberState = (typeof memberStates)[number];

/** What is known of one entry instance. */
export interface Member {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  /** Raised by the instance itself when it is suspected or declared dead. */
  readonly refutation: number;
  readonly state: MemberState;
  /** IP address and port for peers. */
  readonly address: string;
}

/**
 * Ranks two incarnations of one instance by start time.
 *
 * @returns A negative number when `a` is the older one, 0 when they are equal.
 */
export function rankIncarnations(a: Incarnation, b: Incarnation): number {
  const difference = Number.parseInt(a, 10) - Number.parseInt(b, 10);
  if (difference) return difference;
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/**
 * Tells whether an update replaces what is known of the same instance. A newer incarnation
 * replaces an older one whatever its state; a graceful leave is final for its incarnation.
 *
 * @param update - What was heard.
 * @param known - What is known.
 */
export function isNewer(update: Member, known: Member): boolean {
  const order = rankIncarnations(update.incarnation, known.incarnation);
  if (order !== 0) return order > 0;
  if (known.state === 'left' || update.state === 'left') return known.state !== 'left';
  if (update.refutation !== known.refutation) return update.refutation > known.refutation;
  return memberStates.indexOf(update.state) > memberStates.indexOf(known.state);
}

/** @returns Whether the member counts as present: a suspect does until it is declared dead. */
export function isPresent({ state }: Member): boolean {
  return state === 'live' || state === 'suspect';
}
