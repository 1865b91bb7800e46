import type { WorkspaceId } from '@dotterelpass/values';
import { WorkspaceTable, hashKey } from '@dotterelpass/workspaces';
import type { WorkspaceEntry } from '@dotterelpass/workspaces';
import type { Figure, Scenario } from './scenario.js';
import { measureMemory, measureProcessorTime } from './usage.js';

const workspaceCounts = [79, 10_000];

const keysPerWorkspace = 2;

/** Lookups in one measurement. */
const lookupCount = 200_000;

const nanosecondsPerMillisecond = 1e6;

const bytesPerKilobyte = 1024;

/** Measures what it costs to find the workspace of a request by its key. */
export const keysScenario: Scenario = {
  name: 'keys',
  description: 'time to find a workspace by a key, with 79 and 10,000 workspaces (in memory)',
  async run({ runs, reportProgress }) {
    const figures: Figure[] = [];
    for (const count of workspaceCounts) {
      const table = buildTable(makeEntries(count));
      const known = makeKeys(count, 'key');
      const unknown = makeKeys(count, 'other');
      const knownTimes: number[] = [];
      const unknownTimes: number[] = [];
      const buildTimes: number[] = [];
      const memory: number[] = [];
      for (let run = 0; run < runs; run++) {
        knownTimes.push(await measureLookups(table, known));
        unknownTimes.push(await measureLookups(table, unknown));
        buildTimes.push(
          await measureProcessorTime(() => {
            buildTable(makeEntries(count));
          }),
        );
        memory.push(measureMemory(() => buildTable(makeEntries(count))) / bytesPerKilobyte);
      }
      reportProgress(`${count} workspaces`);
      figures.push(
        { name: `known key, ${count} workspaces`, unit: 'ns', values: knownTimes },
        { name: `unknown key, ${count} workspaces`, unit: 'ns', values: unknownTimes },
        { name: `table of ${count} workspaces`, unit: 'ms', values: buildTimes },
        { name: `memory, ${count} workspaces`, unit: 'KB', values: memory },
      );
    }
    return figures;
  },
};

function makeKeys(count: number, prefix: string): readonly string[] {
  return Array.from({ length: count * keysPerWorkspace }, (_, index) => `${prefix}-${index}`);
}

function makeEntries(count: number): readonly WorkspaceEntry[] {
  const keys = makeKeys(count, 'key');
  return Array.from({ length: count }, (_, index) => ({
    workspace: {
      name: `workspace-${index}` as WorkspaceId,
      priority: undefined,
      ratePerSecond: 0,
      burst: 0,
    },
    keyDigests: keys.slice(index * keysPerWorkspace, (index + 1) * keysPerWorkspace).map(hashKey),
  }));
}

function buildTable(entries: readonly WorkspaceEntry[]): WorkspaceTable {
  const table = WorkspaceTable.build(entries);
  if (table.isErr()) throw new RangeError(table.error);
  return table.value;
}

/** @returns Processor time of one lookup, in nanoseconds. */
async function measureLookups(table: WorkspaceTable, keys: readonly string[]): Promise<number> {
  const ms = await measureProcessorTime(() => {
    for (let count = 0; count < lookupCount; count++) {
      table.findByKey(keys[count % keys.length] as string);
    }
  });
  return (ms * nanosecondsPerMillisecond) / lookupCount;
}
