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

/** A request for a slot for one attempt of a call. */
export interface SlotRequest {
  readonly service: Service;
  readonly rule: Rule;
  readonly tenant: TenantId;
  /** Monotonic time of the call's deadline, in milliseconds. */
  readonly deadlineAt: number;
  /** Endpoints of earlier attempts of this call. */
  readonly tried: readonly EndpointId[];
  readonly signal: AbortSignal;
  /** Whether no other call of the fleet may run on the endpoint: the call may crash it. */
  readonly exclusive?: boolean | undefined;
  /** Avoided while other domains have free slots; a hedge avoids that of the first attempt. */
  readonly avoidDomains?: readonly FailureDomain[] | undefined;
}

/** The outcome of the attempt that used a slot. */
export interface SlotOutcome {
  readonly result: 'answered' | 'shed' | 'failed' | 'cancelled';
  /** HTTP status of the response; 500 and above counts as a failure of the endpoint. */
  readonly status?: number | undefined;
  /** Value of the `endpoint-load-metrics` header of the response. */
  readonly report?: string | undefined;
  /** Whether the endpoint is closing its connections: a 503 with `Connection: close`. */
  readonly leaving?: boolean | undefined;
}

/** Permission to run one call on an endpoint. */
export interface Slot {
  readonly endpoint: EndpointSpec;
  readonly pool: ConnectionPool;
  /** Must be called exactly once. */
  release(outcome: SlotOutcome): void;
}

/** Assigns slots to the calls of one service. */
export abstract class SlotSource {
  #service: Service;

  /** @param service - The active configuration of the service. */
  constructor(service: Service) {
    this.#service = service;
  }

  /** The active configuration of the service. */
  get service(): Service {
    return this.#service;
  }

  /** @param service - The new active configuration. */
  setService(service: Service): void {
    this.#service = service;
  }

  /** Whether no recent call has shown the state of an endpoint. */
  abstract isIdle(endpoint: EndpointId): boolean;

  /** Acquires a slot, or refuses with `not-run`. */
  abstract acquire(request: SlotRequest): Promise<Result<Slot, Refusal>>;
}

/** @returns A refusal of a call of which no byte was sent to an endpoint. */
export function refuseCall(message: string, retryAfterSeconds = 1): Result<never, Refusal> {
  return err({ status: 503, verdict: 'not-run', message, retryAfterSeconds });
}
