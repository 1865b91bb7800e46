import type { Incarnation, InstanceId } from '@dotterelpass/values';

/** One attempt of an entry instance to run a request; each claim message has a new number. */
export interface Holder {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly attempt: number;
}

/** An answer of an endpoint that is kept for a re-send. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/** How an attempt ended; `answer` is absent when it was too large to keep. */
export type Outcome =
  | { readonly verdict: 'not-run' }
  | { readonly verdict: 'may-have-run' }
  | { readonly verdict: 'ran'; readonly answer?: KeptAnswer };

/** Asks for leave to run the request with a key. */
export interface Claim {
  /** Hash of tenant, service and key, or the ticket. */
  readonly key: string;
  /** Hash of everything that a re-send must repeat. */
  readonly digest: string;
  readonly holder: Holder;
  /** Earlier attempts of the same executor for this key that it will never run. */
  readonly givenUp: readonly number[];
}

/** What the executor named in a record says about its attempt. */
export type AttemptStatus =
  | { readonly kind: 'running' }
  | { readonly kind: 'ended'; readonly outcome: Outcome }
  /** That run of the process has ended, or has forgotten the attempt. */
  | { readonly kind: 'gone' }
  /** No answer came; nothing is known. */
  | { readonly kind: 'silent' };

/** Asks an executor about one of its attempts. After a `not-run` it never runs that attempt. */
export type Inquire = (holder: Holder) => Promise<AttemptStatus>;

/** The answer to a claim. Only `granted` allows a run; any other one ends the attempt. */
export type ClaimAnswer =
  | { readonly kind: 'granted' }
  | { readonly kind: 'settled'; readonly answer?: KeptAnswer }
  /** The key was used before with another body. */
  | { readonly kind: 'mismatch' }
  /** The request was granted to an executor that is gone. */
  | { readonly kind: 'unknown' }
  /** Another attempt is still running. */
  | { readonly kind: 'busy' }
  /** `fresh` says that no attempt with this key has run. */
  | { readonly kind: 'refused'; readonly fresh: boolean; readonly reason: string }
  /** Whoever was asked does not decide about this key. */
  | { readonly kind: 'moved' };

/** @returns Whether two holders are the same attempt of the same run of a process. */
export function isSameHolder(a: Holder, b: Holder): boolean {
  return isSameRun(a, b) && a.attempt === b.attempt;
}

/** @returns Whether two holders belong to the same run of a process. */
export function isSameRun(a: Holder, b: Holder): boolean {
  return a.instance === b.instance && a.incarnation === b.incarnation;
}
