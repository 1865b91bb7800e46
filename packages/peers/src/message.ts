import type { Incarnation, InstanceId } from '@dotterelpass/values';

/** The fields of a message that its sender chooses. */
export type MessageBody = Readonly<Record<string, unknown>>;

/** One message between entry instances. */
export interface Message {
  readonly type: string;
  readonly from: InstanceId;
  readonly incarnation: Incarnation;
  /** Number of a request, unique on its link. */
  readonly id?: number;
  /** Number of the request that this message answers. */
  readonly re?: number;
  readonly body: MessageBody;
}

/** Who an entry instance is. */
export interface InstanceIdentity {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
}

/** Why a peer gave no answer. */
export interface PeerError {
  readonly kind: 'unreachable' | 'refused' | 'timeout' | 'closed' | 'failed';
  readonly message: string;
}

/** Answers one kind of message; what it returns is the answer to a request. */
export type MessageHandler = (
  body: MessageBody,
  from: InstanceIdentity,
) => Promise<MessageBody> | MessageBody;

/**
 * Reads a message that came over a link.
 *
 * @param value - The decoded CBOR item.
 * @returns The message, or undefined when the item is not one.
 */
export function readMessage(value: unknown): Message | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { type, from, incarnation, id, re, body } = value as Record<string, unknown>;
  const named = [type, from, incarnation].every((field) => typeof field === 'string');
  const numbered = [id, re].every((field) => field === undefined || Number.isSafeInteger(field));
  if (!named || !numbered || typeof body !== 'object' || body === null) return undefined;
  return value as Message;
}
