/* global performance, setTimeout, clearTimeout, setInterval, clearInterval, Buffer */
/** Stand-in of a worker: slots and a queue, ids, signatures, load reports, a heartbeat in the store. */
import { createServer } from 'node:http';

const heartbeatMs = 1500;

export class Worker {
  #server;

  #sockets = new Set();

  #running = 0;

  #queue = [];

  #sequence = 0;

  #timer;

  #options;

  address = '';

  born = 0;

  /** Requests that the worker has begun to run: `id`, `path`, `at`, `bytes` and `endedAt`. */
  runs = [];

  /** All requests but liveness checks, as they arrive: `id`, `path`, `at`. */
  arrivals = [];

  probes = 0;

  /**
   * @param store - The store in which it registers.
   * @param options - `id`, `service`, `zone`, `slots`, `queue`, `workMs` (number or function of the
   * request), `onRun` (called before a request runs; true when it has dealt with it), `answer` (body of the answer
   * to a request), `extra`.
   */
  constructor(store, options) {
    this.store = store;
    this.#options = { slots: 3, queue: 6, workMs: 30, zone: 'z1', extra: {}, ...options };
  }

  get id() {
    return this.#options.id;
  }

  async start(port = 0) {
    this.#running = 0;
    this.#queue = [];
    this.#sequence = 0;
    this.born = Date.now();
    this.#server = createServer((request, response) => this.#serve(request, response));
    this.#server.keepAliveTimeout = 10_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => {
      this.#server.listen(port, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.register();
    this.#timer = setInterval(() => this.register(), heartbeatMs);
  }

  /** Writes the registration; `fields` replace or add some of it. */
  register(fields = {}) {
    const { id, service, zone, slots, extra } = this.#options;
    this.#sequence += 1;
    return this.store.put(`servers/${id}`, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      capacity: slots,
      state: 'ready',
      warmup_left_s: 0,
      sequence: this.#sequence,
      born: this.born,
      ...extra,
      ...fields,
    });
  }

  /** Ends as a process that crashes: connections are reset and the port has no listener. */
  crash() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    this.#queue = [];
  }

  stop() {
    if (!this.#server) return;
    clearInterval(this.#timer);
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #load() {
    return `${this.#running},${this.#queue.length},${this.#options.slots},100`;
  }

  async #serve(request, response) {
    const { id, slots, queue, health = '/healthz' } = this.#options;
    if (request.url === health) {
      this.probes += 1;
      response.writeHead(200, { 'Instance-Id': id, 'Upstream-Load': this.#load() }).end();
      return;
    }
    const attempt = request.headers['attempt-id'];
    const arrival = { id: attempt, path: request.url, at: performance.now() };
    this.arrivals.push(arrival);
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      arrival.isCut = true;
      return;
    }
    const call = { request, response, attempt, body: Buffer.concat(chunks) };
    const refuse = (status) =>
      response
        .writeHead(status, {
          'Attempt-Id': attempt,
          'Not-Executed': '1',
          'Instance-Id': id,
          'Upstream-Load': this.#load(),
        })
        .end();
    const expected = request.headers['expected-instance'];
    if (expected !== undefined && expected !== id) refuse(421);
    else if (this.#running < slots) this.#run(call);
    else if (this.#queue.length < queue) this.#queue.push(call);
    else refuse(503);
  }

  #run(call) {
    const { request, response, attempt, body } = call;
    if (request.socket.destroyed) {
      this.#runNext();
      return;
    }
    const { id, workMs, onRun, answer } = this.#options;
    const run = { id: attempt, path: request.url, at: performance.now(), bytes: body.length };
    run.tenant = request.headers['tenant-id'];
    this.runs.push(run);
    if (onRun?.(call, this)) return;
    this.#running += 1;
    const ms = typeof workMs === 'function' ? workMs(request) : workMs;
    let timer;
    const end = () => {
      clearTimeout(timer);
      if (run.endedAt !== undefined) return;
      run.endedAt = performance.now();
      this.#running -= 1;
      this.#runNext();
    };
    timer = setTimeout(() => {
      end();
      response
        .writeHead(200, {
          'Attempt-Id': attempt,
          'Upstream-Signature': `${id}.${attempt}`,
          'Instance-Id': id,
          'Upstream-Load': this.#load(),
        })
        .end(answer?.(request) ?? `${id} has run ${attempt}`);
    }, ms);
    // The request is dropped when its channel closes.
    response.on('close', end);
  }

  #runNext() {
    const next = this.#queue.shift();
    if (next) this.#run(next);
  }
}
