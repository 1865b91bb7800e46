import type { KeyValueStore } from '@dotterelpass/store';
import type { Logger } from '@dotterelpass/telemetry';

/** Time to live of the keys of an instance. Leases are not renewed: a restart registers again. */
export const leaseMs = 600_000;

/** The lease in the store with which the keys of this instance end. */
export class InstanceLease {
  readonly #store: KeyValueStore;

  readonly #log: Logger;

  #lease: number | undefined;

  constructor(store: KeyValueStore, log: Logger) {
    this.#store = store;
    this.#log = log;
  }

  /** @returns The id of the lease; undefined when it cannot be created now. */
  async getOrCreate(): Promise<number | undefined> {
    if (this.#lease !== undefined) return this.#lease;
    const lease = await this.#store.createLease(leaseMs);
    if (lease.isErr()) {
      this.#log.warn('lease-failed', { reason: lease.error.message });
      return undefined;
    }
    this.#lease = lease.value;
    return this.#lease;
  }

  /** Forgets the lease, because it has ended or was lost by a restore of the store. */
  drop(): void {
    this.#lease = undefined;
  }
}
