import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { createServer } from 'node:http';

/** Items on one page of a listing. */
const pageSize = 500;

/**
 * Stand-in for the platform's metadata store: items, paged listings, watches, conditional writes and
 * leases. It is never impaired.
 */
export class Store {
  #items = new Map();

  #history = [];

  #watchers = new Set();

  #leases = new Map();

  #revision = 10;

  #lastLease = 100;

  #server;

  address = '';

  /** @param {string} ip - Loopback address to listen on. */
  async listen(ip) {
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    await new Promise((resolve) => {
      this.#server.listen(0, ip, resolve);
    });
    this.address = `${ip}:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
    this.#leases.forEach((timer) => clearTimeout(timer));
  }

  /** Writes an item as the operator and the workers do; returns its revision, the ack. */
  put(key, value, lease = 0) {
    this.#revision += 1;
    const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
    const created = this.#items.get(key)?.create_revision ?? this.#revision;
    const item = {
      key,
      value: bytes.toString('base64'),
      revision: this.#revision,
      create_revision: created,
      lease,
    };
    this.#items.set(key, item);
    this.#record(item);
    return this.#revision;
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#record({ key, revision: this.#revision, deleted: true });
  }

  /** Keys that begin with a prefix. */
  listKeys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  #record(event) {
    this.#history.push(event);
    [...this.#watchers].forEach((notify) => notify());
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : {};
    const url = new URL(request.url, 'http://store');
    const [status, value] = await this.#answer(`${request.method} ${url.pathname}`, url, body);
    if (response.destroyed) return;
    response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(value));
  }

  async #answer(call, url, body) {
    const query = (name) => url.searchParams.get(name) ?? '';
    if (call === 'GET /-/kv-key') {
      const item = this.#items.get(query('key'));
      return [item ? 200 : 404, { ...item, current_rev: this.#revision }];
    }
    if (call === 'GET /-/kv-range') {
      const matching = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(query('prefix')) && key > query('after'))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const items = matching.slice(0, pageSize);
      const hasMore = matching.length > items.length;
      return [200, { items, more_pages: hasMore, current_rev: this.#revision }];
    }
    if (call === 'GET /-/kv-watch') {
      return this.#watch(query('prefix'), Number(query('after')), Number(query('wait_ms')));
    }
    if (call === 'POST /-/kv-txn') return this.#commit(body);
    if (call === 'POST /-/kv-lease') return this.#createLease(body.ttl_s_time);
    return [404, {}];
  }

  async #watch(prefix, after, waitMs) {
    const findEvents = () =>
      this.#history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
    if (findEvents().length === 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        const notify = () => {
          if (findEvents().length === 0) return;
          clearTimeout(timer);
          this.#watchers.delete(notify);
          resolve();
        };
        this.#watchers.add(notify);
      });
    }
    return [200, { events: findEvents(), current_rev: this.#revision }];
  }

  #commit({ expected = [], puts = [], deletes = [] }) {
    const isMet = ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision;
    if (!expected.every(isMet)) {
      const items = expected.flatMap(({ key }) => this.#items.get(key) ?? []);
      return [412, { items }];
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return [404, {}];
    puts.forEach(({ key, value, lease = 0 }) => this.put(key, Buffer.from(value, 'base64'), lease));
    deletes.forEach((key) => this.remove(key));
    return [200, { revision: this.#revision }];
  }

  #createLease(seconds) {
    this.#lastLease += 1;
    const lease = this.#lastLease;
    const timer = setTimeout(() => {
      this.#leases.delete(lease);
      [...this.#items.values()]
        .filter((item) => item.lease === lease)
        .forEach(({ key }) => this.remove(key));
    }, seconds * 1000);
    this.#leases.set(lease, timer);
    return [200, { lease, ttl_s_time: seconds }];
  }
}
