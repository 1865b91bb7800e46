import { EventEmitter } from 'node:events';
import { appendFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { z } from 'zod';
import { readBody, sendJson } from './http.js';

/** Faults that tests switch on while the endpoint runs. */
const faultSchema = z.object({
  /** Multiplies the time that calls take. */
  slowdown: z.number().min(0).max(1000).default(1),
  /** Answers every call at once with this status; 0 for none. */
  failStatus: z.number().int().min(0).max(599).default(0),
  /** Reports this number of busy slots instead of the true one; -1 for the truth. */
  falseReport: z.number().int().min(-1).default(-1),
  /** Open connections stay open and carry nothing more; new ones work. */
  silenceOpen: z.boolean().default(false),
  /** Cuts each answer after half of its body. */
  truncate: z.boolean().default(false),
  draining: z.boolean().default(false),
  /** Calls take this many times longer at first, falling to 1 over `coldMs`. */
  coldFactor: z.number().min(1).max(1000).default(1),
  coldMs: z.number().min(0).max(600_000).default(0),
});

type Faults = z.infer<typeof faultSchema>;

/** One line of the ledger: a call that has begun to run, and so may have taken effect. */
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
  /** File to which each line of the ledger is added, so that it outlives the process. */
  readonly ledger?: string | undefined;
}

interface Work {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly body: Buffer;
}

const maxWorkMs = 600_000;

/**
 * The endpoint stand-in. A call may say how long it runs (`ms`), how large its answer is
 * (`bytes`) and that it crashes the endpoint (`crash`), in its query. Emits `crash`.
 */
export class EndpointServer extends EventEmitter {
  readonly #options: EndpointOptions;

  readonly #server: Server;

  readonly #silenced = new WeakSet<Socket>();

  readonly #sockets = new Set<Socket>();

  #faults: Faults = faultSchema.parse({});

  #coldSince = Date.now();

  #waiting: Work[] = [];

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
   * Starts to listen.
   *
   * @returns The port.
   */
  async open(ip: string, port: number): Promise<number> {
    await new Promise<void>((resolve) => {
      this.#server.listen(port, ip, resolve);
    });
    return (this.#server.address() as { port: number }).port;
  }

  /** Stops and cuts all connections. */
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
    // The connection stays open and no answer is ever sent.
    if (this.#silenced.has(request.socket)) return;
    if (url.pathname === '/.well-known/load') {
      this.#counts.probes += 1;
      sendJson(response, 200, this.#readLoad());
      return;
    }
    this.#counts.calls += 1;
    if (this.#faults.draining || this.#waiting.length >= this.#options.queue) {
      this.#counts.shed += 1;
      this.#addReport(response);
      if (this.#faults.draining) response.setHeader('connection', 'close');
      response.setHeader('retry-after', '1');
      response.setHeader('x-request-outcome', 'not-run');
      sendJson(response, 503, { error: 'no capacity' });
      return;
    }
    if (this.#faults.failStatus > 0) {
      this.#addReport(response);
      sendJson(response, this.#faults.failStatus, { error: 'failing' });
      return;
    }
    this.#waiting.push({ request, response, url, body });
    this.#startNext();
  }

  #startNext(): void {
    while (this.#running < this.#options.slots) {
      const work = this.#waiting.shift();
      if (!work) return;
      if (work.response.destroyed) continue;
      this.#running += 1;
      void this.#run(work).finally(() => {
        this.#running -= 1;
        this.#startNext();
      });
    }
  }

  async #run({ request, response, url, body }: Work): Promise<void> {
    this.#record({
      key: String(request.headers['idempotency-key'] ?? url.searchParams.get('key') ?? ''),
      requestId: String(request.headers['x-request-id'] ?? ''),
      path: url.pathname,
      startedAt: Date.now(),
    });
    if (url.searchParams.has('crash')) {
      this.emit('crash');
      return;
    }
    const asked = Number(url.searchParams.get('ms') ?? this.#options.workMs);
    const workMs = Math.min(asked, maxWorkMs) * this.#faults.slowdown * this.#readColdFactor();
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, workMs);
      // A caller that leaves cancels the work and frees the slot.
      response.on('close', () => {
        clearTimeout(timer);
        resolve();
      });
    });
    if (response.destroyed || this.#silenced.has(request.socket)) return;
    this.#answer(request, response, url, body);
  }

  #record(line: LedgerLine): void {
    this.#ledger.push(line);
    const { ledger } = this.#options;
    // Written at once: a killed process must leave no run out.
    if (ledger !== undefined) appendFileSync(ledger, `${JSON.stringify(line)}\n`);
  }

  #answer(request: IncomingMessage, response: ServerResponse, url: URL, body: Buffer): void {
    const wanted = Number(url.searchParams.get('bytes') ?? 0);
    const text = JSON.stringify({
      endpoint: this.#options.name,
      requestId: request.headers['x-request-id'],
      method: request.method,
      path: url.pathname,
      received: body.length,
    });
    const answer = Buffer.from(text.padEnd(Math.min(wanted, 2 ** 26), ' '));
    this.#addReport(response);
    if (this.#faults.draining) response.setHeader('connection', 'close');
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': answer.length,
    });
    if (!this.#faults.truncate) {
      response.end(answer);
      return;
    }
    response.write(answer.subarray(0, answer.length / 2), () => response.destroy());
  }

  #addReport(response: ServerResponse): void {
    response.setHeader('endpoint-load-metrics', `JSON ${JSON.stringify(this.#readLoad())}`);
  }

  #readLoad(): unknown {
    const busy = this.#faults.falseReport >= 0 ? this.#faults.falseReport : this.#running;
    return {
      cpu_utilization: Math.min(1, busy / this.#options.slots),
      named_metrics: {
        slots_in_use: busy,
        queued: this.#waiting.length,
        draining: this.#faults.draining ? 1 : 0,
      },
    };
  }

  #readColdFactor(): number {
    const { coldFactor, coldMs } = this.#faults;
    const passed = (Date.now() - this.#coldSince) / coldMs;
    return passed < 1 ? coldFactor + (1 - coldFactor) * passed : 1;
  }

  #serveControl(path: string, method: string, body: Buffer, response: ServerResponse): void {
    if (path === '/standin/faults' && method === 'PUT') {
      const parsed = faultSchema.safeParse(JSON.parse(body.toString()));
      if (!parsed.success) {
        sendJson(response, 400, { error: z.prettifyError(parsed.error) });
        return;
      }
      this.#faults = parsed.data;
      this.#coldSince = Date.now();
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
