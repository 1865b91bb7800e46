import { Buffer } from 'node:buffer';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const maxPageItems = 500;

/**
 * Stand-in for the platform's store: items, pages, watches, conditional writes and leases, as
 * PROTOCOL.md has them. Reads with `allow_stale=1` may be answered from an earlier state.
 */
export class Store {
  #server = createServer((request, response) => {
    void this.#serve(request, response);
  });

  #items = new Map();

  #history = [];

  #revision = 10;

  #leases = new Map();

  #watchers = new Set();

  #staleMs = 0;

  /** `up`, `busy` (503) or `silent`. */
  mode = 'up';

  address = '';

  async listen(ip = '127.0.0.1') {
    this.#server.listen(0, ip);
    await once(this.#server, 'listening');
    this.address = `${ip}:${this.#server.address().port}`;
  }

  /** @param ms - Age of the state from which stale reads are answered, in milliseconds. */
  setStaleness(ms) {
    this.#staleMs = ms;
  }

  close() {
    this.#leases.forEach(({ timer }) => clearTimeout(timer));
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes an item as operators and workers do. The return is the acknowledgement. */
  put(key, value, lease = 0) {
    this.#revision += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const item = {
      key,
      value: Buffer.from(text).toString('base64'),
      revision: this.#revision,
      create_revision: this.#items.get(key)?.create_revision ?? this.#revision,
      lease,
    };
    this.#items.set(key, item);
    this.#record(item);
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#record({ key, revision: this.#revision, deleted: true });
  }

  list(prefix) {
    return [...this.#items.values()].filter(({ key }) => key.startsWith(prefix));
  }

  #record(event) {
    this.#history.push({ ...event, at: performance.now() });
    this.#watchers.forEach((notify) => notify());
  }

  /** The items as they were some time ago. */
  #buildStaleItems() {
    const until = performance.now() - this.#staleMs;
    const items = new Map();
    this.#history
      .filter(({ at }) => at <= until)
      .forEach(({ at, ...event }) => {
        if (event.deleted) items.delete(event.key);
        else items.set(event.key, event);
      });
    return items;
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.mode === 'silent') return;
    if (this.mode === 'busy') {
      response.writeHead(503).end();
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const url = new URL(request.url, 'http://store');
    const [status, body] = await this.#handle(request.method, url, text ? JSON.parse(text) : {});
    if (response.destroyed || this.mode !== 'up') return;
    const bytes = Buffer.from(JSON.stringify(body));
    const headers = { 'Content-Type': 'application/json', 'Content-Length': bytes.length };
    response.writeHead(status, headers).end(bytes);
  }

  async #handle(method, { pathname, searchParams }, body) {
    const call = `${method} ${pathname}`;
    const query = (name) => searchParams.get(name) ?? '';
    if (call === 'GET /-/kv-key') {
      const item = this.#items.get(query('key'));
      return [item ? 200 : 404, { ...item, current_rev: this.#revision }];
    }
    if (call === 'GET /-/kv-range') return this.#list(query);
    if (call === 'GET /-/kv-watch') {
      return this.#watch(query('prefix'), Number(query('after')), Number(query('wait_ms')));
    }
    if (call === 'POST /-/kv-txn') return this.#commit(body);
    if (call === 'POST /-/kv-lease') return this.#createLease(body.ttl_s_time);
    if (pathname.startsWith('/-/kv-keep/')) {
      const lease = this.#leases.get(Number(pathname.split('/').at(-1)));
      if (!lease) return [404, {}];
      lease.timer.refresh();
      return [200, { ttl_s_time: lease.ttl }];
    }
    return [404, {}];
  }

  #list(query) {
    const isStale = query('allow_stale') === '1' && this.#staleMs > 0;
    const items = isStale ? this.#buildStaleItems() : this.#items;
    const matching = [...items.values()]
      .filter(({ key }) => key.startsWith(query('prefix')) && key > query('after'))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = matching.slice(0, maxPageItems);
    const more = matching.length > page.length;
    return [200, { items: page, more_pages: more, current_rev: this.#revision }];
  }

  async #watch(prefix, after, waitMs) {
    const find = () =>
      this.#history
        .filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
        .map(({ at, ...event }) => event);
    if (find().length === 0) {
      await new Promise((resolve) => {
        const notify = () => {
          if (find().length > 0) resolve();
        };
        setTimeout(resolve, waitMs);
        this.#watchers.add(notify);
      });
    }
    return [200, { events: find(), current_rev: this.#revision }];
  }

  #commit({ expected = [], puts = [], deletes = [] }) {
    const holds = expected.every(
      ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      return [412, { items: expected.flatMap(({ key }) => this.#items.get(key) ?? []) }];
    }
    if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) return [404, {}];
    puts.forEach(({ key, value, lease = 0 }) => {
      this.put(key, Buffer.from(value, 'base64').toString(), lease);
      this.#leases.get(lease)?.keys.add(key);
    });
    deletes.forEach((key) => this.remove(key));
    return [200, { revision: this.#revision }];
  }

  #createLease(ttl) {
    const lease = 100 + this.#leases.size;
    const keys = new Set();
    const end = () => {
      this.#leases.delete(lease);
      keys.forEach((key) => this.remove(key));
    };
    this.#leases.set(lease, { ttl, keys, timer: setTimeout(end, ttl * 1000) });
    return [200, { lease, ttl_s_time: ttl }];
  }
}
