import type { Incarnation, InstanceId } from '@dotterelpass/values';
import { z } from 'zod';
import { memberStates } from './member.js';
import type { Member } from './member.js';

/** Most entries of the table that a `members` page carries. */
export const maxPageLength = 32;

/** Most news that any other message carries; 8 keep it below one Ethernet frame. */
export const maxNews = 8;

/** Updates besides these: one entry in turn, the receiver's own, and the one asked about. */
export const maxExtras = 3;

/** A message between detectors. Each carries the sender's own entry and news of others. */
export interface Message {
  readonly kind: 'ping' | 'ping-req' | 'ack' | 'members';
  readonly sender: Member;
  readonly updates: readonly Member[];
  /** Number of the ping that is sent or acknowledged, chosen by the one who asks. */
  readonly sequence?: number;
  /** The member that a `ping-req` asks to ping. */
  readonly target?: InstanceId;
  /** Asks for the page of known members after this name. */
  readonly after?: string;
  /** Last name of a page that has a successor. */
  readonly next?: string;
}

// Entries are arrays on the wire: field names would double the size of a ping.
const memberSchema = z
  .tuple([
    z.string().max(64),
    z.string().max(64),
    z.number().int().min(0),
    z.number().int().min(0).max(3),
    z.string().max(32),
  ])
  .transform(([instance, incarnation, refutation, state, address]): Member => ({
    instance: instance as InstanceId,
    incarnation: incarnation as Incarnation,
    refutation,
    state: memberStates[state] ?? 'dead',
    address,
  }));

const bodySchema = z.object({
  s: memberSchema,
  u: z.array(memberSchema).max(maxPageLength + maxExtras),
  n: z.number().int().optional(),
  t: z.string().max(64).optional(),
  a: z.string().max(64).optional(),
  x: z.string().max(64).optional(),
});

/**
 * Converts a message to its short wire form.
 *
 * @param message - The message.
 * @returns Fields for a CBOR item; absent ones are left out.
 */
export function encodeMessage(message: Message): Readonly<Record<string, unknown>> {
  const { sender, updates, sequence: n, target: t, after: a, next: x } = message;
  const fields = { s: toTuple(sender), u: updates.map(toTuple), n, t, a, x };
  return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined));
}

/**
 * Reads a message from its wire form.
 *
 * @param kind - Type of the peer message.
 * @param body - Its fields.
 * @returns The message, or undefined when the fields are not one.
 */
export function decodeMessage(kind: Message['kind'], body: unknown): Message | undefined {
  const parsed = bodySchema.safeParse(body);
  if (!parsed.success) return undefined;
  const { s, u, n, t, a, x } = parsed.data;
  return {
    kind,
    sender: s,
    updates: u,
    sequence: n,
    target: t as InstanceId | undefined,
    after: a,
    next: x,
  };
}

function toTuple(member: Member): unknown[] {
  const { instance, incarnation, refutation, state, address } = member;
  return [instance, incarnation, refutation, memberStates.indexOf(state), address];
}
