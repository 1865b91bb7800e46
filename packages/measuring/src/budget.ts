import type { Clock, EndpointId } from '@dotterelpass/values';

/** Sizes of the budget of one service. */
export interface ProbeLimits {
  /** Probes a second on each endpoint, for all entry instances together. */
  readonly probesPerSecond: number;
  /** Entry instances that have a share of their own. */
  readonly maxInstances: number;
}

/** A token bucket for one token. It starts empty, so a restart adds no probes. */
interface Bucket {
  readonly tokens: number;
  readonly filledAt: number;
}

/**
 * Says when this instance may probe an endpoint of one service. Half of the budget is divided
 * between the instances once and for all, the other half belongs to the holder of a lease.
 * Neither needs a message from another instance.
 */
export class ProbeBudget {
  readonly #clock: Clock;

  #limits: ProbeLimits;

  #hasShare = false;

  #leaseUntil = Number.NEGATIVE_INFINITY;

  readonly #shares = new Map<EndpointId, Bucket>();

  readonly #leased = new Map<EndpointId, Bucket>();

  constructor(clock: Clock, limits: ProbeLimits) {
    this.#clock = clock;
    this.#limits = limits;
  }

  /** @param limits - Limits from now on; all buckets start empty again when they change. */
  setLimits(limits: ProbeLimits): void {
    const { probesPerSecond, maxInstances } = this.#limits;
    if (limits.probesPerSecond === probesPerSecond && limits.maxInstances === maxInstances) return;
    this.#limits = limits;
    this.#shares.clear();
    this.#leased.clear();
  }

  /** @param hasShare - Whether this instance is one of the first `maxInstances`. */
  setShare(hasShare: boolean): void {
    if (hasShare !== this.#hasShare) this.#shares.clear();
    this.#hasShare = hasShare;
  }

  /**
   * Begins or prolongs the lease.
   *
   * @param until - Monotonic time of this instance at which it ends, in milliseconds, counted
   * from before the renewal was sent: the platform counts from later and ends it later.
   */
  holdLeaseUntil(until: number): void {
    // Another instance may have probed since a lapsed lease.
    if (!this.hasLease()) this.#leased.clear();
    this.#leaseUntil = until;
  }

  /** Ends the lease: the platform says that another instance holds it. */
  endLease(): void {
    this.#leaseUntil = Number.NEGATIVE_INFINITY;
    this.#leased.clear();
  }

  /** Whether the lease is held now. The time decides, so a paused holder finds it lapsed. */
  hasLease(): boolean {
    return this.#clock.now() < this.#leaseUntil;
  }

  /**
   * Takes the right to one probe, to be sent at once.
   *
   * @param endpoint - The endpoint.
   * @returns Whether it may be probed now.
   */
  acquire(endpoint: EndpointId): boolean {
    const { probesPerSecond, maxInstances } = this.#limits;
    const half = probesPerSecond / 2;
    const isShare = this.#hasShare && this.#take(this.#shares, endpoint, half / maxInstances);
    return isShare || (this.hasLease() && this.#take(this.#leased, endpoint, half));
  }

  #take(buckets: Map<EndpointId, Bucket>, endpoint: EndpointId, perSecond: number): boolean {
    const now = this.#clock.now();
    const known = buckets.get(endpoint) ?? { tokens: 0, filledAt: now };
    const tokens = Math.min(1, known.tokens + ((now - known.filledAt) * perSecond) / 1000);
    buckets.set(endpoint, { tokens: tokens >= 1 ? 0 : tokens, filledAt: now });
    return tokens >= 1;
  }
}
