import type { EndpointId, Random, ServiceId } from '@dotterelpass/values';
import type { Route } from './catalog.js';
import type { Endpoint } from './endpoint.js';
import type { LatencyEstimator } from './latency.js';
import type { EndpointPreference, EndpointSubsets } from './preference.js';

/** Age up to which a load report is used without a new probe. */
const maxFreshAgeMs = 20;

/** Maximum endpoints of one group that are probed for one call. */
const maxProbesPerGroup = 4;

/** Time after the start of the probes from which one response is enough to stop waiting. */
const slowProbeWaitMs = 8;

/**
 * Share of the target latency up to which an endpoint in the same failure domain is used without
 * probing those in others: traffic between failure domains costs money.
 */
const localLatencyShare = 0.8;

/**
 * An endpoint in another failure domain is preferred only if its expected time is below this share
 * of the best local one.
 */
const remoteGainFactor = 0.75;

/**
 * Age at which the slowdown in a load report no longer counts; its weight decreases linearly until
 * then. The speed of endpoints changes several times a second.
 */
const speedReportTtlMs = 300;

/** Share of the slots above which calls on an endpoint slow each other down. */
const busySlotShare = 0.8;

/** Factor on the expected time of an endpoint without spare capacity. */
export const busyFactor = 1.6;

/** Factor on the expected time of an endpoint that is warming up. */
const coldFactor = 2;

/** Factors on the expected time for each recent failure and for each recently shed call. */
const failureFactor = 2.5;
const shedFactor = 1.5;

/** Factor on the expected time of an endpoint whose health probe fails. */
const unhealthyFactor = 3;

/**
 * Factor on the rank of an endpoint without an idle connection when endpoints are selected to be
 * probed: a new connection costs the endpoint time and waits for one of its slots.
 */
const newConnectionFactor = 1.4;

/** Call for which an endpoint is picked. */
export interface PickRequest {
  readonly service: ServiceId;
  readonly route: Route;
  /** Endpoints of the earlier attempts; they are excluded. */
  readonly tried: readonly EndpointId[];
  /**
   * Whether to look in other failure domains when no local endpoint has spare capacity. Otherwise
   * these are considered only when the local ones are slow.
   */
  readonly needsSpareCapacity?: boolean;
}

/** Picked endpoint with the inputs of the decision. */
export interface Pick {
  readonly endpoint: Endpoint;
  /** Expected time until the response, in milliseconds. */
  readonly expectedMs: number;
  /** Expected time, multiplied by the penalty for failures and shed calls relative to others. */
  readonly rankMs: number;
  /** Age of the load report, in milliseconds; infinite when there is none. */
  readonly reportAgeMs: number;
  /** Factor by which work is expected to take longer there than usual. */
  readonly slowdown: number;
}

export interface PickerOptions {
  readonly preference: EndpointPreference;
  readonly random: Random;
  readonly latency: LatencyEstimator;
  /** Returns the endpoints of a service; the list is replaced when they change. */
  listEndpoints(service: ServiceId): readonly Endpoint[];
  /** Returns the number of instances. */
  getFleetSize(): number;
  probeEndpoint(endpoint: Endpoint): Promise<boolean>;
}

/**
 * Picks the endpoint of a call from load reports that are requested at the time of the decision:
 * the load of endpoints changes faster than reports could be kept up to date.
 */
export class Picker {
  readonly #options: PickerOptions;

  constructor(options: PickerOptions) {
    this.#options = options;
  }

  /**
   * Picks an endpoint.
   *
   * @param request - The call.
   * @returns The pick; undefined when the service has no endpoint that was not tried.
   */
  async pick(request: PickRequest): Promise<Pick | undefined> {
    const { preference, listEndpoints, getFleetSize } = this.#options;
    const { service, tried } = request;
    const subsets = preference.selectSubsets(listEndpoints(service), tried, getFleetSize());
    const { local, remote } = subsets;
    const leastPenalty = Math.min(...[...local, ...remote].map(calculatePenalty));
    const input: RankingInput = { ...request, leastPenalty };
    const bestLocal = await this.#pickLocal(subsets, input);
    if (bestLocal && isGoodEnough(bestLocal, request)) return bestLocal;
    const bestRemote = await this.#pickFromGroup(remote, input);
    if (!bestLocal) return bestRemote ?? this.#pickWithoutProbes([...local, ...remote], input);
    return bestRemote && isWorthDistance(bestRemote, bestLocal) ? bestRemote : bestLocal;
  }

  /** Probes further local endpoints before any in other failure domains, which cost more. */
  async #pickLocal(
    { local, furtherLocal }: EndpointSubsets,
    input: RankingInput,
  ): Promise<Pick | undefined> {
    let best = await this.#pickFromGroup(local, input);
    if (best && isGoodEnough(best, input)) return best;
    if (local.length > maxProbesPerGroup) {
      const unprobed = local.filter(needsProbe);
      best = chooseBetter(best, await this.#pickFromGroup(unprobed, input));
    }
    if ((best && isGoodEnough(best, input)) || !input.needsSpareCapacity) return best;
    return chooseBetter(best, await this.#pickFromGroup(furtherLocal, input));
  }

  /** Probes some endpoints of a group and returns the best reachable one. */
  async #pickFromGroup(group: readonly Endpoint[], input: RankingInput): Promise<Pick | undefined> {
    if (group.length === 0) return undefined;
    const sampled = this.#selectCandidates(group, input);
    const stale = sampled.filter(needsProbe);
    await waitForProbes(stale.map((endpoint) => this.#options.probeEndpoint(endpoint)));
    // An endpoint that has not answered yet has no slot for the probe, or is cut off. Its last known
    // load must not make it look better than those that have answered.
    const answered = sampled.filter((endpoint) => !needsProbe(endpoint));
    const reachable = sampled.filter(({ isReachable }) => isReachable);
    return this.#findBest(answered.length > 0 ? answered : reachable, input);
  }

  /**
   * Finds when the first endpoint may get a request.
   *
   * @param request - The call.
   * @returns The earliest monotonic time, in milliseconds, which may have passed; undefined when no
   * reachable endpoint of the service takes requests any more.
   */
  findNextRequestAt({ service, tried }: PickRequest): number | undefined {
    const times = this.#options
      .listEndpoints(service)
      .filter(({ registration: { id }, isReachable }) => isReachable && !tried.includes(id))
      .map((endpoint) => endpoint.findNextRequestAt())
      .filter((time) => time < Infinity);
    return times.length > 0 ? Math.min(...times) : undefined;
  }

  #pickWithoutProbes(group: readonly Endpoint[], input: RankingInput): Pick | undefined {
    return this.#findBest(
      group.filter(({ isReachable }) => isReachable),
      input,
    );
  }

  /** Selects the endpoints to probe: all of a small group, or a sample weighted by their ranks. */
  #selectCandidates(group: readonly Endpoint[], input: RankingInput): readonly Endpoint[] {
    if (group.length <= maxProbesPerGroup) return group;
    const ranked = group
      .map((endpoint) => ({
        endpoint,
        rank:
          this.#rank(endpoint, input).rankMs *
          (endpoint.pool.hasIdle ? 1 : newConnectionFactor) *
          (0.5 + this.#options.random.next()),
      }))
      .sort((a, b) => a.rank - b.rank);
    return ranked.slice(0, maxProbesPerGroup).map(({ endpoint }) => endpoint);
  }

  #findBest(group: readonly Endpoint[], input: RankingInput): Pick | undefined {
    let best: Pick | undefined;
    let bestLoad = Infinity;
    group.forEach((endpoint) => {
      const pick = this.#rank(endpoint, input);
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
    const { latency } = this.#options;
    const { registration, report, load, isWarm, reportAgeMs } = endpoint;
    const slots = Math.max(1, registration.slots);
    const usualMs = latency.estimateMs(route) * (isWarm ? 1 : coldFactor);
    const busyMultiplier = hasSpareCapacity(endpoint) ? 1 : busyFactor;
    const queuedPerSlot = Math.max(0, load + 1 - slots) / slots;
    const usualSlowdown = latency.getSlowdown(service);
    const reportedSlowdown = report?.slowdown ?? usualSlowdown;
    const weight = Math.max(0, 1 - reportAgeMs / speedReportTtlMs);
    const slowdown = usualSlowdown + weight * (reportedSlowdown - usualSlowdown);
    // An endpoint runs a call to its end at the speed that it had at the start.
    const expectedMs = usualMs * busyMultiplier * (1 + queuedPerSlot) * slowdown;
    const rankMs = (expectedMs * calculatePenalty(endpoint)) / leastPenalty;
    return { endpoint, expectedMs, rankMs, reportAgeMs, slowdown };
  }
}

/** A pick request with the penalty that ranks are relative to. */
interface RankingInput extends PickRequest {
  /** Lowest penalty of all endpoints: failures that all have in common must not affect ranks. */
  readonly leastPenalty: number;
}

/** Whether the load of an endpoint must be asked for. Some endpoints do not allow that. */
function needsProbe({ reportAgeMs, backpressure }: Endpoint): boolean {
  return reportAgeMs > maxFreshAgeMs && backpressure.allowsProbes;
}

function isGoodEnough(
  { endpoint, rankMs }: Pick,
  { route, needsSpareCapacity }: PickRequest,
): boolean {
  if (needsSpareCapacity && !hasSpareCapacity(endpoint)) return false;
  return rankMs <= localLatencyShare * route.targetLatencyMs;
}

function chooseBetter(a: Pick | undefined, b: Pick | undefined): Pick | undefined {
  if (!a || !b) return a ?? b;
  return b.rankMs < a.rankMs ? b : a;
}

function isWorthDistance(remote: Pick, local: Pick): boolean {
  return remote.rankMs < remoteGainFactor * local.rankMs;
}

function calculatePenalty({ failureScore, shedScore, isHealthy }: Endpoint): number {
  return (
    failureFactor ** failureScore * shedFactor ** shedScore * (isHealthy ? 1 : unhealthyFactor)
  );
}

/**
 * Whether an endpoint can run one more call without slowing down the others: most endpoints have a
 * lower throughput when all of their slots are in use.
 */
export function hasSpareCapacity({ load, registration }: Endpoint): boolean {
  return load + 1 <= Math.max(1, busySlotShare * registration.slots);
}

/** Waits for all probes, but after `slowProbeWaitMs` only for the first one that is answered. */
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
