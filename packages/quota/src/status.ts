import type { InstanceId } from '@dotterelpass/values';
import type { CoordinatedGroup } from './coordinator.js';
import type { DenialCause, LimitCounts } from './limit.js';
import type { LimitSpec } from './limiter.js';

/** What an instance decides about shared limits, for the log. */
export type QuotaEvent =
  | {
      readonly kind: 'failover';
      readonly groups: readonly number[];
      readonly from: InstanceId;
      /** Undefined when no coordinator responds, so that the own share is used. */
      readonly to: InstanceId | undefined;
      readonly reason: string;
      /** Time since the last response, in milliseconds; undefined when there was none. */
      readonly ageMs: number | undefined;
      readonly size: number;
    }
  | {
      readonly kind: 'denials-began';
      readonly limit: LimitSpec;
      readonly cause: DenialCause;
      readonly coordinator: InstanceId | undefined;
      /** Instances attached to the coordinator, and its tokens; undefined for the own share. */
      readonly attached: number | undefined;
      readonly tokens: number | undefined;
      readonly size: number;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: 'denials-ended';
      readonly limit: LimitSpec;
      readonly lastedMs: number;
      readonly denied: number;
    };

/** What operators see of a limit. */
export interface LimitStatus extends LimitSpec, LimitCounts {
  readonly coordinator: InstanceId | undefined;
}

/** What operators see of the shared limits on one instance. */
export interface QuotaStatus {
  readonly isActive: boolean;
  readonly size: number;
  readonly groups: readonly {
    readonly group: number;
    readonly coordinator: InstanceId | undefined;
  }[];
  readonly coordinating: readonly CoordinatedGroup[];
  readonly limits: readonly LimitStatus[];
}
