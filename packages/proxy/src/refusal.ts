import { STATUS_CODES } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { outcomeHeader } from '@dotterelpass/values';
import type { RequestId, Verdict } from '@dotterelpass/values';

/** Error response to a caller when no response of an endpoint can be returned. */
export interface Refusal {
  readonly status: number;
  /** Whether the call has run or may have run. */
  readonly verdict: Verdict;
  readonly message: string;
  readonly retryAfterSeconds?: number;
}

/**
 * Responds to a call with a refusal.
 *
 * @param response - The response to the caller. It is aborted when its headers have been sent.
 * @param requestId - Id of the call.
 * @param refusal - The refusal.
 */
export function refuse(response: ServerResponse, requestId: RequestId, refusal: Refusal): void {
  if (response.headersSent) {
    abortResponse(response);
    return;
  }
  const { headers, body } = makeResponse(requestId, refusal);
  response.writeHead(refusal.status, headers).end(body);
}

/**
 * Formats a refusal as the text of an HTTP response, for a connection whose request could not be
 * parsed. The connection must be closed after the response.
 *
 * @param requestId - Id that is returned to the caller.
 * @param refusal - The refusal.
 * @returns Head and body of the response.
 */
export function formatRawResponse(requestId: RequestId, refusal: Refusal): string {
  const { headers, body } = makeResponse(requestId, refusal);
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const reasonPhrase = STATUS_CODES[refusal.status] ?? 'Refused';
  return `HTTP/1.1 ${refusal.status} ${reasonPhrase}\r\n${lines.join('')}connection: close\r\n\r\n${body}`;
}

/**
 * Aborts a response that cannot be completed. The connection is reset, because an HTTP/1.0 caller
 * treats a connection that closes without a reset as the end of a complete response.
 *
 * @param response - The response to the caller.
 */
export function abortResponse(response: ServerResponse): void {
  const socket = response.socket as (Socket & { resetAndClosing: boolean }) | null;
  // `resetAndDestroy` would first end the connection without a reset and only then reset it.
  if (socket) socket.resetAndClosing = true;
  socket?.destroy();
  response.destroy();
}

function makeResponse(requestId: RequestId, { message, verdict, retryAfterSeconds }: Refusal) {
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
