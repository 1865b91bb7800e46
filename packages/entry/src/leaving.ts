import type { Clock } from '@dotterelpass/values';

/** Why an endpoint is known to be leaving. */
export type LeavingSource = 'report' | 'closing' | 'platform' | 'peer';

/** Peers are told for this long, so that lost messages do not matter, in milliseconds. */
const tellMs = 3000;

/** Endpoints that leave, by address. None of them gets new work. */
export class LeavingTable {
  readonly #clock: Clock;

  readonly #since = new Map<string, { readonly at: number; readonly source: LeavingSource }>();

  #listeners: readonly ((address: string, source: LeavingSource) => void)[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether an endpoint is leaving. */
  has(address: string): boolean {
    return this.#since.has(address);
  }

  /**
   * Addresses of the endpoints that peers should hear of: those that this instance learned of
   * lately. News from a peer are not passed on, or they would go round for good.
   */
  get news(): readonly string[] {
    const oldest = this.#clock.now() - tellMs;
    return [...this.#since]
      .filter(([, { at, source }]) => source !== 'peer' && at > oldest)
      .map(([address]) => address);
  }

  /** @param listener - Called when an endpoint was first heard to be leaving. */
  watch(listener: (address: string, source: LeavingSource) => void): void {
    this.#listeners = [...this.#listeners, listener];
  }

  /**
   * Takes an endpoint out of use for new work.
   *
   * @param address - IP address and port.
   * @param source - Who said so.
   */
  add(address: string, source: LeavingSource): void {
    const isNew = !this.#since.has(address);
    // What a peer repeats is no later news.
    if (!isNew && source === 'peer') return;
    this.#since.set(address, { at: this.#clock.now(), source });
    if (isNew) this.#listeners.forEach((listener) => listener(address, source));
  }

  /**
   * Brings an endpoint back after a report that it is not draining.
   *
   * @param address - IP address and port.
   * @param openedAt - Monotonic time at which the connection of the report was opened.
   * @returns Whether it is back: a report on an older connection may be older than the news.
   */
  restore(address: string, openedAt: number): boolean {
    const since = this.#since.get(address);
    if (since === undefined || openedAt <= since.at) return false;
    return this.#since.delete(address);
  }

  /** Brings an endpoint back because an operator added it. */
  remove(address: string): void {
    this.#since.delete(address);
  }
}
