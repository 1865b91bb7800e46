import { randomUUID } from 'node:crypto';
import { EventEmitter } from 'node:events';

/** Stored key in the format of the Consul HTTP API. */
export interface StoredValue {
  readonly Key: string;
  readonly Value: string;
  readonly CreateIndex: number;
  readonly ModifyIndex: number;
  readonly Session?: string;
}

interface Session {
  readonly ttlMs: number;
  expiresAt: number;
}

/** Entry of the service catalog. */
export interface ListedService {
  readonly Name: string;
  readonly ID: string;
  readonly Address: string;
  readonly Port: number;
  readonly Meta: Readonly<Record<string, string>>;
  readonly leaving: boolean;
}

/** State of the platform stand-in: keys with compare-and-swap, sessions and the service catalog. */
export class Store {
  #index = 1;

  readonly #values = new Map<string, StoredValue>();

  readonly #sessions = new Map<string, Session>();

  /** Changes of the service catalog with the time from which they are visible. */
  #catalogChanges: { visibleAt: number; id: string; service: ListedService | undefined }[] = [];

  readonly #changes = new EventEmitter().setMaxListeners(0);

  /** @param listLagMs - Delay until the service catalog shows a change, in milliseconds. */
  constructor(readonly listLagMs: number) {}

  get index(): number {
    return this.#index;
  }

  /** @returns The value of `key`, or with `recurse` the values of all keys with that prefix. */
  read(key: string, recurse: boolean): StoredValue[] {
    this.#expireSessions();
    if (!recurse) {
      const value = this.#values.get(key);
      return value ? [value] : [];
    }
    return [...this.#values.values()].filter((value) => value.Key.startsWith(key));
  }

  /** @returns The highest index of the given values, or the index of the store for no values. */
  readIndex(values: readonly StoredValue[]): number {
    if (values.length === 0) return this.#index;
    return Math.max(...values.map(({ ModifyIndex }) => ModifyIndex));
  }

  /**
   * Writes a value. With `cas`, only if the index of the key equals `cas`; 0 requires that the key
   * does not exist.
   */
  write(key: string, value: Buffer, cas?: number): boolean {
    const old = this.#values.get(key);
    if (cas !== undefined && (old?.ModifyIndex ?? 0) !== cas) return false;
    this.#put(key, value, old, old?.Session);
    return true;
  }

  /** Deletes a key. With `cas`, only if the index of the key equals `cas`. */
  remove(key: string, cas?: number): boolean {
    const old = this.#values.get(key);
    if (cas !== undefined && (old?.ModifyIndex ?? 0) !== cas) return false;
    if (old) {
      this.#values.delete(key);
      this.#index += 1;
      this.#changes.emit('change');
    }
    return true;
  }

  /** Acquires the lease on a key for a session, unless another session holds the lease. */
  acquire(key: string, value: Buffer, session: string): boolean {
    this.#expireSessions();
    const old = this.#values.get(key);
    if (!this.#sessions.has(session)) return false;
    if (old?.Session !== undefined && old.Session !== session) return false;
    this.#put(key, value, old, session);
    return true;
  }

  /** Releases the lease on a key if the session holds the lease. */
  release(key: string, session: string): boolean {
    const old = this.#values.get(key);
    if (old?.Session !== session) return false;
    this.#put(key, Buffer.from(old.Value, 'base64'), old, undefined);
    return true;
  }

  /** Creates a session that expires `ttlMs` after its last renewal. */
  openSession(ttlMs: number): string {
    const id = randomUUID();
    this.#sessions.set(id, { ttlMs, expiresAt: Date.now() + ttlMs });
    return id;
  }

  /** @returns False when the session has expired. */
  renewSession(id: string): boolean {
    this.#expireSessions();
    const session = this.#sessions.get(id);
    if (!session) return false;
    session.expiresAt = Date.now() + session.ttlMs;
    return true;
  }

  /** Adds or replaces a catalog entry, or removes it when `service` is undefined. */
  setListing(id: string, service: ListedService | undefined): void {
    this.#catalogChanges.push({ visibleAt: Date.now() + this.listLagMs, id, service });
  }

  /** @returns The catalog entries with a name, as of `listLagMs` ago. */
  readListing(name: string): ListedService[] {
    const now = Date.now();
    const shown = new Map<string, ListedService | undefined>();
    for (const { visibleAt, id, service } of this.#catalogChanges) {
      if (visibleAt <= now) shown.set(id, service);
    }
    // Of the visible changes, only the last one of each entry is kept.
    const pending = this.#catalogChanges.filter(({ visibleAt }) => visibleAt > now);
    this.#catalogChanges = [
      ...[...shown].map(([id, service]) => ({ visibleAt: 0, id, service })),
      ...pending,
    ].filter(({ visibleAt, service }) => visibleAt > 0 || service !== undefined);
    return [...shown.values()].filter((service) => service?.Name === name) as ListedService[];
  }

  /**
   * Waits until the given key or prefix changes past an index.
   *
   * @param signal - Cancels the wait.
   */
  async waitForChange(
    key: string,
    recurse: boolean,
    afterIndex: number,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted && this.readIndex(this.read(key, recurse)) <= afterIndex) {
      await new Promise<void>((resolve) => {
        const finish = () => {
          this.#changes.off('change', finish);
          signal.removeEventListener('abort', finish);
          resolve();
        };
        this.#changes.on('change', finish);
        signal.addEventListener('abort', finish);
      });
    }
  }

  /** @returns A copy of all values for `restore`. */
  snapshot(): readonly StoredValue[] {
    return [...this.#values.values()];
  }

  /** Replaces all values by an earlier snapshot, as restoring a backup does. */
  restore(values: readonly StoredValue[]): void {
    this.#values.clear();
    for (const value of values) this.#values.set(value.Key, value);
    this.#index += 1;
    this.#changes.emit('change');
  }

  #put(
    key: string,
    value: Buffer,
    old: StoredValue | undefined,
    session: string | undefined,
  ): void {
    this.#index += 1;
    this.#values.set(key, {
      Key: key,
      Value: value.toString('base64'),
      CreateIndex: old?.CreateIndex ?? this.#index,
      ModifyIndex: this.#index,
      ...(session === undefined ? {} : { Session: session }),
    });
    this.#changes.emit('change');
  }

  #expireSessions(): void {
    const now = Date.now();
    for (const [id, session] of this.#sessions) {
      if (session.expiresAt > now) continue;
      this.#sessions.delete(id);
      for (const value of this.#values.values()) {
        if (value.Session === id) {
          this.#put(value.Key, Buffer.from(value.Value, 'base64'), value, undefined);
        }
      }
    }
  }
}
