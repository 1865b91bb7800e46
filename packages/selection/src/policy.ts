import { pickOne } from '@dotterelpass/values';
import type { EndpointId, Random } from '@dotterelpass/values';

/** An endpoint that may take the next call. */
export interface Candidate {
  readonly id: EndpointId;
  /** Calls in flight there, as far as this instance knows. */
  readonly inFlight: number;
  /** Expected time until the answer, in milliseconds. */
  readonly expectedMs: number;
}

/** Chooses the endpoint for a call. */
export abstract class BalancingPolicy {
  /**
   * Picks one endpoint.
   *
   * @param candidates - The endpoints that may take the call.
   * @param maxMs - Longest expected time that is better than to wait for another endpoint, in
   * milliseconds. Baseline policies ignore it.
   * @returns The endpoint, or undefined when there is none or waiting is better.
   */
  abstract pick<C extends Candidate>(candidates: readonly C[], maxMs?: number): C | undefined;
}

/** Any endpoint, all equally likely. */
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

/** Endpoints in turn, in the order of their ids. */
export class RoundRobin extends BalancingPolicy {
  #last = '';

  override pick<C extends Candidate>(candidates: readonly C[]): C | undefined {
    const sorted = [...candidates].sort((a, b) => (a.id < b.id ? -1 : 1));
    const next = sorted.find(({ id }) => id > this.#last) ?? sorted[0];
    if (next) this.#last = next.id;
    return next;
  }
}

/** The endpoint with the fewest calls of this instance. */
export class LeastInFlight extends BalancingPolicy {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  override pick<C extends Candidate>(candidates: readonly C[]): C | undefined {
    return pickLeast(this.#random, candidates);
  }
}

/** The less loaded of two endpoints that are picked at random. */
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

/** Expected times within this factor of the best count as equal, since averages are estimates. */
const equalFactor = 1.25;

/** The lowest expected latency; among equals, the fewest calls in flight. */
export class CreditPolicy extends BalancingPolicy {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  override pick<C extends Candidate>(
    candidates: readonly C[],
    maxMs = Number.POSITIVE_INFINITY,
  ): C | undefined {
    const best = Math.min(...candidates.map(({ expectedMs }) => expectedMs));
    if (best > maxMs) return undefined;
    const equal = candidates.filter(({ expectedMs }) => expectedMs <= best * equalFactor);
    return pickLeast(this.#random, equal);
  }
}

function pickLeast<C extends Candidate>(random: Random, candidates: readonly C[]): C | undefined {
  const least = Math.min(...candidates.map(({ inFlight }) => inFlight));
  const equal = candidates.filter(({ inFlight }) => inFlight === least);
  return equal.length > 0 ? pickOne(random, equal) : undefined;
}
