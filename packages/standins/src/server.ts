import { EventEmitter } from 'node:events';
import { appendFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { z } from 'zod';
import { readBody, sendJson } from './http.js';

/** Faults that tests set while the stand-in runs. */
const faultSchema = z.object({
  /** Factor of the service time of calls. */
  slowdown: z.number().min(0).max(1000).default(1),
  /** Status of an immediate response to every call; 0 disables the fault. */
  failStatus: z.number().int().min(0).max(599).default(0),
  /** Number of busy slots that load reports state; -1 reports the actual number. */
  falseReport: z.number().int().min(-1).default(-1),
  /** Sends no further responses on connections that are open now; new connections work. */
  silenceOpen: z.boolean().default(false),
  /** Closes the connection after half of each response body. */
  truncate: z.boolean().default(false),
  draining: z.boolean().default(false),
  /** Initial factor of the service time, which falls linearly to 1 within `coldMs`. */
  coldFactor: z.number().min(1).max(1000).default(1),
  coldMs: z.number().min(0).max(600_000).default(0),
});

type Faults = z.infer<typeof faultSchema>;

/** Line of the ledger: a call whose execution has begun, so that it may have taken effect. */
export interface LedgerLine {
  readonly key: string;
  readonly requestId: string;
  readonly path: string;
  readonly startedAt: number;
}

export interface EndpointOptions {
  readonly name: string;
  readonly slots: number;
  readonly queue: number;
  readonly workMs: number;
  readonly connections: number;
  readonly acceptMs: number;
  /** File to which the lines of the ledger are appended, so that they outlive the process. */
  readonly ledger?: string | undefined;
}

interface QueuedCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly body: Buffer;
}

const maxWorkMs = 600_000;

/**
 * HTTP server of the endpoint stand-in. Query parameters of a call set its service time in
 * milliseconds (`ms`) and the size of its response (`bytes`), or crash the endpoint (`crash`), for
 * which the server emits the event `crash`.
 */
export class EndpointServer extends EventEmitter {
  readonly #options: EndpointOptions;

  readonly #server: Server;

  readonly #silenced = new WeakSet<Socket>();

  readonly #sockets = new Set<Socket>();

  #faults: Faults = faultSchema.parse({});

  #warmupStartedAt = Date.now();

  #queue: QueuedCall[] = [];

  #running = 0;

  #ledger: LedgerLine[] = [];

  #counts = { calls: 0, shed: 0, probes: 0 };

  constructor(options: EndpointOptions) {
    super();
    this.#options = options;
    this.#server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.on('connection', (socket) => this.#accept(socket));
  }

  /**
   * Starts listening.
   *
   * @returns The port.
   */
  async open(ip: string, port: number): Promise<number> {
    await new Promise<void>((resolve) => {
      this.#server.listen(port, ip, resolve);
    });
    return (this.#server.address() as { port: number }).port;
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #accept(socket: Socket): void {
    if (this.#sockets.size >= this.#options.connections) {
      socket.destroy();
      return;
    }
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    if (this.#options.acceptMs > 0) {
      socket.pause();
      setTimeout(() => socket.resume(), this.#options.acceptMs);
    }
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://endpoint');
    const body = await readBody(request);
    if (url.pathname.startsWith('/standin/')) {
      this.#serveControl(url.pathname, request.method ?? '', body, response);
      return;
    }
    // A silenced connection stays open without a response.
    if (this.#silenced.has(request.socket)) return;
    if (url.pathname === '/.well-known/load') {
      this.#counts.probes += 1;
      sendJson(response, 200, this.#makeLoadReport());
      return;
    }
    this.#counts.calls += 1;
    if (this.#faults.draining || this.#queue.length >= this.#options.queue) {
      this.#counts.shed += 1;
      this.#setLoadHeader(response);
      if (this.#faults.draining) response.setHeader('connection', 'close');
      response.setHeader('retry-after', '1');
      response.setHeader('x-request-outcome', 'not-run');
      sendJson(response, 503, { error: 'no capacity' });
      return;
    }
    if (this.#faults.failStatus > 0) {
      this.#setLoadHeader(response);
      sendJson(response, this.#faults.failStatus, { error: 'failing' });
      return;
    }
    this.#queue.push({ request, response, url, body });
    this.#startQueuedCalls();
  }

  #startQueuedCalls(): void {
    while (this.#running < this.#options.slots) {
      const call = this.#queue.shift();
      if (!call) return;
      if (call.response.destroyed) continue;
      this.#running += 1;
      void this.#executeCall(call).finally(() => {
        this.#running -= 1;
        this.#startQueuedCalls();
      });
    }
  }

  async #executeCall({ request, response, url, body }: QueuedCall): Promise<void> {
    this.#recordExecution({
      key: String(request.headers['idempotency-key'] ?? url.searchParams.get('key') ?? ''),
      requestId: String(request.headers['x-request-id'] ?? ''),
      path: url.pathname,
      startedAt: Date.now(),
    });
    if (url.searchParams.has('crash')) {
      this.emit('crash');
      return;
    }
    const requestedMs = Number(url.searchParams.get('ms') ?? this.#options.workMs);
    const workMs =
      Math.min(requestedMs, maxWorkMs) * this.#faults.slowdown * this.#computeColdFactor();
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, workMs);
      // A disconnected caller cancels the call, which frees the slot.
      response.on('close', () => {
        clearTimeout(timer);
        resolve();
      });
    });
    if (response.destroyed || this.#silenced.has(request.socket)) return;
    this.#sendAnswer(request, response, url, body);
  }

  #recordExecution(line: LedgerLine): void {
    this.#ledger.push(line);
    const { ledger } = this.#options;
    // Written synchronously, so that no executed call is missing when the process is killed.
    if (ledger !== undefined) appendFileSync(ledger, `${JSON.stringify(line)}\n`);
  }

  #sendAnswer(request: IncomingMessage, response: ServerResponse, url: URL, body: Buffer): void {
    const requestedBytes = Number(url.searchParams.get('bytes') ?? 0);
    const text = JSON.stringify({
      endpoint: this.#options.name,
      requestId: request.headers['x-request-id'],
      method: request.method,
      path: url.pathname,
      received: body.length,
    });
    const payload = Buffer.from(text.padEnd(Math.min(requestedBytes, 2 ** 26), ' '));
    this.#setLoadHeader(response);
    if (this.#faults.draining) response.setHeader('connection', 'close');
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': payload.length,
    });
    if (!this.#faults.truncate) {
      response.end(payload);
      return;
    }
    response.write(payload.subarray(0, payload.length / 2), () => response.destroy());
  }

  #setLoadHeader(response: ServerResponse): void {
    response.setHeader('endpoint-load-metrics', `JSON ${JSON.stringify(this.#makeLoadReport())}`);
  }

  #makeLoadReport(): unknown {
    const busySlots = this.#faults.falseReport >= 0 ? this.#faults.falseReport : this.#running;
    return {
      cpu_utilization: Math.min(1, busySlots / this.#options.slots),
      named_metrics: {
        slots_in_use: busySlots,
        queued: this.#queue.length,
        draining: this.#faults.draining ? 1 : 0,
      },
    };
  }

  #computeColdFactor(): number {
    const { coldFactor, coldMs } = this.#faults;
    const elapsedShare = (Date.now() - this.#warmupStartedAt) / coldMs;
    return elapsedShare < 1 ? coldFactor + (1 - coldFactor) * elapsedShare : 1;
  }

  #serveControl(path: string, method: string, body: Buffer, response: ServerResponse): void {
    if (path === '/standin/faults' && method === 'PUT') {
      const parsed = faultSchema.safeParse(JSON.parse(body.toString()));
      if (!parsed.success) {
        sendJson(response, 400, { error: z.prettifyError(parsed.error) });
        return;
      }
      this.#faults = parsed.data;
      this.#warmupStartedAt = Date.now();
      if (this.#faults.silenceOpen) {
        this.#sockets.forEach((socket) => this.#silenced.add(socket));
        this.#silenced.delete(response.req.socket);
      }
      sendJson(response, 200, this.#faults);
    } else if (path === '/standin/ledger') {
      sendJson(response, 200, this.#ledger);
    } else if (path === '/standin/counts') {
      const connections = this.#sockets.size;
      sendJson(response, 200, { ...this.#counts, running: this.#running, connections });
    } else {
      response.writeHead(404).end();
    }
  }
}
