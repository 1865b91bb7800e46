import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { LogFields, Metrics } from '@dotterelpass/telemetry';
import { formatFleet } from './summary.js';
import type { FleetAnswer } from './summary.js';

const metricsPath = '/metrics';
const statusPath = '/v1/status';
const fleetPath = '/v1/fleet';
const fleetTablePath = '/v1/fleet?format=table';
const requestPrefix = '/v1/requests/';

export interface OperatorOptions {
  readonly metrics: Metrics;
  readStatus(): LogFields;
  /** Asks all instances which configuration and settings are in force there. */
  collectFleet(): Promise<readonly FleetAnswer[]>;
  findRequest(id: string): LogFields | undefined;
}

/** HTTP server for operators: metrics, status of this instance, and details of failed requests. */
export class OperatorServer {
  readonly #options: OperatorOptions;

  readonly #server: Server;

  constructor(options: OperatorOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      void this.#handleRequest(request, response);
    });
  }

  /** @param port - Port to listen on; 0 for any free port. */
  async listen(ip: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
  }

  close(): void {
    this.#server.close();
  }

  async #handleRequest(
    { url = '', method }: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (method !== 'GET') {
      sendJson(response, 405, { error: `method ${method} is not allowed; use GET` });
    } else if (url === metricsPath) {
      response.end(await this.#options.metrics.readText());
    } else if (url === statusPath) sendJson(response, 200, this.#options.readStatus());
    else if (url === fleetPath) {
      sendJson(response, 200, { instances: await this.#options.collectFleet() });
    } else if (url === fleetTablePath) {
      response.end(formatFleet(await this.#options.collectFleet()));
    } else if (url.startsWith(requestPrefix)) this.#sendRequest(url, response);
    else {
      const known = [metricsPath, statusPath, fleetPath, fleetTablePath, `${requestPrefix}ID`];
      const paths = known.join(', ');
      sendJson(response, 404, { error: `unknown path ${url}; known paths are ${paths}` });
    }
  }

  #sendRequest(url: string, response: ServerResponse): void {
    const id = url.slice(requestPrefix.length);
    const found = this.#options.findRequest(id);
    if (found) sendJson(response, 200, found);
    else
      sendJson(response, 404, {
        error: `request ${id} is not among the last failed requests of this instance`,
      });
  }
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
