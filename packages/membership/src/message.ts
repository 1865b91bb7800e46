import type { Incarnation, InstanceId } from '@dotterelpass/values';
import { z } from 'zod';
import { memberStates } from './member.js';
import type { Member } from './member.js';

/** Maximum number of table entries in a page of a `members` message. */
export const maxPageEntries = 32;

/** Maximum number of gossip updates in any other message; 8 fit into one Ethernet frame. */
export const maxGossipUpdates = 8;

/**
 * Maximum number of further updates in any message: one table entry in rotation, the receiver's own
 * entry and the entry that an indirect probe asked about.
 */
export const maxExtraUpdates = 3;

/** A message between failure detectors. Each carries the sender's entry and updates of others. */
export interface Message {
  readonly kind: 'ping' | 'ping-req' | 'ack' | 'members';
  readonly sender: Member;
  readonly updates: readonly Member[];
  /** Number of the ping that is sent, requested or acknowledged; chosen by the probing member. */
  readonly sequence?: number;
  /** The member that the receiver of a `ping-req` is to ping. */
  readonly target?: InstanceId;
  /** Requests the page of the member table that starts after this name. */
  readonly after?: string;
  /** Last name of this page, when another page follows. */
  readonly next?: string;
}

// Entries are arrays on the wire, because field names would double the size of a ping.
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
  u: z.array(memberSchema).max(maxPageEntries + maxExtraUpdates),
  n: z.number().int().optional(),
  t: z.string().max(64).optional(),
  a: z.string().max(64).optional(),
  x: z.string().max(64).optional(),
});

/**
 * Encodes a message in its short wire form.
 *
 * @param message - The message.
 * @returns Fields for a CBOR item; absent fields are omitted.
 */
export function encodeMessage(message: Message): Readonly<Record<string, unknown>> {
  const { sender, updates, sequence: n, target: t, after: a, next: x } = message;
  const fields = { s: toTuple(sender), u: updates.map(toTuple), n, t, a, x };
  return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined));
}

/**
 * Decodes a message from its wire form.
 *
 * @param kind - Type of the peer message.
 * @param body - Fields of the peer message.
 * @returns The message, or undefined when the fields do not form a valid message.
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
