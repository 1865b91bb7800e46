import type { Clock, EndpointId } from '@dotterelpass/values';

/** Limits of the health probes of one service. */
export interface ProbeLimits {
  /** Probes per second to each endpoint, for all entry instances together. */
  readonly probesPerSecond: number;
  /** Number of entry instances that have a fixed share of the budget. */
  readonly maxInstances: number;
}

/** A token bucket with a capacity of one. It starts empty, so that a restart adds no probes. */
interface TokenBucket {
  readonly tokens: number;
  readonly filledAt: number;
}

/**
 * Limits the health probes that this instance sends to the endpoints of one service. Half of the
 * budget is divided into fixed shares for the instances; the other half belongs to the holder of a
 * lease. Neither half requires messages between instances.
 */
export class ProbeBudget {
  readonly #clock: Clock;

  #limits: ProbeLimits;

  #hasShare = false;

  #leaseUntil = Number.NEGATIVE_INFINITY;

  readonly #shareBuckets = new Map<EndpointId, TokenBucket>();

  readonly #leaseBuckets = new Map<EndpointId, TokenBucket>();

  constructor(clock: Clock, limits: ProbeLimits) {
    this.#clock = clock;
    this.#limits = limits;
  }

  /** @param limits - New limits; a change empties all buckets. */
  setLimits(limits: ProbeLimits): void {
    const { probesPerSecond, maxInstances } = this.#limits;
    if (limits.probesPerSecond === probesPerSecond && limits.maxInstances === maxInstances) return;
    this.#limits = limits;
    this.#shareBuckets.clear();
    this.#leaseBuckets.clear();
  }

  /** @param hasShare - Whether this instance is one of the first `maxInstances`. */
  setShare(hasShare: boolean): void {
    if (hasShare !== this.#hasShare) this.#shareBuckets.clear();
    this.#hasShare = hasShare;
  }

  /**
   * Starts or extends the lease.
   *
   * @param until - Monotonic time of this instance at which the lease expires, in milliseconds. It
   * is counted from before the request for the lease was sent; the platform counts from a later
   * time, so the lease expires there later than here.
   */
  holdLeaseUntil(until: number): void {
    // Another instance may have sent probes since the previous lease expired.
    if (!this.hasLease()) this.#leaseBuckets.clear();
    this.#leaseUntil = until;
  }

  /** Ends the lease, because the platform reports that another instance holds it. */
  endLease(): void {
    this.#leaseUntil = Number.NEGATIVE_INFINITY;
    this.#leaseBuckets.clear();
  }

  /**
   * Checks whether the lease is held now. The check compares times, so that an instance that was
   * paused finds its lease expired.
   */
  hasLease(): boolean {
    return this.#clock.now() < this.#leaseUntil;
  }

  /**
   * Acquires permission for one probe, which must be sent at once.
   *
   * @param endpoint - The endpoint.
   * @returns Whether the endpoint may be probed now.
   */
  acquire(endpoint: EndpointId): boolean {
    const { probesPerSecond, maxInstances } = this.#limits;
    const half = probesPerSecond / 2;
    const hasShareToken =
      this.#hasShare && this.#takeToken(this.#shareBuckets, endpoint, half / maxInstances);
    return (
      hasShareToken || (this.hasLease() && this.#takeToken(this.#leaseBuckets, endpoint, half))
    );
  }

  #takeToken(
    buckets: Map<EndpointId, TokenBucket>,
    endpoint: EndpointId,
    perSecond: number,
  ): boolean {
    const now = this.#clock.now();
    const bucket = buckets.get(endpoint) ?? { tokens: 0, filledAt: now };
    const tokens = Math.min(1, bucket.tokens + ((now - bucket.filledAt) * perSecond) / 1000);
    buckets.set(endpoint, { tokens: tokens >= 1 ? 0 : tokens, filledAt: now });
    return tokens >= 1;
  }
}
