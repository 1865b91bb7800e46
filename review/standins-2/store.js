/* global performance, setTimeout, clearTimeout, setInterval, Buffer, URL */
/** Stand-in of the platform's metadata store: keys, paged ranges, watches, transactions, leases. */
import { createServer } from 'node:http';

const pageItems = 50;
const historyMs = 20_000;
const leaseSweepMs = 200;

export class Store {
  #items = new Map();

  #history = [];

  #revision = 100;

  #leases = new Map();

  #nextLease = 1;

  #watchers = new Set();

  #server = createServer((request, response) => this.#serve(request, response));

  /** Called for each call with `request` and `body`; returning false leaves it unanswered. */
  gate = () => true;

  address = '';

  async listen(ip = '127.0.0.1') {
    await new Promise((resolve) => {
      this.#server.listen(0, ip, resolve);
    });
    this.address = `${ip}:${this.#server.address().port}`;
    setInterval(() => this.#expireLeases(), leaseSweepMs).unref();
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an item as an operator or a worker does; returns when the store has accepted it. */
  put(key, value) {
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.#notify();
    return performance.now();
  }

  remove(key) {
    this.#delete(key);
    this.#notify();
    return performance.now();
  }

  listKeys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  #write(key, value, lease) {
    this.#revision += 1;
    const previous = this.#items.get(key);
    const item = {
      key,
      value,
      revision: this.#revision,
      create_revision: previous?.create_revision ?? this.#revision,
      lease,
    };
    this.#items.set(key, item);
    this.#history.push({ at: performance.now(), event: item });
  }

  #delete(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    const event = { key, revision: this.#revision, deleted: true };
    this.#history.push({ at: performance.now(), event });
  }

  #notify() {
    [...this.#watchers].forEach((wake) => wake());
  }

  #expireLeases() {
    const now = performance.now();
    this.#leases.forEach((lease, id) => {
      if (lease.endsAt <= now) this.#endLease(id);
    });
  }

  #endLease(id) {
    if (!this.#leases.delete(id)) return false;
    [...this.#items.values()]
      .filter(({ lease }) => lease === id)
      .forEach(({ key }) => this.#delete(key));
    this.#notify();
    return true;
  }

  async #serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (!this.gate(request)) return;
    const text = Buffer.concat(chunks).toString();
    const [status, body] = await this.#answer(request, text === '' ? {} : JSON.parse(text));
    response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body));
  }

  async #answer(request, body) {
    const url = new URL(request.url, 'http://store');
    const query = (name) => url.searchParams.get(name) ?? '';
    const call = `${request.method} ${url.pathname}`;
    if (call === 'GET /-/kv-key') {
      const item = this.#items.get(query('key'));
      return [item ? 200 : 404, { ...item, current_rev: this.#revision }];
    }
    if (call === 'GET /-/kv-range') return [200, this.#range(query('prefix'), query('after'))];
    if (call === 'GET /-/kv-watch') {
      return this.#watch(query('prefix'), Number(query('after')), Number(query('wait_ms')));
    }
    if (call === 'POST /-/kv-txn') return this.#commit(body);
    if (call === 'POST /-/kv-lease') {
      const id = this.#nextLease;
      this.#nextLease += 1;
      const ttl = Math.min(600, Math.max(1, body.ttl_s_time));
      this.#leases.set(id, { ttl, endsAt: performance.now() + ttl * 1000 });
      return [200, { lease: id, ttl_s_time: ttl }];
    }
    const [, verb, id] = /^\/-\/(kv-keep|kv-lease-end)\/(\d+)$/.exec(url.pathname) ?? [];
    const lease = this.#leases.get(Number(id));
    if (!lease) return [404, {}];
    if (verb === 'kv-lease-end') this.#endLease(Number(id));
    else lease.endsAt = performance.now() + lease.ttl * 1000;
    return [200, { ttl_s_time: lease.ttl }];
  }

  #range(prefix, after) {
    const matching = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = matching.slice(0, pageItems);
    return { items, more_pages: matching.length > items.length, current_rev: this.#revision };
  }

  async #watch(prefix, after, waitMs) {
    const oldest = performance.now() - historyMs;
    const forgotten = this.#history.findLast(({ at }) => at < oldest);
    if (forgotten && after < forgotten.event.revision) return [410, {}];
    const find = () =>
      this.#history
        .map(({ event }) => event)
        .filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
    if (find().length === 0) {
      await new Promise((resolve) => {
        let timer;
        const wake = (isTimeUp = false) => {
          if (!isTimeUp && find().length === 0) return;
          clearTimeout(timer);
          this.#watchers.delete(wake);
          resolve();
        };
        timer = setTimeout(() => wake(true), waitMs);
        this.#watchers.add(wake);
      });
    }
    return [200, { events: find(), current_rev: this.#revision }];
  }

  #commit({ expected = [], puts = [], deletes = [] }) {
    const isMet = ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision;
    if (!expected.every(isMet)) {
      const items = expected.map(({ key }) => this.#items.get(key) ?? { key, revision: 0 });
      return [412, { items }];
    }
    const keys = [...puts.map(({ key }) => key), ...deletes];
    if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) return [403, {}];
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return [404, {}];
    puts.forEach(({ key, value, lease = 0 }) => this.#write(key, value, lease));
    deletes.forEach((key) => this.#delete(key));
    this.#notify();
    return [200, { revision: this.#revision }];
  }
}
