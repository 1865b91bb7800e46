import type { WorkspaceId } from '@dotterelpass/values';

/** A workspace, as the configuration has it. Its keys are kept apart, in the table. */
export interface Workspace {
  readonly name: WorkspaceId;
  /** Goes before the priority of the route; 0 is the most urgent. Undefined: the route decides. */
  readonly priority: number | undefined;
  /** Requests a second over all instances; 0 without a limit. */
  readonly ratePerSecond: number;
  /** Requests beyond the rate that may come at once. */
  readonly burst: number;
}
