import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Metrics } from '@dotterelpass/telemetry';
import type { OperatorApi } from './api.js';

/** Time for a client to send its whole request, in milliseconds; then the connection is closed. */
const requestTimeoutMs = 10_000;

/** HTTP server for operators, with metrics, health checks, commands and queries. */
export class OperatorServer {
  readonly #server: Server;

  readonly #metrics: Metrics;

  readonly #isReady: () => boolean;

  readonly #api: OperatorApi | undefined;

  /**
   * @param metrics - The metrics that `/metrics` serves.
   * @param isReady - The status that `/readyz` reports.
   * @param api - Serves the paths below `/v1/`, which require the operators' token.
   */
  constructor(metrics: Metrics, isReady: () => boolean, api?: OperatorApi) {
    this.#metrics = metrics;
    this.#isReady = isReady;
    this.#api = api;
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.requestTimeout = requestTimeoutMs;
  }

  /**
   * Starts to listen.
   *
   * @param ip - IP address to listen on.
   * @param port - Port to listen on; 0 for any free port.
   * @returns The port.
   */
  async open(ip: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops listening and closes all open connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '/').split('?', 1)[0];
    if (path === '/metrics') {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
      response.end(await this.#metrics.readText());
    } else if (path === '/healthz') {
      response.writeHead(200).end('ok\n');
    } else if (path === '/readyz') {
      const ready = this.#isReady();
      response.writeHead(ready ? 200 : 503).end(ready ? 'ready\n' : 'not ready\n');
    } else if (this.#api && path?.startsWith('/v1/')) {
      await this.#api.serve(request, response);
    } else {
      response.writeHead(404).end('unknown path\n');
    }
  }
}
