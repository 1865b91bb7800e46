import type { WorkspaceTable } from './table.js';
import type { Workspace } from './workspace.js';

/** What a request states about its caller. */
export type Credential =
  | { readonly kind: 'missing' }
  /** The request has credentials that hold no key. */
  | { readonly kind: 'malformed' }
  | { readonly kind: 'key'; readonly key: string };

/** Why a request is rejected. */
export type RejectionCause = 'missing' | 'malformed' | 'unknown';

/** Whose request it is. */
export type Identification =
  | { readonly kind: 'identified'; readonly workspace: Workspace }
  /** A request on a public route without a known key. */
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'rejected'; readonly cause: RejectionCause };

/**
 * Decides whose request it is.
 *
 * @param table - The workspaces of the configuration in force.
 * @param credential - What the request states.
 * @param isPublic - Whether requests of the route need no key.
 */
export function decideIdentification(
  table: WorkspaceTable,
  credential: Credential,
  isPublic: boolean,
): Identification {
  const workspace = credential.kind === 'key' ? table.findByKey(credential.key) : undefined;
  if (workspace) return { kind: 'identified', workspace };
  if (isPublic) return { kind: 'anonymous' };
  return { kind: 'rejected', cause: credential.kind === 'key' ? 'unknown' : credential.kind };
}
