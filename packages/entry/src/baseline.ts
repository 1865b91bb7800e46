import type { BalancingPolicy } from '@dotterelpass/selection';
import type { ConnectionPool, Refusal } from '@dotterelpass/proxy';
import type { EndpointId, EndpointSpec, Service } from '@dotterelpass/values';
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { SlotSource, refuseCall } from './source.js';
import type { Slot, SlotOutcome, SlotRequest } from './source.js';

/** What a source of slots needs from the balancer. */
export interface EndpointAccess {
  findPool(endpoint: EndpointSpec): ConnectionPool;
  /** Whether an endpoint may get new work as far as its state goes. */
  isUsable(endpoint: EndpointSpec): boolean;
  /** Takes what the end of a call tells of the endpoint's state. */
  recordOutcome(endpoint: EndpointSpec, outcome: SlotOutcome): void;
}

/** Sends each call at once, by a policy that knows the calls of this instance alone. */
export class BaselineSource extends SlotSource {
  readonly #access: EndpointAccess;

  readonly #policy: BalancingPolicy;

  readonly #inFlight = new Map<EndpointId, number>();

  constructor(service: Service, access: EndpointAccess, policy: BalancingPolicy) {
    super(service);
    this.#access = access;
    this.#policy = policy;
  }

  override isIdle(endpoint: EndpointId): boolean {
    return this.#count(endpoint) === 0;
  }

  override async acquire(request: SlotRequest): Promise<Result<Slot, Refusal>> {
    const usable = this.service.endpoints.filter((endpoint) => this.#access.isUsable(endpoint));
    const untried = usable.filter(({ id }) => !request.tried.includes(id));
    const candidates = (untried.length > 0 ? untried : usable).map((endpoint) => ({
      id: endpoint.id,
      endpoint,
      inFlight: this.#count(endpoint.id),
      expectedMs: 0,
    }));
    const picked = this.#policy.pick(candidates);
    if (!picked) return refuseCall(`service ${this.service.name} has no active endpoint`);
    const { endpoint } = picked;
    this.#inFlight.set(endpoint.id, this.#count(endpoint.id) + 1);
    return ok({
      endpoint,
      pool: this.#access.findPool(endpoint),
      release: (outcome) => {
        this.#inFlight.set(endpoint.id, this.#count(endpoint.id) - 1);
        this.#access.recordOutcome(endpoint, outcome);
      },
    });
  }

  #count(id: EndpointId): number {
    return this.#inFlight.get(id) ?? 0;
  }
}
