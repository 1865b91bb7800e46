import { pickOne } from '@dotterelpass/values';
import type { EndpointId, Random } from '@dotterelpass/values';

/** An endpoint that is eligible for the next call. */
export interface Candidate {
  readonly id: EndpointId;
  /** Calls in flight at the endpoint, as far as this instance can tell. */
  readonly inFlight: number;
  /** Expected latency, in milliseconds. */
  readonly expectedMs: number;
}

/** Selects the endpoint for a call. */
export abstract class BalancingPolicy {
  /**
   * Picks an endpoint.
   *
   * @param candidates - The eligible endpoints.
   * @param maxExpectedMs - Highest expected latency that is still better than waiting for another
   * endpoint, in milliseconds. Baseline policies ignore it.
   * @returns The endpoint, or undefined when there are no candidates or waiting is better.
   */
  abstract pick<C extends Candidate>(
    candidates: readonly C[],
    maxExpectedMs?: number,
  ): C | undefined;
}

/** Picks uniformly at random. */
export class RandomPolicy extends BalancingPolicy {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  override pick<C extends Candidate>(candidates: readonly C[]): C | undefined {
    return candidates.length > 0 ? pickOne(this.#random, candidates) : undefined;
  }
}

/** Picks the endpoints in turn, in the order of their ids. */
export class RoundRobin extends BalancingPolicy {
  #lastId = '';

  override pick<C extends Candidate>(candidates: readonly C[]): C | undefined {
    const sorted = [...candidates].sort((a, b) => (a.id < b.id ? -1 : 1));
    const next = sorted.find(({ id }) => id > this.#lastId) ?? sorted[0];
    if (next) this.#lastId = next.id;
    return next;
  }
}

/** Picks an endpoint with the fewest calls of this instance in flight. */
export class LeastInFlight extends BalancingPolicy {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  override pick<C extends Candidate>(candidates: readonly C[]): C | undefined {
    return pickLeastInFlight(this.#random, candidates);
  }
}

/** Picks two endpoints at random and uses the one with fewer calls in flight. */
export class PowerOfTwo extends BalancingPolicy {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  override pick<C extends Candidate>(candidates: readonly C[]): C | undefined {
    if (candidates.length < 2) return candidates[0];
    const first = pickOne(this.#random, candidates);
    const second = pickOne(
      this.#random,
      candidates.filter((candidate) => candidate !== first),
    );
    return second.inFlight < first.inFlight ? second : first;
  }
}

/**
 * Expected latencies within this factor of the lowest are treated as equal, since they are only
 * estimates.
 */
const equalLatencyFactor = 1.25;

/** Picks the lowest expected latency; among equal latencies, the fewest calls in flight. */
export class CreditPolicy extends BalancingPolicy {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  override pick<C extends Candidate>(
    candidates: readonly C[],
    maxExpectedMs = Number.POSITIVE_INFINITY,
  ): C | undefined {
    const lowestMs = Math.min(...candidates.map(({ expectedMs }) => expectedMs));
    if (lowestMs > maxExpectedMs) return undefined;
    const fastest = candidates.filter(
      ({ expectedMs }) => expectedMs <= lowestMs * equalLatencyFactor,
    );
    return pickLeastInFlight(this.#random, fastest);
  }
}

function pickLeastInFlight<C extends Candidate>(
  random: Random,
  candidates: readonly C[],
): C | undefined {
  const least = Math.min(...candidates.map(({ inFlight }) => inFlight));
  const tied = candidates.filter(({ inFlight }) => inFlight === least);
  return tied.length > 0 ? pickOne(random, tied) : undefined;
}
