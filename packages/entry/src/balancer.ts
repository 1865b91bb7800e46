import { EndpointPool } from '@dotterelpass/proxy';
import type { Refusal } from '@dotterelpass/proxy';
import type {
  EndpointId,
  EndpointSpec,
  FailureDomain,
  Rule,
  Service,
  TenantId,
} from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** What the balancer knows of a call that asks for a slot. */
export interface SlotRequest {
  readonly service: Service;
  readonly rule: Rule;
  readonly tenant: TenantId;
  /** Monotonic time at which the answer is worthless, in milliseconds. */
  readonly deadlineAt: number;
  /** Endpoints that this call has tried. */
  readonly tried: readonly EndpointId[];
  /** Failure domains to avoid when others have room; a hedge names the one of its first attempt. */
  readonly avoidDomains?: readonly FailureDomain[];
  /** Whether no other call may run on the endpoint at the same time. */
  readonly alone?: boolean;
  readonly signal: AbortSignal;
}

/** How the use of a slot ended. */
export interface SlotOutcome {
  readonly result: 'answered' | 'shed' | 'failed' | 'cancelled';
  /** Value of the `endpoint-load-metrics` header of the answer. */
  readonly report?: string | undefined;
  /** Whether the endpoint said that it is leaving: 503 with `Connection: close`. */
  readonly leaving?: boolean;
}

/** The right to run one call on an endpoint. */
export interface Slot {
  readonly endpoint: EndpointSpec;
  readonly pool: EndpointPool;
  /** Gives the slot back; called once. */
  release(outcome: SlotOutcome): void;
}

/** Gives calls their slots. */
export class Balancer {
  readonly #pools = new Map<string, EndpointPool>();

  readonly #inFlight = new Map<string, number>();

  /**
   * Takes a slot on the active endpoint with the fewest calls of this instance.
   *
   * @param request - The call.
   * @returns The slot, or a refusal that says `not-run`.
   */
  async acquire(request: SlotRequest): Promise<Result<Slot, Refusal>> {
    const active = request.service.endpoints.filter(({ state }) => state === 'active');
    const untried = active.filter(({ id }) => !request.tried.includes(id));
    const candidates = untried.length > 0 ? untried : active;
    const [endpoint] = [...candidates].sort((a, b) => this.#count(a) - this.#count(b));
    if (!endpoint) {
      const message = `service ${request.service.name} has no active endpoint`;
      return err({ status: 503, verdict: 'not-run', message, retryAfterSeconds: 1 });
    }
    this.#inFlight.set(endpoint.address, this.#count(endpoint) + 1);
    return ok({
      endpoint,
      pool: this.#findPool(endpoint),
      release: () => this.#inFlight.set(endpoint.address, this.#count(endpoint) - 1),
    });
  }

  /** Closes all connections to endpoints. */
  close(): void {
    this.#pools.forEach((pool) => pool.close());
  }

  #count(endpoint: EndpointSpec): number {
    return this.#inFlight.get(endpoint.address) ?? 0;
  }

  #findPool(endpoint: EndpointSpec): EndpointPool {
    const known = this.#pools.get(endpoint.address);
    if (known) return known;
    const pool = new EndpointPool(endpoint.address, endpoint.connections);
    this.#pools.set(endpoint.address, pool);
    return pool;
  }
}
