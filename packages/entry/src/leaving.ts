import type { Clock } from '@dotterelpass/values';

/** Where this instance learned that an endpoint is leaving. */
export type LeavingSource = 'report' | 'closing' | 'platform' | 'peer';

/** Peers are informed for this long, so that lost messages do not matter. */
const announceMs = 3000;

/** Addresses of endpoints that are shutting down. They get no new calls. */
export class LeavingEndpoints {
  readonly #clock: Clock;

  readonly #entries = new Map<string, { readonly at: number; readonly source: LeavingSource }>();

  #listeners: readonly ((address: string, source: LeavingSource) => void)[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether an endpoint is leaving. */
  has(address: string): boolean {
    return this.#entries.has(address);
  }

  /**
   * Addresses to announce to peers: recent entries that do not come from a peer. Entries from peers
   * are not forwarded, or they would circulate forever.
   */
  get recentAddresses(): readonly string[] {
    const oldest = this.#clock.now() - announceMs;
    return [...this.#entries]
      .filter(([, { at, source }]) => source !== 'peer' && at > oldest)
      .map(([address]) => address);
  }

  /** @param listener - Called when an endpoint is first recorded as leaving. */
  watch(listener: (address: string, source: LeavingSource) => void): void {
    this.#listeners = [...this.#listeners, listener];
  }

  /**
   * Records that an endpoint is leaving.
   *
   * @param address - IP address and port.
   * @param source - Where this instance learned it.
   */
  add(address: string, source: LeavingSource): void {
    const isNew = !this.#entries.has(address);
    // Peers repeat their announcements; a repeated one must not renew the time of the entry.
    if (!isNew && source === 'peer') return;
    this.#entries.set(address, { at: this.#clock.now(), source });
    if (isNew) this.#listeners.forEach((listener) => listener(address, source));
  }

  /**
   * Restores an endpoint after it reported that it is not draining.
   *
   * @param address - IP address and port.
   * @param openedAt - Monotonic time at which the connection of the report was opened.
   * @returns Whether the endpoint was restored. A report on a connection that is older than the
   * entry may itself be older than the entry.
   */
  restore(address: string, openedAt: number): boolean {
    const entry = this.#entries.get(address);
    if (entry === undefined || openedAt <= entry.at) return false;
    return this.#entries.delete(address);
  }

  /** Restores an endpoint because an operator added it. */
  remove(address: string): void {
    this.#entries.delete(address);
  }
}
