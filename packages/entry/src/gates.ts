import type { Refusal } from '@dotterelpass/proxy';
import type { Incarnation, InstanceId, RequestId, ServiceId, TenantId } from '@dotterelpass/values';

/** This instance's view of the membership of the fleet. */
export interface Members {
  readonly self: InstanceId;
  /**
   * Live entry instances, sorted by name. This instance is included while it may consider itself
   * live: not before the first response of a peer, and not between a pause of its process and a
   * confirmed refutation.
   */
  readonly live: readonly InstanceId[];
  /**
   * Finds the current incarnation of a live instance.
   *
   * @returns Undefined if the instance is not live or has not sent a message yet.
   */
  findIncarnation(instance: InstanceId): Incarnation | undefined;
  /** Registers a function that is called after `live` or an incarnation has changed. */
  watch(listener: () => void): void;
}

/** A response of an endpoint, stored for replay under an idempotency key. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/** A call of class `once` that requests permission to run. */
export interface OnceCall {
  readonly requestId: RequestId;
  readonly service: ServiceId;
  readonly tenant: TenantId;
  /** Value of the `Idempotency-Key` header. */
  readonly key: string;
  /** SHA-256 of method, path, query and body, in hexadecimal. */
  readonly requestDigest: string;
  /** Monotonic time of the call's deadline, in milliseconds. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
}

/** The outcome of a `once` call, recorded under its key. */
export type OnceOutcome =
  | { readonly verdict: 'not-run' }
  | { readonly verdict: 'may-have-run' }
  /** `answer` is absent if the response was too large to store. */
  | { readonly verdict: 'ran'; readonly answer?: StoredResponse };

/** Decision about a `once` call. After `run`, `settle` must be called exactly once. */
export type OnceAdmission =
  | { readonly kind: 'run'; settle(outcome: OnceOutcome): void }
  | { readonly kind: 'replay'; readonly answer: StoredResponse }
  | { readonly kind: 'refuse'; readonly refusal: Refusal };

/** Ensures that each idempotency key runs at most once in the fleet. */
export interface OnceGate {
  admit(call: OnceCall): Promise<OnceAdmission>;
  /** Issues a single-use ticket that callers send as an idempotency key. */
  issueTicket(): string;
}

/**
 * Decision about a request that may have crashed an endpoint before. After `run`, `finish` must be
 * called exactly once.
 */
export type SuspectAdmission =
  | {
      readonly kind: 'run';
      /** Whether the request must be the only one on its endpoint. */
      readonly exclusive: boolean;
      /**
       * @param crashed - Whether the endpoint crashed.
       * @param answered - Whether the endpoint sent a complete response; defaults to `!crashed`.
       * If both are false, or the request was not run, the suspect is neither cleared nor banned.
       */
      finish(crashed: boolean, answered?: boolean): void;
    }
  | { readonly kind: 'refuse'; readonly refusal: Refusal };

/** Keeps requests that crash endpoints from crashing further ones. */
export interface SuspectGate {
  /** @param fingerprint - SHA-256 of method, path, query and body, in hexadecimal. */
  admit(fingerprint: string, deadlineAt: number, signal: AbortSignal): Promise<SuspectAdmission>;
  /** Reports that an endpoint crashed while it was running requests with these fingerprints. */
  reportCrash(address: string, fingerprints: readonly string[]): void;
}
