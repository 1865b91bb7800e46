import type { Incarnation, InstanceId } from '@dotterelpass/values';

/** The part of a message that depends on its type. */
export type MessageBody = Readonly<Record<string, unknown>>;

/** A message between two instances, as encoded on the connection. */
export interface PeerMessage {
  readonly type: string;
  readonly from: InstanceId;
  readonly incarnation: Incarnation;
  /** Id of a request, unique among the requests that its sender sent on this connection. */
  readonly id?: number;
  /** Id of the request to which this message is the response. */
  readonly re?: number;
  readonly body: MessageBody;
}

/** An instance and the incarnation of its process. */
export interface InstanceIdentity {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
}

/** Reason why a request to a peer got no response. */
export interface PeerError {
  readonly kind: 'unreachable' | 'refused' | 'timeout' | 'closed' | 'failed';
  readonly message: string;
}

/** Handles messages of one type. The returned body is sent back when the message is a request. */
export type MessageHandler = (
  body: MessageBody,
  from: InstanceIdentity,
) => Promise<MessageBody> | MessageBody;

/**
 * Checks that a decoded CBOR item is a message.
 *
 * @param value - The decoded CBOR item.
 * @returns The message, or undefined when a field is missing or has the wrong type.
 */
export function parseMessage(value: unknown): PeerMessage | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { type, from, incarnation, id, re, body } = value as Record<string, unknown>;
  const hasNames = [type, from, incarnation].every((field) => typeof field === 'string');
  const hasValidIds = [id, re].every((field) => field === undefined || Number.isSafeInteger(field));
  if (!hasNames || !hasValidIds || typeof body !== 'object' || body === null) return undefined;
  return value as PeerMessage;
}
