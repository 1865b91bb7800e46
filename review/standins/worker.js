import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setImmediate, setInterval, setTimeout } from 'node:timers';
import { createServer } from 'node:http';

/** Requests that a worker takes beyond its slots. */
const queueLength = 6;

const heartbeatMs = 1500;

/** Chunks of an answer without end that are written at a time. */
const chunksAtOnce = 8000;

/** Time after which a worker that has rejected a long request early reads on. */
const readOnMs = 50;

/** Time for which an idle channel stays open; announced in `Keep-Alive`. */
const idleSeconds = 10;

/**
 * Stand-in for a sound worker: it registers itself, runs as many requests at a time as it has slots,
 * queues a few, rejects the others with `Not-Executed`, and signs its answers.
 */
export class Worker {
  #options;

  #server;

  #sockets = new Set();

  #waiting = [];

  #running = 0;

  #sequence = 0;

  #timer;

  #lifetime = 0;

  #isUp = false;

  #address;

  id = '';

  /**
   * @param {object} options
   * @param {object} options.store - The store.
   * @param {string} options.name - Used in the ids of the lifetimes.
   * @param {string} options.service
   * @param {string} options.zone
   * @param {string} options.ip - Loopback address to listen on.
   * @param {number} options.slots
   * @param {Function} options.pickWorkMs - Returns how long a request takes.
   * @param {Function} options.pickBytes - Returns the length of the answer to a request.
   * @param {Function} options.onRun - Called with each request that begins to run.
   * @param {Function} options.crashes - Whether a request crashes the worker.
   * @param {Function} options.rejectsEarly - Whether the worker rejects a request before it has read
   * the body; it keeps the channel and reads on later.
   * @param {Function} options.answersEndlessly - Whether the body of the answer has no end.
   */
  constructor(options) {
    this.#options = {
      crashes: () => false,
      rejectsEarly: () => false,
      answersEndlessly: () => false,
      pickBytes: () => 400,
      ...options,
    };
  }

  get zone() {
    return this.#options.zone;
  }

  get address() {
    return this.#address;
  }

  /** Starts a lifetime; a later one listens on the same address. */
  async start() {
    const { ip, name } = this.#options;
    this.#lifetime += 1;
    this.id = `i-${name}-${this.#lifetime}`;
    this.#sequence = 0;
    this.#running = 0;
    this.#waiting = [];
    this.#server = createServer({ keepAliveTimeout: idleSeconds * 1000 }, (request, response) => {
      void this.#serve(request, response);
    });
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    const port = this.#address ? Number(this.#address.split(':')[1]) : 0;
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
    this.#address = `${ip}:${this.#server.address().port}`;
    this.#isUp = true;
    const born = Date.now();
    const beat = () => this.#register(born);
    beat();
    this.#timer = setInterval(beat, heartbeatMs);
  }

  /** Ends the lifetime as a crash does: all channels are reset, and the port is closed. */
  crash() {
    if (!this.#isUp) return;
    this.#isUp = false;
    clearInterval(this.#timer);
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    // The platform removes the entry after three liveness report intervals of silence.
    const { id } = this;
    setTimeout(() => this.#options.store.remove(`servers/${id}`), 3 * heartbeatMs).unref();
  }

  /** Crashes, and starts a new lifetime after a time. */
  async crashFor(ms) {
    this.crash();
    await new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
    await this.start();
  }

  close() {
    clearInterval(this.#timer);
    this.#isUp = false;
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  #register(born) {
    const { store, service, zone, slots } = this.#options;
    this.#sequence += 1;
    store.put(`servers/${this.id}`, {
      service,
      address: this.#address,
      zone,
      version: 'v1',
      capacity: slots,
      state: 'ready',
      warmup_left_s: 0,
      sequence: this.#sequence,
      born,
    });
  }

  get #load() {
    return `${this.#running},${this.#waiting.length},${this.#options.slots},100`;
  }

  async #serve(request, response) {
    const attempt = request.headers['attempt-id'];
    const common = {
      'Instance-Id': this.id,
      'Upstream-Load': this.#load,
      ...(attempt === undefined ? {} : { 'Attempt-Id': attempt }),
    };
    if (request.url === '/healthz') {
      response.writeHead(200, common).end();
      return;
    }
    const { slots, onRun, crashes, pickWorkMs, pickBytes, rejectsEarly, answersEndlessly } =
      this.#options;
    if (attempt !== undefined && rejectsEarly(request)) {
      this.#rejectEarly(request, response, common);
      return;
    }
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (attempt === undefined) {
      response.writeHead(400, { ...common, 'Not-Executed': '1' }).end();
      return;
    }
    const expected = request.headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...common, 'Not-Executed': '1' }).end();
      return;
    }
    if (this.#running >= slots && this.#waiting.length >= queueLength) {
      response.writeHead(503, { ...common, 'Not-Executed': '1' }).end();
      return;
    }
    const { id } = this;
    if (this.#running >= slots) await this.#waitForSlot(response);
    if (response.destroyed || id !== this.id || !this.#isUp) return;
    this.#running += 1;
    const run = {
      worker: id,
      attempt,
      method: request.method,
      path: request.url,
      bytes: Buffer.concat(chunks).length,
      deadlineMs: Number(request.headers['deadline-ms']),
      at: performance.now(),
    };
    onRun(run);
    if (crashes(run)) {
      run.crashed = true;
      void this.crashFor(3000);
      return;
    }
    await this.#work(response, pickWorkMs(run));
    this.#release(id);
    run.endedAt = performance.now();
    if (response.destroyed || id !== this.id) return;
    if (answersEndlessly(run)) {
      this.#answerEndlessly(response, { ...common, 'Upstream-Signature': `${id}.${attempt}` });
      return;
    }
    const body = Buffer.alloc(pickBytes(run), id);
    response
      .writeHead(200, {
        ...common,
        'Upstream-Load': this.#load,
        'Upstream-Signature': `${id}.${attempt}`,
        'Content-Length': body.length,
        'Keep-Alive': `timeout=${idleSeconds}`,
      })
      .end(body);
  }

  /** Rejects a request before its body is in, and reads the rest of the body a little later. */
  #rejectEarly(request, response, common) {
    const body = Buffer.from('the request is too long');
    const signature = `${this.id}.${common['Attempt-Id']}`;
    const headers = { ...common, 'Upstream-Signature': signature, 'Content-Length': body.length };
    response.writeHead(413, headers).end(body);
    setTimeout(() => request.resume(), readOnMs);
  }

  /** Sends one byte in a chunk, again and again, until the caller closes the channel. */
  #answerEndlessly(response, headers) {
    response.writeHead(200, headers);
    response.flushHeaders();
    const { socket } = response;
    const bytes = Buffer.from('1\r\nx\r\n'.repeat(chunksAtOnce));
    const write = () => {
      if (!socket.destroyed) socket.write(bytes, () => setImmediate(write));
    };
    write();
  }

  /** Works until the time is over or the channel closes. */
  async #work(response, ms) {
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      response.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  async #waitForSlot(response) {
    await new Promise((resolve) => {
      this.#waiting.push(resolve);
      response.once('close', () => {
        const index = this.#waiting.indexOf(resolve);
        if (index >= 0) this.#waiting.splice(index, 1);
        resolve();
      });
    });
  }

  #release(id) {
    if (id !== this.id) return;
    this.#running -= 1;
    this.#waiting.shift()?.();
  }
}
