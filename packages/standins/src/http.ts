import type { IncomingMessage, ServerResponse } from 'node:http';

/** Version that the stand-ins report. */
export const version = '0.1.0';

/**
 * Reads a whole request body.
 *
 * @param request - The request.
 * @returns Its bytes.
 */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/**
 * Answers with JSON.
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
