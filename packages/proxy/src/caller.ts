import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { outcomeHeader } from '@dotterelpass/values';
import type { RequestId, Verdict } from '@dotterelpass/values';

/** What a caller is told when the system gives no answer of an endpoint. */
export interface Refusal {
  readonly status: number;
  readonly verdict: Verdict;
  readonly message: string;
  readonly retryAfterSeconds?: number;
}

/** Answers calls. A handler that throws is a fault of this program. */
export type CallHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

const headersTimeoutMs = 10_000;
const requestTimeoutMs = 60_000;
const maxHeaderBytes = 16 * 1024;

/** The HTTP server for callers. */
export class CallerServer {
  readonly #server: Server;

  #active = 0;

  #stopping = false;

  /** @param handle - Answers one call. */
  constructor(handle: CallHandler) {
    this.#server = createServer(
      {
        headersTimeout: headersTimeoutMs,
        requestTimeout: requestTimeoutMs,
        maxHeaderSize: maxHeaderBytes,
        keepAliveTimeout: 60_000,
        insecureHTTPParser: false,
      },
      (request, response) => {
        this.#active += 1;
        response.on('close', () => {
          this.#active -= 1;
        });
        if (this.#stopping) response.setHeader('connection', 'close');
        handle(request, response).catch(() => response.destroy());
      },
    );
  }

  /** Calls that have not been answered yet. */
  get active(): number {
    return this.#active;
  }

  /**
   * Starts to listen.
   *
   * @param ip - IP address.
   * @param port - Port, 0 for any free one.
   * @returns The port.
   */
  async open(ip: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /**
   * Stops accepting, lets calls in flight end and closes idle connections.
   *
   * @param maxMs - Connections still open after this time are cut.
   */
  async close(maxMs: number): Promise<void> {
    this.#stopping = true;
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    this.#server.closeIdleConnections();
    const cut = setTimeout(() => this.#server.closeAllConnections(), maxMs);
    await closed;
    clearTimeout(cut);
  }
}

/**
 * Answers a call with a refusal.
 *
 * @param response - The response; nothing is sent when its head has gone out already.
 * @param requestId - The id of the call.
 * @param refusal - What the caller is told.
 */
export function refuse(response: ServerResponse, requestId: RequestId, refusal: Refusal): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const { message, verdict } = refusal;
  const body = JSON.stringify({ error: message, verdict, requestId });
  if (refusal.retryAfterSeconds !== undefined) {
    response.setHeader('retry-after', refusal.retryAfterSeconds);
  }
  response
    .writeHead(refusal.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'x-request-id': requestId,
      [outcomeHeader]: verdict,
    })
    .end(body);
}
