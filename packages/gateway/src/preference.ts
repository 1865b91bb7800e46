import { rankByHash } from '@dotterelpass/values';
import type { EndpointId, FailureDomain, InstanceId } from '@dotterelpass/values';
import type { Endpoint } from './endpoint.js';

/** Minimum number of endpoints of a service that an instance uses in its failure domain. */
const minSubsetSize = 8;

/** Mean number of instances of a failure domain that use the same local endpoint. */
const meanUsers = 4;

/**
 * Number of endpoints in other failure domains that an instance considers for a call, while it has
 * local ones.
 */
const remoteSubsetSize = 4;

/**
 * Endpoints of a service that an instance considers first, and the other local ones. Without usable
 * local endpoints, as in an evacuated failure domain, those of all other domains take their place.
 */
export interface EndpointSubsets {
  readonly local: readonly Endpoint[];
  readonly remote: readonly Endpoint[];
  /** Endpoints that are used when those of `local` have no capacity. */
  readonly furtherLocal: readonly Endpoint[];
}

/** Endpoints of one service, each group in the order of preference. */
interface OrderedEndpoints {
  readonly local: readonly Endpoint[];
  readonly remote: readonly Endpoint[];
  readonly domainCount: number;
}

/**
 * Chooses the endpoints that an instance uses, so that the number of its connections does not grow
 * with the number of endpoints. Each instance has an order of its own by rendezvous hashing: the
 * subsets of the instances overlap, and an endpoint that comes or goes changes few of them.
 */
export class EndpointPreference {
  readonly #instance: InstanceId;

  readonly #failureDomain: FailureDomain;

  /** By the list of a service's endpoints, which is replaced when it changes. */
  readonly #orders = new WeakMap<readonly Endpoint[], OrderedEndpoints>();

  constructor(instance: InstanceId, failureDomain: FailureDomain) {
    this.#instance = instance;
    this.#failureDomain = failureDomain;
  }

  /**
   * Selects the endpoints for a call.
   *
   * @param endpoints - All endpoints of the service; the list must not be modified afterwards.
   * @param tried - Endpoints that are excluded.
   * @param fleetSize - Number of instances in all failure domains.
   */
  selectSubsets(
    endpoints: readonly Endpoint[],
    tried: readonly EndpointId[],
    fleetSize: number,
  ): EndpointSubsets {
    const { local, remote, domainCount } = this.#getOrCreateOrder(endpoints);
    const usableLocal = selectUsable(local, tried);
    const usableRemote = selectUsable(remote, tried);
    if (usableLocal.length === 0) {
      // Such an instance uses its part of the endpoints of all domains.
      const size = calculateSubsetSize(remote.length, fleetSize);
      return {
        local: usableRemote.slice(0, size),
        remote: [],
        furtherLocal: usableRemote.slice(size),
      };
    }
    const localSize = calculateSubsetSize(local.length, fleetSize / domainCount);
    return {
      local: usableLocal.slice(0, localSize),
      remote: usableRemote.slice(0, remoteSubsetSize),
      furtherLocal: usableLocal.slice(localSize),
    };
  }

  #getOrCreateOrder(endpoints: readonly Endpoint[]): OrderedEndpoints {
    const existing = this.#orders.get(endpoints);
    if (existing) return existing;
    const byId = new Map(endpoints.map((endpoint) => [endpoint.registration.id, endpoint]));
    const sorted = rankByHash(this.#instance, [...byId.keys()]).flatMap((id) => byId.get(id) ?? []);
    const isLocal = ({ registration }: Endpoint) =>
      registration.failureDomain === this.#failureDomain;
    const domains = new Set(endpoints.map(({ registration }) => registration.failureDomain));
    const order = {
      local: sorted.filter(isLocal),
      remote: sorted.filter((endpoint) => !isLocal(endpoint)),
      domainCount: Math.max(1, domains.size),
    };
    this.#orders.set(endpoints, order);
    return order;
  }
}

/**
 * Calculates how many endpoints of a group an instance uses.
 *
 * @param instances - Number of instances that share the group.
 */
function calculateSubsetSize(endpoints: number, instances: number): number {
  return Math.max(minSubsetSize, Math.ceil((meanUsers * endpoints) / Math.max(1, instances)));
}

/**
 * @returns The endpoints that were not tried and may get a request now; only the reachable ones
 * unless there are none.
 */
function selectUsable(
  endpoints: readonly Endpoint[],
  tried: readonly EndpointId[],
): readonly Endpoint[] {
  const usable = endpoints.filter(
    ({ registration: { id }, allowsRequest }) => !tried.includes(id) && allowsRequest,
  );
  const reachable = usable.filter(({ isReachable }) => isReachable);
  return reachable.length > 0 ? reachable : usable;
}
