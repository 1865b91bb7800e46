import type { EndpointId, FailureDomain, Random, ServiceId } from '@dotterelpass/values';
import type { Route } from './catalog.js';
import type { Endpoint } from './endpoint.js';
import type { LatencyEstimator } from './latency.js';

/** Age up to which a load report is used without asking again, in milliseconds. */
const maxFreshAgeMs = 20;

/** Endpoints of one group that are asked for one call. */
const maxProbesPerGroup = 4;

/** Time for which slower endpoints are waited for once one has answered, in milliseconds. */
const slowProbeWaitMs = 8;

/**
 * Share of the target latency within which an endpoint in the same failure domain is taken
 * without asking those in others: bytes between failure domains cost money.
 */
const localLatencyShare = 0.8;

/** An endpoint elsewhere must be this much faster than the best one near. */
const remoteGainFactor = 0.75;

/**
 * Age at which a report tells nothing of an endpoint's speed any more, in milliseconds: the speed
 * changes several times a second.
 */
const speedReportTtlMs = 300;

/** Share of the slots from which calls on an endpoint slow each other down. */
const busySlotShare = 0.8;

/** How much longer a call takes on an endpoint that is busy. */
const busyFactor = 1.6;

/** How much longer a call takes on an endpoint that has just started. */
const coldFactor = 2;

/** Factor on the expected time for each recent failure, and for each recent refusal. */
const failureFactor = 2.5;
const shedFactor = 1.5;

/** Factor on the expected time of an endpoint whose liveness check fails. */
const unhealthyFactor = 3;

/** What a call needs of an endpoint. */
export interface PickRequest {
  readonly service: ServiceId;
  readonly route: Route;
  /** Endpoints that the call has been on. */
  readonly tried: readonly EndpointId[];
}

/** A choice with what decided it. */
export interface Pick {
  readonly endpoint: Endpoint;
  /** Time until the answer, if there is one, in milliseconds. */
  readonly expectedMs: number;
  /** The expected time, longer for endpoints that failed or refused more than others did. */
  readonly rankMs: number;
  /** Age of the load report that was used, in milliseconds; infinite when there is none. */
  readonly reportAgeMs: number;
  /** How many times longer work takes there than usual. */
  readonly slowdown: number;
}

export interface PickerOptions {
  readonly failureDomain: FailureDomain;
  readonly random: Random;
  readonly latency: LatencyEstimator;
  listEndpoints(service: ServiceId): readonly Endpoint[];
  probeEndpoint(endpoint: Endpoint): Promise<boolean>;
}

/**
 * Chooses the endpoint of a call by load reports that are asked for at the moment of the choice:
 * the load of endpoints shifts faster than reports could be kept up to date.
 */
export class Picker {
  readonly #options: PickerOptions;

  constructor(options: PickerOptions) {
    this.#options = options;
  }

  /**
   * Picks an endpoint.
   *
   * @param call - What the call needs.
   * @returns Undefined when the service has no endpoint left to try.
   */
  async pick(call: PickRequest): Promise<Pick | undefined> {
    const { failureDomain, listEndpoints: list } = this.#options;
    const candidates = list(call.service).filter(
      ({ registration: { id } }) => !call.tried.includes(id),
    );
    const reachable = candidates.filter(({ isReachable }) => isReachable);
    const usable = reachable.length > 0 ? reachable : candidates;
    const leastPenalty = Math.min(...usable.map(calculatePenalty));
    const need: RankingInput = { ...call, leastPenalty };
    const local = usable.filter(({ registration }) => registration.failureDomain === failureDomain);
    const bestLocal = await this.#pickLocal(local, need);
    if (bestLocal && isFastEnough(bestLocal, call)) return bestLocal;
    const remote = usable.filter(
      ({ registration }) => registration.failureDomain !== failureDomain,
    );
    const bestRemote = await this.#pickFromGroup(remote, need);
    if (!bestLocal) return bestRemote ?? this.#pickWithoutProbes(usable, need);
    if (bestRemote && bestRemote.rankMs < remoteGainFactor * bestLocal.rankMs) return bestRemote;
    return bestLocal;
  }

  /** Asks more of the same failure domain before any in others, which cost more. */
  async #pickLocal(local: readonly Endpoint[], need: RankingInput): Promise<Pick | undefined> {
    const first = await this.#pickFromGroup(local, need);
    if (local.length <= maxProbesPerGroup || (first && isFastEnough(first, need))) return first;
    const second = await this.#pickFromGroup(
      local.filter(({ reportAgeMs }) => reportAgeMs > maxFreshAgeMs),
      need,
    );
    return second && (!first || second.rankMs < first.rankMs) ? second : first;
  }

  /** Asks some of a group and takes the best that answered. */
  async #pickFromGroup(group: readonly Endpoint[], need: RankingInput): Promise<Pick | undefined> {
    if (group.length === 0) return undefined;
    const sampled = this.#selectCandidates(group, need);
    const stale = sampled.filter(({ reportAgeMs }) => reportAgeMs > maxFreshAgeMs);
    await waitForProbes(stale.map((endpoint) => this.#options.probeEndpoint(endpoint)));
    return this.#findBest(
      sampled.filter(({ isReachable }) => isReachable),
      need,
    );
  }

  #pickWithoutProbes(group: readonly Endpoint[], need: RankingInput): Pick | undefined {
    return this.#findBest(
      group.filter(({ isReachable }) => isReachable),
      need,
    );
  }

  /** Takes a random part of a large group and the best by what is known. */
  #selectCandidates(group: readonly Endpoint[], need: RankingInput): readonly Endpoint[] {
    if (group.length <= maxProbesPerGroup) return group;
    const ranked = group
      .map((endpoint) => ({
        endpoint,
        rank: this.#rank(endpoint, need).rankMs * (0.5 + this.#options.random.next()),
      }))
      .sort((a, b) => a.rank - b.rank);
    return ranked.slice(0, maxProbesPerGroup).map(({ endpoint }) => endpoint);
  }

  #findBest(group: readonly Endpoint[], need: RankingInput): Pick | undefined {
    let best: Pick | undefined;
    let bestLoad = Infinity;
    group.forEach((endpoint) => {
      const pick = this.#rank(endpoint, need);
      const { load } = endpoint;
      const isBetter =
        !best ||
        pick.rankMs < best.rankMs ||
        (pick.rankMs === best.rankMs &&
          (load < bestLoad || (load === bestLoad && this.#options.random.next() < 0.5)));
      if (!isBetter) return;
      best = pick;
      bestLoad = load;
    });
    return best;
  }

  #rank(endpoint: Endpoint, { service, route, leastPenalty }: RankingInput): Pick {
    const { latency: work } = this.#options;
    const { registration, report, load, isWarm, reportAgeMs } = endpoint;
    const slots = Math.max(1, registration.slots);
    const usualMs = work.estimateMs(route) * (isWarm ? 1 : coldFactor);
    const busyPenalty = hasSpareCapacity(endpoint) ? 1 : busyFactor;
    const queueDepth = Math.max(0, load + 1 - slots) / slots;
    const usualSlowdown = work.getSlowdown(service);
    const reported = report?.slowdown ?? usualSlowdown;
    const weight = Math.max(0, 1 - reportAgeMs / speedReportTtlMs);
    const slowdown = usualSlowdown + weight * (reported - usualSlowdown);
    // An endpoint runs a call to its end at the speed that it has when the call begins.
    const expectedMs = usualMs * busyPenalty * (1 + queueDepth) * slowdown;
    const rankMs = (expectedMs * calculatePenalty(endpoint)) / leastPenalty;
    return { endpoint, expectedMs, rankMs, reportAgeMs, slowdown };
  }
}

/** What a choice among endpoints needs. */
interface RankingInput extends PickRequest {
  /** Penalty of the endpoint that failed least: failures that all have in common do not count. */
  readonly leastPenalty: number;
}

function isFastEnough({ rankMs }: Pick, { route }: PickRequest): boolean {
  return rankMs <= localLatencyShare * route.targetLatencyMs;
}

function calculatePenalty({ failureScore, shedScore, isHealthy }: Endpoint): number {
  return (
    failureFactor ** failureScore * shedFactor ** shedScore * (isHealthy ? 1 : unhealthyFactor)
  );
}

/**
 * Tells whether an endpoint takes one more call without slowing down the others: most run fewer
 * calls a second when all of their slots are in use.
 */
export function hasSpareCapacity({ load, registration }: Endpoint): boolean {
  return load + 1 <= Math.max(1, busySlotShare * registration.slots);
}

/** Waits until all have answered, or until one has and the others had some time more. */
async function waitForProbes(probes: readonly Promise<boolean>[]): Promise<void> {
  if (probes.length === 0) return;
  await new Promise<void>((resolve) => {
    let pending = probes.length;
    let hasAnswer = false;
    let hasWaitedEnough = false;
    const timer = setTimeout(() => {
      hasWaitedEnough = true;
      if (hasAnswer) resolve();
    }, slowProbeWaitMs);
    const settle = (answered: boolean) => {
      pending -= 1;
      hasAnswer ||= answered;
      if (pending > 0 && !(hasAnswer && hasWaitedEnough)) return;
      clearTimeout(timer);
      resolve();
    };
    probes.forEach((probe) => {
      void probe.then(settle);
    });
  });
}
