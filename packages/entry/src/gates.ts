import type { Refusal } from '@dotterelpass/proxy';
import type { Incarnation, InstanceId, RequestId, ServiceId, TenantId } from '@dotterelpass/values';

/** The entry instances as this one sees them. */
export interface Members {
  readonly self: InstanceId;
  /**
   * Live entry instances, sorted by name. This one is included while it may count itself live: not
   * before its first answer of a peer, and not between a pause and a confirmed refutation.
   */
  readonly live: readonly InstanceId[];
  /**
   * Finds the present incarnation of a live instance.
   *
   * @returns Undefined when the instance is not live or has not been heard yet.
   */
  findIncarnation(instance: InstanceId): Incarnation | undefined;
  /** Registers a function that is called after `live` or an incarnation has changed. */
  watch(listener: () => void): void;
}

/** An answer of an endpoint that is kept for a re-send. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/** A call of class `once` that asks for leave to run. */
export interface OnceCall {
  readonly requestId: RequestId;
  readonly service: ServiceId;
  readonly tenant: TenantId;
  /** Value of the `Idempotency-Key` header. */
  readonly key: string;
  /** SHA-256 of method, path, query and body, in hexadecimal. */
  readonly requestDigest: string;
  /** Monotonic time at which the answer is worthless, in milliseconds. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
}

/** How the run of a `once` call ended. */
export type OnceOutcome =
  | { readonly verdict: 'not-run' }
  | { readonly verdict: 'may-have-run' }
  /** `answer` is absent when it was too large to keep. */
  | { readonly verdict: 'ran'; readonly answer?: StoredResponse };

/** What a `once` call may do. After `run`, `settle` is called exactly once. */
export type OnceAdmission =
  | { readonly kind: 'run'; settle(outcome: OnceOutcome): void }
  | { readonly kind: 'replay'; readonly answer: StoredResponse }
  | { readonly kind: 'refuse'; readonly refusal: Refusal };

/** Lets each key run at most once in the fleet. */
export interface OnceGate {
  admit(call: OnceCall): Promise<OnceAdmission>;
  /** Mints a one-time ticket that serves as a key. */
  issueTicket(): string;
}

/** What a request may do that may have crashed an endpoint before. `finish` is called once. */
export type SuspectAdmission =
  | {
      readonly kind: 'run';
      readonly exclusive: boolean;
      /**
       * @param crashed - Whether the endpoint crashed.
       * @param answered - Whether the endpoint gave its whole answer, by default when it did not
       * crash. A run without either, or none at all, neither clears a suspect nor bans it.
       */
      finish(crashed: boolean, answered?: boolean): void;
    }
  | { readonly kind: 'refuse'; readonly refusal: Refusal };

/** Keeps requests that crash endpoints from doing so again and again. */
export interface SuspectGate {
  /** @param fingerprint - SHA-256 of method, path, query and body, in hexadecimal. */
  admit(fingerprint: string, deadlineAt: number, signal: AbortSignal): Promise<SuspectAdmission>;
  /** Tells that an endpoint crashed while it ran the requests with these fingerprints. */
  reportCrash(address: string, fingerprints: readonly string[]): void;
}
