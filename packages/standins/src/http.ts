import type { IncomingMessage, ServerResponse } from 'node:http';

/** Version of the stand-in programs. */
export const version = '0.1.0';

/**
 * Reads a request body to its end.
 *
 * @param request - The request.
 * @returns The bytes of the body.
 */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/**
 * Sends a JSON response.
 *
 * @param response - The response to end.
 * @param status - HTTP status.
 * @param value - Any JSON value.
 */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  const body = JSON.stringify(value);
  response
    .writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    })
    .end(body);
}
