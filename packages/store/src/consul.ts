import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { HttpTransport, parseJson, toStatusError } from './transport.js';
import type { PlatformError, TransportOptions } from './transport.js';

export type { PlatformError } from './transport.js';

/** One stored value. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: Buffer;
  /** Index of the last change of this key, for compare-and-swap. */
  readonly modifyIndex: number;
  readonly session?: string;
}

/** The answer to a read: the entries and the index to wait from. */
export interface ReadResult {
  readonly entries: readonly KeyValueEntry[];
  readonly index: number;
}

/** An instance in the platform's list, which lags behind reality. */
export interface RegisteredInstance {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  readonly leaving: boolean;
  readonly meta: Readonly<Record<string, string>>;
}

interface Answer {
  readonly status: number;
  readonly index: number;
  readonly body: Buffer;
}

interface StoredJson {
  Key: string;
  Value: string | null;
  ModifyIndex: number;
  Session?: string;
}

interface HealthJson {
  Service: { ID: string; Address: string; Port: number; Meta?: Record<string, string> };
  Checks: { Status: string }[];
}

/** A waiting watch is abandoned this long after the platform should have answered it. */
const defaultGraceMs = 2000;

/** Parts and limits of a client. */
export interface ConsulOptions extends TransportOptions {
  /** Writes to keys with this prefix have a limit of their own and do not draw on the budget. */
  readonly unbudgetedPrefix?: string;
  /** Time beyond its wait after which a watch is abandoned, in milliseconds. */
  readonly graceMs?: number;
}

/** Client of the platform's key-value service and instance list (Consul HTTP API). */
export class ConsulClient {
  readonly #transport: HttpTransport;

  readonly #options: ConsulOptions;

  /**
   * @param address - IP address and port of the platform.
   * @param options - Parts and limits.
   */
  constructor(address: string, options: ConsulOptions = {}) {
    this.#options = options;
    this.#transport = new HttpTransport(address, options);
  }

  /** Calls made so far; a waiting watch counts as one. */
  get calls(): number {
    return this.#transport.calls;
  }

  /**
   * Reads one key or all keys below a prefix.
   *
   * @param key - The key or prefix.
   * @param options - `recurse` reads a prefix; `waitIndex` and `waitMs` wait for a change
   * after that index; `consistent` asks for the newest state at the cost of a round trip inside
   * the platform.
   * @returns The entries, none when nothing is stored.
   */
  async read(
    key: string,
    options: {
      recurse?: boolean;
      waitIndex?: number;
      waitMs?: number;
      consistent?: boolean;
    } = {},
  ): Promise<Result<ReadResult, PlatformError>> {
    const query = new URLSearchParams();
    if (options.recurse) query.set('recurse', 'true');
    if (options.consistent) query.set('consistent', '');
    const waiting = options.waitIndex !== undefined;
    if (waiting) {
      query.set('index', String(options.waitIndex));
      query.set('wait', `${options.waitMs ?? 10_000}ms`);
    }
    const timeout = waiting
      ? (options.waitMs ?? 10_000) + (this.#options.graceMs ?? defaultGraceMs)
      : this.#transport.timeoutMs;
    const answer = await this.#call('GET', `/v1/kv/${key}?${query.toString()}`, undefined, timeout);
    if (answer.isErr()) return err({ ...answer.error, applied: 'no' });
    const { status, index, body } = answer.value;
    if (status === 404) return ok({ entries: [], index });
    if (status !== 200) return err(toStatusError(status, body));
    return parseJson<StoredJson[]>(body).map((list) => ({
      index,
      entries: list.map((item) => ({
        key: item.Key,
        value: Buffer.from(item.Value ?? '', 'base64'),
        modifyIndex: item.ModifyIndex,
        ...(item.Session === undefined ? {} : { session: item.Session }),
      })),
    }));
  }

  /**
   * Writes one key if it has not changed.
   *
   * @param key - The key.
   * @param value - The new value, at most 1 MB.
   * @param modifyIndex - The index that was read; 0 when the key must not exist.
   * @returns Whether the value was written. After an error with `applied: 'unknown'` the write
   * may still take effect, as long as the key has not changed.
   */
  async compareAndSwap(
    key: string,
    value: Buffer,
    modifyIndex: number,
  ): Promise<Result<boolean, PlatformError>> {
    return this.#write('PUT', `/v1/kv/${key}?cas=${modifyIndex}`, value);
  }

  /**
   * Deletes one key.
   *
   * @param key - The key, which need not exist.
   */
  async remove(key: string): Promise<Result<boolean, PlatformError>> {
    return this.#write('DELETE', `/v1/kv/${key}`, Buffer.alloc(0));
  }

  /**
   * Opens a session, the owner of leases.
   *
   * @param ttlMs - The session ends this long after its last renewal.
   * @returns The session's id.
   */
  async createSession(ttlMs: number): Promise<Result<string, PlatformError>> {
    const body = Buffer.from(JSON.stringify({ TTL: `${ttlMs}ms`, Behavior: 'release' }));
    const answer = await this.#call('PUT', '/v1/session/create', body);
    if (answer.isErr()) return err(answer.error);
    if (answer.value.status !== 200) {
      return err(toStatusError(answer.value.status, answer.value.body));
    }
    return parseJson<{ ID: string }>(answer.value.body).map(({ ID }) => ID);
  }

  /**
   * Renews a session.
   *
   * @param session - The session's id.
   * @returns False when the session has ended.
   */
  async renewSession(session: string): Promise<Result<boolean, PlatformError>> {
    const path = `/v1/session/renew/${session}`;
    const answer = await this.#call('PUT', path, undefined);
    if (answer.isErr()) return err(answer.error);
    const { status, body } = answer.value;
    if (status === 200) return ok(true);
    return status === 404 ? ok(false) : err(toStatusError(status, body));
  }

  /**
   * Takes a lease.
   *
   * @param key - The key that stands for the lease.
   * @param session - The session that is to hold it.
   * @param value - Value to store with it.
   * @returns Whether the session holds the lease now.
   */
  async acquireLease(
    key: string,
    session: string,
    value: Buffer,
  ): Promise<Result<boolean, PlatformError>> {
    return this.#write('PUT', `/v1/kv/${key}?acquire=${session}`, value);
  }

  /**
   * Gives a lease back.
   *
   * @param key - The key that stands for the lease.
   * @param session - The session that holds it.
   * @returns Whether it was held.
   */
  async releaseLease(key: string, session: string): Promise<Result<boolean, PlatformError>> {
    return this.#write('PUT', `/v1/kv/${key}?release=${session}`, Buffer.alloc(0));
  }

  /**
   * Reads the platform's list of instances of one kind.
   *
   * @param kind - The registered name, such as `dotterelpass-entry`.
   * @returns The listed instances; the list lags behind reality.
   */
  async readInstances(kind: string): Promise<Result<readonly RegisteredInstance[], PlatformError>> {
    const path = `/v1/health/service/${kind}`;
    const answer = await this.#call('GET', path, undefined);
    if (answer.isErr()) return err({ ...answer.error, applied: 'no' });
    if (answer.value.status !== 200) {
      return err(toStatusError(answer.value.status, answer.value.body));
    }
    return parseJson<HealthJson[]>(answer.value.body).map((list) =>
      list.map(({ Service, Checks }) => ({
        id: Service.ID,
        address: Service.Address,
        port: Service.Port,
        leaving: Checks.some(({ Status }) => Status === 'critical'),
        meta: Service.Meta ?? {},
      })),
    );
  }

  /**
   * Puts an instance on the platform's list, or changes its entry.
   *
   * @param kind - The registered name, such as `dotterelpass-entry`.
   * @param instance - The instance; `leaving` is registered as the meta value `leaving`.
   */
  async registerInstance(
    kind: string,
    instance: RegisteredInstance,
  ): Promise<Result<void, PlatformError>> {
    const { id, address, port, leaving, meta } = instance;
    const body = {
      Name: kind,
      ID: id,
      Address: address,
      Port: port,
      Meta: leaving ? { ...meta, leaving: 'true' } : meta,
    };
    return this.#register('/v1/agent/service/register', Buffer.from(JSON.stringify(body)));
  }

  /**
   * Takes an instance off the platform's list.
   *
   * @param id - The id under which it was registered.
   */
  async deregisterInstance(id: string): Promise<Result<void, PlatformError>> {
    return this.#register(`/v1/agent/service/deregister/${id}`, undefined);
  }

  /** Closes idle connections. */
  close(): void {
    this.#transport.close();
  }

  async #register(path: string, body: Buffer | undefined): Promise<Result<void, PlatformError>> {
    const answer = await this.#call('PUT', path, body);
    if (answer.isErr()) return err(answer.error);
    const { status } = answer.value;
    return status === 200 ? ok(undefined) : err(toStatusError(status, answer.value.body));
  }

  async #write(
    method: string,
    path: string,
    value: Buffer,
  ): Promise<Result<boolean, PlatformError>> {
    const answer = await this.#call(method, path, value);
    if (answer.isErr()) return err(answer.error);
    const { status, body } = answer.value;
    return status === 200
      ? ok(body.toString().trim() === 'true')
      : err(toStatusError(status, body));
  }

  async #call(
    method: string,
    path: string,
    body: Buffer | undefined,
    timeoutMs = this.#transport.timeoutMs,
  ): Promise<Result<Answer, PlatformError>> {
    const { unbudgetedPrefix: prefix } = this.#options;
    const kind = method === 'GET' ? 'reads' : 'writes';
    const isFree = kind === 'writes' && prefix && path.startsWith(`/v1/kv/${prefix}`);
    const call = { method, path, body, timeoutMs, budget: isFree ? undefined : kind } as const;
    const answer = await this.#transport.send(call);
    return answer.map(({ status, headers, body: bytes }) => ({
      status,
      index: Number(headers['x-consul-index'] ?? 0),
      body: bytes,
    }));
  }
}
