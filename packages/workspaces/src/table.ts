import { hash } from 'node:crypto';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Branded, WorkspaceId } from '@dotterelpass/values';
import type { Workspace } from './workspace.js';

/** SHA-256 of a key, in hexadecimal digits. */
export type KeyDigest = Branded<'key-digest'>;

/** A workspace with its keys, as the configuration lists it. */
export interface WorkspaceEntry {
  readonly workspace: Workspace;
  readonly keyDigests: readonly KeyDigest[];
}

/**
 * Hashes a key. Only digests are kept, so that nothing that shows or passes on the state of an
 * instance can show a key, and so that the time of a lookup tells nothing about the keys.
 */
export function hashKey(key: string): KeyDigest {
  return hash('sha256', key) as KeyDigest;
}

/** The workspaces of one configuration, by key and by name. Immutable. */
export class WorkspaceTable {
  readonly #byKey: ReadonlyMap<KeyDigest, Workspace>;

  readonly #byName: ReadonlyMap<WorkspaceId, Workspace>;

  private constructor(
    byKey: ReadonlyMap<KeyDigest, Workspace>,
    byName: ReadonlyMap<WorkspaceId, Workspace>,
  ) {
    this.#byKey = byKey;
    this.#byName = byName;
  }

  /**
   * Builds the table of a configuration.
   *
   * @param entries - The workspaces.
   * @returns The table, or the names of two workspaces that cannot be told apart.
   */
  static build(entries: readonly WorkspaceEntry[]): Result<WorkspaceTable, string> {
    const byKey = new Map<KeyDigest, Workspace>();
    const byName = new Map<WorkspaceId, Workspace>();
    for (const { workspace, keyDigests } of entries) {
      const { name } = workspace;
      if (byName.has(name)) return err(`workspace ${name} is defined twice`);
      byName.set(name, workspace);
      for (const digest of keyDigests) {
        const other = byKey.get(digest);
        if (other && other !== workspace) {
          return err(`workspaces ${other.name} and ${name} have a key in common`);
        }
        byKey.set(digest, workspace);
      }
    }
    return ok(new WorkspaceTable(byKey, byName));
  }

  /** Number of workspaces. */
  get size(): number {
    return this.#byName.size;
  }

  /** The workspaces, in the order of the configuration. */
  list(): readonly Workspace[] {
    return [...this.#byName.values()];
  }

  /** @returns The workspace that a key belongs to; undefined for an unknown key. */
  findByKey(key: string): Workspace | undefined {
    return this.#byKey.get(hashKey(key));
  }

  findByName(name: WorkspaceId): Workspace | undefined {
    return this.#byName.get(name);
  }
}
