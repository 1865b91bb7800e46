import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Metrics } from '@dotterelpass/telemetry';
import type { OperatorApi } from './api.js';

/** A client that has not sent its whole request by then is cut off. */
const requestTimeoutMs = 10_000;

/** The HTTP server for operators: metrics and health, commands and queries. */
export class OperatorServer {
  readonly #server: Server;

  readonly #metrics: Metrics;

  readonly #isReady: () => boolean;

  readonly #desk: OperatorApi | undefined;

  /**
   * @param metrics - What `/metrics` shows.
   * @param isReady - What `/readyz` says.
   * @param desk - What serves the paths below `/v1/`, which need the operators' token.
   */
  constructor(metrics: Metrics, isReady: () => boolean, desk?: OperatorApi) {
    this.#metrics = metrics;
    this.#isReady = isReady;
    this.#desk = desk;
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.requestTimeout = requestTimeoutMs;
  }

  /**
   * Starts to listen.
   *
   * @returns The port.
   */
  async open(ip: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops and cuts open connections. */
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
    } else if (this.#desk && path?.startsWith('/v1/')) {
      await this.#desk.serve(request, response);
    } else {
      response.writeHead(404).end('unknown path\n');
    }
  }
}
