import type { LimitKey } from '@dotterelpass/values';

/** A rate limit that all instances keep together. */
export interface LimitSpec {
  readonly key: LimitKey;
  /** Positive. */
  readonly ratePerSecond: number;
  /** Requests beyond the rate that may come at once. */
  readonly burst: number;
  /** Version of the configuration that sets the limit; the highest one that is known counts. */
  readonly version: number;
}

/** Whether a request may be sent under a limit. */
export type QuotaDecision =
  | { readonly kind: 'granted' }
  /** `retryAfterMs` is the time until a token is due for this caller. */
  | { readonly kind: 'denied'; readonly retryAfterMs: number };

/** Hands out the tokens of the limits that all instances share. */
export abstract class FleetLimiter {
  /**
   * Takes one token of a limit.
   *
   * @param limit - The limit.
   * @param isReturning - Whether the caller has come back after a refusal. Its request must not take
   * the token of one that comes for the first time.
   */
  abstract take(limit: LimitSpec, isReturning?: boolean): Promise<QuotaDecision>;

  /**
   * Gives back a token of a request that reached no endpoint.
   *
   * @param key - Key of the limit.
   */
  abstract giveBack(key: LimitKey): void;
}
