import type { BalancingPolicy } from '@dotterelpass/selection';
import type { ConnectionPool, Refusal } from '@dotterelpass/proxy';
import type { EndpointId, EndpointSpec, Service } from '@dotterelpass/values';
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { SlotSource, refuseCall } from './slot.js';
import type { Slot, SlotOutcome, SlotRequest } from './slot.js';

/** State of endpoints that all slot sources share, kept by the balancer. */
export interface EndpointAccess {
  findPool(endpoint: EndpointSpec): ConnectionPool;
  /** Whether an endpoint is active and not leaving. */
  isUsable(endpoint: EndpointSpec): boolean;
  /** Updates the state of an endpoint from the outcome of a call. */
  recordOutcome(endpoint: EndpointSpec, outcome: SlotOutcome): void;
}

/** Assigns slots without queueing, by a policy that counts only the calls of this instance. */
export class LocalSlotSource extends SlotSource {
  readonly #access: EndpointAccess;

  readonly #policy: BalancingPolicy;

  readonly #inFlight = new Map<EndpointId, number>();

  constructor(service: Service, access: EndpointAccess, policy: BalancingPolicy) {
    super(service);
    this.#access = access;
    this.#policy = policy;
  }

  override isIdle(endpoint: EndpointId): boolean {
    return this.#countInFlight(endpoint) === 0;
  }

  override async acquire(request: SlotRequest): Promise<Result<Slot, Refusal>> {
    const usable = this.service.endpoints.filter((endpoint) => this.#access.isUsable(endpoint));
    const untried = usable.filter(({ id }) => !request.tried.includes(id));
    const candidates = (untried.length > 0 ? untried : usable).map((endpoint) => ({
      id: endpoint.id,
      endpoint,
      inFlight: this.#countInFlight(endpoint.id),
      expectedMs: 0,
    }));
    const picked = this.#policy.pick(candidates);
    if (!picked) return refuseCall(`service ${this.service.name} has no active endpoint`);
    const { endpoint } = picked;
    this.#inFlight.set(endpoint.id, this.#countInFlight(endpoint.id) + 1);
    return ok({
      endpoint,
      pool: this.#access.findPool(endpoint),
      release: (outcome) => {
        this.#inFlight.set(endpoint.id, this.#countInFlight(endpoint.id) - 1);
        this.#access.recordOutcome(endpoint, outcome);
      },
    });
  }

  #countInFlight(id: EndpointId): number {
    return this.#inFlight.get(id) ?? 0;
  }
}
