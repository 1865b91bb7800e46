import type { WorkspaceId } from '@dotterelpass/values';

/** A call whose turn is decided. */
export interface FairCall {
  /** Undefined for calls without a workspace, which share as one. */
  readonly workspace: WorkspaceId | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
}
