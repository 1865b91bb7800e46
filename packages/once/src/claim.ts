import type { Incarnation, InstanceId } from '@dotterelpass/values';

/** Identifies one attempt to execute a request; each claim message has a new attempt number. */
export interface Holder {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly attempt: number;
}

/** A response of an endpoint, kept so that it can be replayed to a repeated request. */
export interface CachedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/** How an attempt ended; `answer` is absent when the response was too large to cache. */
export type Outcome =
  | { readonly verdict: 'not-run' }
  | { readonly verdict: 'may-have-run' }
  | { readonly verdict: 'ran'; readonly answer?: CachedResponse };

/** A request for permission to execute the call with a given key. */
export interface Claim {
  /** Hash of the tenant, the service and the caller's key, or the ticket. */
  readonly key: string;
  /** Hash of all parts of the request that a repeated request must have in common. */
  readonly digest: string;
  readonly holder: Holder;
  /** Earlier attempts of the same process for this key that it will never execute. */
  readonly givenUp: readonly number[];
}

/** The state of an attempt as reported by the instance that a record names as its executor. */
export type AttemptStatus =
  | { readonly kind: 'running' }
  | { readonly kind: 'ended'; readonly outcome: Outcome }
  /** The process that made the attempt has ended or no longer remembers the attempt. */
  | { readonly kind: 'gone' }
  /** The executor did not answer, so the state of the attempt is unknown. */
  | { readonly kind: 'silent' };

/**
 * Asks an executor about one of its attempts. An executor that has answered `not-run` never
 * executes that attempt.
 */
export type AttemptInquiry = (holder: Holder) => Promise<AttemptStatus>;

/** The answer to a claim. Only `granted` permits execution; every other answer ends the attempt. */
export type ClaimAnswer =
  | { readonly kind: 'granted' }
  | { readonly kind: 'settled'; readonly answer?: CachedResponse }
  /** The key was used before for a request with a different digest. */
  | { readonly kind: 'mismatch' }
  /** An earlier attempt was granted and may have been executed, as when its executor is gone. */
  | { readonly kind: 'unknown' }
  /** Another attempt is still running. */
  | { readonly kind: 'busy' }
  /** `fresh` says that no attempt with this key has been executed. */
  | { readonly kind: 'refused'; readonly fresh: boolean; readonly reason: string }
  /** The instance that received the claim does not decide about this key. */
  | { readonly kind: 'moved' };

/** @returns Whether two holders are the same attempt of the same process. */
export function isSameHolder(a: Holder, b: Holder): boolean {
  return isSameProcess(a, b) && a.attempt === b.attempt;
}

/** @returns Whether two holders belong to the same incarnation of the same instance. */
export function isSameProcess(a: Holder, b: Holder): boolean {
  return a.instance === b.instance && a.incarnation === b.incarnation;
}
