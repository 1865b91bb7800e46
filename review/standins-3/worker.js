import { Buffer } from 'node:buffer';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { Server as NetServer } from 'node:net';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const maxQueued = 6;
const heartbeatMs = 1500;

/** Time after which a crashed worker is back, in milliseconds. */
const restartMs = 3000;

/** Time between the first bytes of an answer and the crash of `crash-in-answer`, in milliseconds. */
const answerMs = 20;

/** Stand-in for a worker, with the headers that PROTOCOL.md has, and its registration. */
export class Worker {
  #server;

  #store;

  #sockets = new Set();

  #running = 0;

  #queue = [];

  #sequence = 0;

  #timer;

  #born = 0;

  /** Called for each request that begins to run; it may return `crash`. */
  #onRun;

  /** Called for each part of a body of a request that the worker accepts; it may return `crash`. */
  #onPart;

  /**
   * @param options - Id, service, zone, store, `workMs`, `slots` and `onRun({ worker, id, request,
   * body })`.
   */
  constructor(options) {
    this.id = options.id;
    this.service = options.service;
    this.zone = options.zone;
    this.slots = options.slots ?? 3;
    this.workMs = options.workMs ?? 20;
    this.version = options.version ?? 'v1';
    this.state = 'ready';
    this.#store = options.store;
    this.#onRun = options.onRun;
    this.#onPart = options.onPart;
  }

  async listen(port = 0) {
    this.#born = Date.now();
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    this.#server.listen(port, '127.0.0.1');
    await once(this.#server, 'listening');
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.#register();
    this.#timer = setInterval(() => this.#register(), heartbeatMs);
  }

  /** Reports that the worker leaves; it goes on serving. */
  drain() {
    this.state = 'draining';
    this.#register();
  }

  /** Refuses new channels, while open ones live on. */
  refuseChannels() {
    // That of the HTTP server would also close the idle ones.
    NetServer.prototype.close.call(this.#server);
  }

  /** Accepts channels again. */
  acceptChannels() {
    this.#server.listen(Number(this.address.split(':')[1]), '127.0.0.1');
  }

  /** Ends, as after its drain time. */
  leave() {
    this.close();
    this.#store.remove(`servers/${this.id}`);
  }

  close() {
    clearInterval(this.#timer);
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    this.#server.close();
  }

  #register() {
    this.#sequence += 1;
    this.#store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      capacity: this.slots,
      state: this.state,
      warmup_left_s: 0,
      sequence: this.#sequence,
      born: this.#born,
    });
  }

  /** Ends like a process that crashes, and starts again with the same id and address. */
  #crash() {
    const port = Number(this.address.split(':')[1]);
    this.close();
    this.#queue = [];
    this.#running = 0;
    setTimeout(() => {
      this.listen(port).catch(() => undefined);
    }, restartMs).unref();
  }

  #buildLoad() {
    return { 'Upstream-Load': `${this.#running},${this.#queue.length},${this.slots},100` };
  }

  async #serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
        const id = request.headers['attempt-id'];
        if (this.#onPart?.({ worker: this, id, request }) === 'crash') {
          this.#crash();
          return;
        }
      }
    } catch {
      return;
    }
    const { headers } = request;
    const load = this.#buildLoad();
    if (request.url === '/healthz') {
      response.writeHead(200, { 'Instance-Id': this.id, ...load }).end();
      return;
    }
    const id = headers['attempt-id'];
    const expected = headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Attempt-Id': id, 'Instance-Id': this.id }).end();
      return;
    }
    if (this.#running >= this.slots && this.#queue.length >= maxQueued) {
      response.writeHead(503, { 'Attempt-Id': id, 'Not-Executed': '1', ...load }).end();
      return;
    }
    if (this.#running >= this.slots) {
      await new Promise((resolve) => {
        this.#queue.push(resolve);
      });
    }
    if (response.destroyed) {
      this.#startNext();
      return;
    }
    this.#running += 1;
    const effect = this.#onRun({ worker: this, id, request, body: Buffer.concat(chunks) });
    if (effect === 'crash-in-answer') await this.#beginAnswer(response, id);
    if (effect) {
      this.#crash();
      return;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, this.workMs);
    });
    this.#running = Math.max(0, this.#running - 1);
    this.#startNext();
    const body = `${this.id} ran ${id}`;
    response
      .writeHead(200, {
        'Attempt-Id': id,
        'Upstream-Signature': `${this.id}.1`,
        'Content-Length': body.length,
        ...this.#buildLoad(),
      })
      .end(body);
  }

  /** Sends the head and the first bytes of an answer. */
  async #beginAnswer(response, id) {
    response.writeHead(200, {
      'Attempt-Id': id,
      'Upstream-Signature': `${this.id}.1`,
      'Content-Length': 4000,
      ...this.#buildLoad(),
    });
    response.write('x'.repeat(1000));
    await new Promise((resolve) => {
      setTimeout(resolve, answerMs);
    });
  }

  #startNext() {
    this.#queue.shift()?.();
  }
}
