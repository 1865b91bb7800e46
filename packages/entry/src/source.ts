import type { ConnectionPool, Refusal } from '@dotterelpass/proxy';
import type {
  EndpointId,
  EndpointSpec,
  FailureDomain,
  Rule,
  Service,
  TenantId,
} from '@dotterelpass/values';
import { err } from 'neverthrow';
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
  readonly signal: AbortSignal;
  /** The call may crash its endpoint: no other call of the fleet may run there meanwhile. */
  readonly alone?: boolean | undefined;
  /** To be avoided while others have room; a hedge names the domain of its first attempt. */
  readonly avoidDomains?: readonly FailureDomain[] | undefined;
}

/** How the use of a slot ended. */
export interface SlotOutcome {
  readonly result: 'answered' | 'shed' | 'failed' | 'cancelled';
  /** HTTP status of the answer; one of 500 and above counts as a failure of the endpoint. */
  readonly status?: number | undefined;
  /** Value of the `endpoint-load-metrics` header of the answer. */
  readonly report?: string | undefined;
  /** The endpoint closes its connections: 503 with `Connection: close`. */
  readonly leaving?: boolean | undefined;
}

/** The right to run one call on an endpoint. */
export interface Slot {
  readonly endpoint: EndpointSpec;
  readonly pool: ConnectionPool;
  /** Gives the slot back; called once. */
  release(outcome: SlotOutcome): void;
}

/** Gives the calls of one service their slots. */
export abstract class SlotSource {
  #service: Service;

  /** @param service - The configuration in force. */
  constructor(service: Service) {
    this.#service = service;
  }

  /** The configuration in force. */
  get service(): Service {
    return this.#service;
  }

  /** @param service - The configuration that comes into force. */
  setService(service: Service): void {
    this.#service = service;
  }

  /** Whether no call has lately told how an endpoint does. */
  abstract isIdle(endpoint: EndpointId): boolean;

  /** Takes a slot, or refuses with `not-run`. */
  abstract acquire(request: SlotRequest): Promise<Result<Slot, Refusal>>;
}

/** @returns A refusal of a call that no byte was sent of. */
export function refuseCall(message: string, retryAfterSeconds = 1): Result<never, Refusal> {
  return err({ status: 503, verdict: 'not-run', message, retryAfterSeconds });
}
