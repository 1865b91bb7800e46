import type { WorkspaceId } from '@dotterelpass/values';
import { WorkspaceTable, hashKey } from '@dotterelpass/workspaces';

/** Builds a table of workspaces by name, each with its keys and, if given, its priority. */
export function buildTable(
  keysByName: Readonly<Record<string, readonly string[]>>,
  priority?: number,
): WorkspaceTable {
  const entries = Object.entries(keysByName).map(([name, keys]) => ({
    workspace: { name: name as WorkspaceId, priority, ratePerSecond: 0, burst: 0 },
    keyDigests: keys.map(hashKey),
  }));
  const table = WorkspaceTable.build(entries);
  if (table.isErr()) throw new RangeError(table.error);
  return table.value;
}
