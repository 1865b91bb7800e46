import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { HttpTransport, parseJson, toStatusError } from './transport.js';
import type { PlatformError, TransportOptions } from './transport.js';

export type { PlatformError } from './transport.js';

/** A stored key and its value. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: Buffer;
  /** Consul index of the last change of this key, for compare-and-swap. */
  readonly modifyIndex: number;
  /** Session that holds the lease on this key. */
  readonly session?: string;
}

/** Entries, and the index to pass as `waitIndex` to wait for the next change. */
export interface ReadResult {
  readonly entries: readonly KeyValueEntry[];
  readonly index: number;
}

/** An instance in the platform's service catalog, which lags behind the actual state. */
export interface RegisteredInstance {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  /**
   * When an instance is registered: whether it is shutting down. When the catalog is read: whether
   * a health check of the instance is critical.
   */
  readonly leaving: boolean;
  readonly meta: Readonly<Record<string, string>>;
}

interface ConsulResponse {
  readonly status: number;
  readonly index: number;
  readonly body: Buffer;
}

interface KeyValueJson {
  Key: string;
  Value: string | null;
  ModifyIndex: number;
  Session?: string;
}

interface ServiceHealthJson {
  Service: { ID: string; Address: string; Port: number; Meta?: Record<string, string> };
  Checks: { Status: string }[];
}

/** Time that a watch is given beyond its wait before it is aborted. */
const defaultGraceMs = 2000;

/** Options of a client. */
export interface ConsulOptions extends TransportOptions {
  /** Writes to keys with this prefix are rate limited elsewhere and do not draw on `budget`. */
  readonly unbudgetedPrefix?: string;
  /** Time that a watch is given beyond its wait before it is aborted, in milliseconds. */
  readonly graceMs?: number;
}

/** Client of the platform's key-value store and service catalog (Consul HTTP API). */
export class ConsulClient {
  readonly #transport: HttpTransport;

  readonly #options: ConsulOptions;

  /**
   * @param address - IP address and port of the platform.
   * @param options - Options that differ from the defaults.
   */
  constructor(address: string, options: ConsulOptions = {}) {
    this.#options = options;
    this.#transport = new HttpTransport(address, options);
  }

  /** Number of calls sent so far; a watch counts as one. */
  get callCount(): number {
    return this.#transport.callCount;
  }

  /**
   * Reads one key, or all keys that begin with a prefix.
   *
   * @param key - The key or prefix.
   * @param options - `recurse` reads a prefix. `waitIndex` makes the call a watch that waits up to
   * `waitMs` for a change after that index. `consistent` reads the latest state, at the cost of a
   * round trip inside the platform.
   * @returns The entries; none when the key or prefix does not exist.
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
    const isWatch = options.waitIndex !== undefined;
    if (isWatch) {
      query.set('index', String(options.waitIndex));
      query.set('wait', `${options.waitMs ?? 10_000}ms`);
    }
    const timeoutMs = isWatch
      ? (options.waitMs ?? 10_000) + (this.#options.graceMs ?? defaultGraceMs)
      : this.#transport.timeoutMs;
    const response = await this.#call(
      'GET',
      `/v1/kv/${key}?${query.toString()}`,
      undefined,
      timeoutMs,
    );
    if (response.isErr()) return err({ ...response.error, applied: 'no' });
    const { status, index, body } = response.value;
    if (status === 404) return ok({ entries: [], index });
    if (status !== 200) return err(toStatusError(status, body));
    return parseJson<KeyValueJson[]>(body).map((list) => ({
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
   * Writes a key if it has not changed since it was read.
   *
   * @param key - The key.
   * @param value - The new value, at most 1 MB.
   * @param modifyIndex - Index of the key when it was read; 0 if the key must not exist.
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
   * Deletes a key.
   *
   * @param key - The key, which need not exist.
   */
  async remove(key: string): Promise<Result<boolean, PlatformError>> {
    return this.#write('DELETE', `/v1/kv/${key}`, Buffer.alloc(0));
  }

  /**
   * Creates a session, which can hold leases.
   *
   * @param ttlMs - The session ends this long after its last renewal.
   * @returns The session's id.
   */
  async createSession(ttlMs: number): Promise<Result<string, PlatformError>> {
    const body = Buffer.from(JSON.stringify({ TTL: `${ttlMs}ms`, Behavior: 'release' }));
    const response = await this.#call('PUT', '/v1/session/create', body);
    if (response.isErr()) return err(response.error);
    if (response.value.status !== 200) {
      return err(toStatusError(response.value.status, response.value.body));
    }
    return parseJson<{ ID: string }>(response.value.body).map(({ ID }) => ID);
  }

  /**
   * Renews a session.
   *
   * @param session - The session's id.
   * @returns False when the session has ended.
   */
  async renewSession(session: string): Promise<Result<boolean, PlatformError>> {
    const path = `/v1/session/renew/${session}`;
    const response = await this.#call('PUT', path, undefined);
    if (response.isErr()) return err(response.error);
    const { status, body } = response.value;
    if (status === 200) return ok(true);
    return status === 404 ? ok(false) : err(toStatusError(status, body));
  }

  /**
   * Acquires a lease.
   *
   * @param key - The key on which the lease is held.
   * @param session - The session that acquires the lease.
   * @param value - Value to store under the key.
   * @returns Whether the session now holds the lease.
   */
  async acquireLease(
    key: string,
    session: string,
    value: Buffer,
  ): Promise<Result<boolean, PlatformError>> {
    return this.#write('PUT', `/v1/kv/${key}?acquire=${session}`, value);
  }

  /**
   * Releases a lease.
   *
   * @param key - The key on which the lease is held.
   * @param session - The session that holds the lease.
   * @returns Whether the session held the lease.
   */
  async releaseLease(key: string, session: string): Promise<Result<boolean, PlatformError>> {
    return this.#write('PUT', `/v1/kv/${key}?release=${session}`, Buffer.alloc(0));
  }

  /**
   * Reads the instances of one service from the platform's catalog.
   *
   * @param service - Name of the service, such as `dotterelpass-entry`.
   * @returns The registered instances. The catalog lags behind the actual state.
   */
  async readInstances(
    service: string,
  ): Promise<Result<readonly RegisteredInstance[], PlatformError>> {
    const path = `/v1/health/service/${service}`;
    const response = await this.#call('GET', path, undefined);
    if (response.isErr()) return err({ ...response.error, applied: 'no' });
    if (response.value.status !== 200) {
      return err(toStatusError(response.value.status, response.value.body));
    }
    return parseJson<ServiceHealthJson[]>(response.value.body).map((list) =>
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
   * Registers an instance in the platform's catalog, or updates its registration.
   *
   * @param service - Name of the service, such as `dotterelpass-entry`.
   * @param instance - The instance. `leaving` is stored as the metadata value `leaving`.
   */
  async registerInstance(
    service: string,
    instance: RegisteredInstance,
  ): Promise<Result<void, PlatformError>> {
    const { id, address, port, leaving, meta } = instance;
    const body = {
      Name: service,
      ID: id,
      Address: address,
      Port: port,
      Meta: leaving ? { ...meta, leaving: 'true' } : meta,
    };
    return this.#changeRegistration(
      '/v1/agent/service/register',
      Buffer.from(JSON.stringify(body)),
    );
  }

  /**
   * Removes an instance from the platform's catalog.
   *
   * @param id - Id with which the instance was registered.
   */
  async deregisterInstance(id: string): Promise<Result<void, PlatformError>> {
    return this.#changeRegistration(`/v1/agent/service/deregister/${id}`, undefined);
  }

  /** Closes all connections; pending calls fail. */
  close(): void {
    this.#transport.close();
  }

  async #changeRegistration(
    path: string,
    body: Buffer | undefined,
  ): Promise<Result<void, PlatformError>> {
    const response = await this.#call('PUT', path, body);
    if (response.isErr()) return err(response.error);
    const { status } = response.value;
    return status === 200 ? ok(undefined) : err(toStatusError(status, response.value.body));
  }

  async #write(
    method: string,
    path: string,
    value: Buffer,
  ): Promise<Result<boolean, PlatformError>> {
    const response = await this.#call(method, path, value);
    if (response.isErr()) return err(response.error);
    const { status, body } = response.value;
    return status === 200
      ? ok(body.toString().trim() === 'true')
      : err(toStatusError(status, body));
  }

  async #call(
    method: string,
    path: string,
    body: Buffer | undefined,
    timeoutMs = this.#transport.timeoutMs,
  ): Promise<Result<ConsulResponse, PlatformError>> {
    const { unbudgetedPrefix: prefix } = this.#options;
    const kind = method === 'GET' ? 'reads' : 'writes';
    const isUnbudgeted = kind === 'writes' && prefix && path.startsWith(`/v1/kv/${prefix}`);
    const call = {
      method,
      path,
      body,
      timeoutMs,
      budget: isUnbudgeted ? undefined : kind,
    } as const;
    const response = await this.#transport.send(call);
    return response.map(({ status, headers, body: bytes }) => ({
      status,
      index: Number(headers['x-consul-index'] ?? 0),
      body: bytes,
    }));
  }
}
