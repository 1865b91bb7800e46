import type { EndpointId } from '@dotterelpass/values';
import { EndpointBackpressure } from './endpoint.js';
import type { BackpressureOptions } from './endpoint.js';

/** Time for which what is known of an endpoint is kept while it is not registered. */
const retentionMs = 600_000;

interface Entry {
  /** Identifies the process of the endpoint. */
  readonly incarnation: string;
  readonly backpressure: EndpointBackpressure;
  /** Monotonic time of the removal of the endpoint; undefined while it is registered. */
  readonly releasedAt: number | undefined;
}

/**
 * What endpoints ask for, by their incarnations. It outlasts registrations, which go missing while the
 * endpoint or the store has trouble. A new process under the same id starts without any limit.
 */
export class BackpressureTable {
  readonly #options: BackpressureOptions;

  readonly #entries = new Map<EndpointId, Entry>();

  constructor(options: BackpressureOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#entries.size;
  }

  /**
   * @param id - Id of the endpoint.
   * @param incarnation - Differs between the processes that have the id one after the other.
   */
  getOrCreate(id: EndpointId, incarnation: string): EndpointBackpressure {
    const existing = this.#entries.get(id);
    const backpressure =
      existing?.incarnation === incarnation
        ? existing.backpressure
        : new EndpointBackpressure(this.#options);
    this.#entries.set(id, { incarnation, backpressure, releasedAt: undefined });
    return backpressure;
  }

  /** Marks an endpoint as no longer registered, and drops those that have long been so. */
  release(id: EndpointId): void {
    const now = this.#options.clock.now();
    const entry = this.#entries.get(id);
    if (entry) this.#entries.set(id, { ...entry, releasedAt: now });
    this.#entries.forEach(({ releasedAt }, other) => {
      if (releasedAt !== undefined && now - releasedAt > retentionMs) this.#entries.delete(other);
    });
  }
}
