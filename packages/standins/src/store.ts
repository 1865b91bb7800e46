import { randomUUID } from 'node:crypto';
import { EventEmitter } from 'node:events';

/** One stored key as the Consul HTTP API shows it. */
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

/** An instance in the platform's list. */
export interface ListedService {
  readonly Name: string;
  readonly ID: string;
  readonly Address: string;
  readonly Port: number;
  readonly Meta: Readonly<Record<string, string>>;
  readonly leaving: boolean;
}

/** The state of the platform stand-in: keys with compare-and-swap, sessions, instance list. */
export class Store {
  #index = 1;

  readonly #values = new Map<string, StoredValue>();

  readonly #sessions = new Map<string, Session>();

  /** Changes of the instance list with the time from which they are visible. */
  #listed: { visibleAt: number; id: string; service: ListedService | undefined }[] = [];

  readonly #changes = new EventEmitter().setMaxListeners(0);

  /** @param listLagMs - How late the instance list shows a change. */
  constructor(readonly listLagMs: number) {}

  get index(): number {
    return this.#index;
  }

  /** @returns The values whose key is `key`, or starts with it when `recurse` is set. */
  read(key: string, recurse: boolean): StoredValue[] {
    this.#expireSessions();
    if (!recurse) {
      const value = this.#values.get(key);
      return value ? [value] : [];
    }
    return [...this.#values.values()].filter((value) => value.Key.startsWith(key));
  }

  /** @returns The newest index of the given values, or that of the store when there are none. */
  readIndex(values: readonly StoredValue[]): number {
    if (values.length === 0) return this.#index;
    return Math.max(...values.map(({ ModifyIndex }) => ModifyIndex));
  }

  /** Writes a value if the key's index is `cas`; without `cas` always. */
  write(key: string, value: Buffer, cas?: number): boolean {
    const old = this.#values.get(key);
    if (cas !== undefined && (old?.ModifyIndex ?? 0) !== cas) return false;
    this.#put(key, value, old, old?.Session);
    return true;
  }

  /** Deletes a key if its index is `cas`; without `cas` always. */
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

  /** Gives the lease on a key to a session, unless another holds it. */
  acquire(key: string, value: Buffer, session: string): boolean {
    this.#expireSessions();
    const old = this.#values.get(key);
    if (!this.#sessions.has(session)) return false;
    if (old?.Session !== undefined && old.Session !== session) return false;
    this.#put(key, value, old, session);
    return true;
  }

  /** Takes the lease on a key from a session that holds it. */
  release(key: string, session: string): boolean {
    const old = this.#values.get(key);
    if (old?.Session !== session) return false;
    this.#put(key, Buffer.from(old.Value, 'base64'), old, undefined);
    return true;
  }

  /** Opens a session that ends `ttlMs` after its last renewal. */
  openSession(ttlMs: number): string {
    const id = randomUUID();
    this.#sessions.set(id, { ttlMs, expiresAt: Date.now() + ttlMs });
    return id;
  }

  /** @returns False when the session has ended. */
  renewSession(id: string): boolean {
    this.#expireSessions();
    const session = this.#sessions.get(id);
    if (!session) return false;
    session.expiresAt = Date.now() + session.ttlMs;
    return true;
  }

  /** Puts an instance on the list, or takes it off when `service` is undefined. */
  list(id: string, service: ListedService | undefined): void {
    this.#listed.push({ visibleAt: Date.now() + this.listLagMs, id, service });
  }

  /** @returns The instances of one name that the lagging list shows now. */
  readListed(name: string): ListedService[] {
    const now = Date.now();
    const shown = new Map<string, ListedService | undefined>();
    for (const { visibleAt, id, service } of this.#listed) {
      if (visibleAt <= now) shown.set(id, service);
    }
    // Changes that are visible and overwritten are not needed again.
    const pending = this.#listed.filter(({ visibleAt }) => visibleAt > now);
    this.#listed = [
      ...[...shown].map(([id, service]) => ({ visibleAt: 0, id, service })),
      ...pending,
    ].filter(({ visibleAt, service }) => visibleAt > 0 || service !== undefined);
    return [...shown.values()].filter((service) => service?.Name === name) as ListedService[];
  }

  /**
   * Waits until the given key or prefix changes past an index.
   *
   * @param signal - Ends the wait.
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

  /** @returns A copy of all values, to be restored later. */
  snapshot(): readonly StoredValue[] {
    return [...this.#values.values()];
  }

  /** Replaces all values by an earlier snapshot, as a restored backup would. */
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
