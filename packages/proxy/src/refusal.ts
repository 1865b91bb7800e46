import { STATUS_CODES } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { outcomeHeader } from '@dotterelpass/values';
import type { RequestId, Verdict } from '@dotterelpass/values';

/** What a caller is told when the system gives no answer of an endpoint. */
export interface Refusal {
  readonly status: number;
  readonly verdict: Verdict;
  readonly message: string;
  readonly retryAfterSeconds?: number;
}

/**
 * Answers a call with a refusal.
 *
 * @param response - The response; it is cut when its head has gone out already.
 * @param requestId - The id of the call.
 * @param refusal - What the caller is told.
 */
export function refuse(response: ServerResponse, requestId: RequestId, refusal: Refusal): void {
  if (response.headersSent) {
    cutAnswer(response);
    return;
  }
  const { headers, body } = toAnswer(requestId, refusal);
  response.writeHead(refusal.status, headers).end(body);
}

/**
 * Writes a refusal as text for a connection whose request could not be read. The connection
 * is to be closed after it.
 *
 * @param requestId - The id that the caller is given.
 * @param refusal - What the caller is told.
 * @returns Head and body of the answer.
 */
export function toRawAnswer(requestId: RequestId, refusal: Refusal): string {
  const { headers, body } = toAnswer(requestId, refusal);
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const phrase = STATUS_CODES[refusal.status] ?? 'Refused';
  return `HTTP/1.1 ${refusal.status} ${phrase}\r\n${lines.join('')}connection: close\r\n\r\n${body}`;
}

/**
 * Ends an answer that cannot be completed. The connection is reset, because a caller that
 * speaks HTTP/1.0 takes an orderly end for the end of a whole answer.
 *
 * @param response - The answer.
 */
export function cutAnswer(response: ServerResponse): void {
  const socket = response.socket as (Socket & { resetAndClosing: boolean }) | null;
  // `resetAndDestroy` would end the connection in order first and reset it after that.
  if (socket) socket.resetAndClosing = true;
  socket?.destroy();
  response.destroy();
}

function toAnswer(requestId: RequestId, { message, verdict, retryAfterSeconds }: Refusal) {
  const body = JSON.stringify({ error: message, verdict, requestId });
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'x-request-id': requestId,
    [outcomeHeader]: verdict,
  };
  if (retryAfterSeconds !== undefined) headers['retry-after'] = retryAfterSeconds;
  return { headers, body };
}
