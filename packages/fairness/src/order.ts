import type { WorkspaceId } from '@dotterelpass/values';

/** A call whose turn is decided. */
export interface FairCall {
  /** Undefined for calls without a workspace, which have no share. */
  readonly workspace: WorkspaceId | undefined;
  /** The configured rate of the workspace, which is its weight; 0 or undefined without one. */
  readonly ratePerSecond?: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether the call can no longer be answered within its target latency. */
  readonly isLate: boolean;
  /** Monotonic time until which the call can wait, in milliseconds. */
  readonly waitUntil: number;
  /** Estimated time that the call takes on an endpoint, in milliseconds. */
  readonly costMs: number;
}

/**
 * Orders by priority, then calls that can still meet their target first; no sharing between workspaces
 * may override this.
 */
export function compareRank(a: FairCall, b: FairCall): number {
  return a.priority - b.priority || Number(a.isLate) - Number(b.isLate);
}
