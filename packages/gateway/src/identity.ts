import type { IncomingCall } from '@dotterelpass/proxy';
import type { Metrics } from '@dotterelpass/telemetry';
import { decideIdentification } from '@dotterelpass/workspaces';
import type { RejectionCause, Workspace, WorkspaceTable } from '@dotterelpass/workspaces';
import type { WorkspaceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Call } from './call.js';
import type { Route } from './catalog.js';
import type { HeaderCodec } from './codec.js';
import { parseHandover } from './mark.js';
import type { HandoverMark, MarkSigner } from './mark.js';

/** Whose call it is, and whether its credentials stay on this instance. */
export interface CallIdentity {
  readonly workspace: Workspace | undefined;
  /** See {@link Call.hidesCredentials}. */
  readonly hidesCredentials: boolean;
}

/** Texts of the refusals; they never contain the key. */
export const rejectionMessages: Readonly<Record<RejectionCause, string>> = {
  missing: 'the request has no key',
  malformed: 'the credentials of the request hold no key',
  unknown: 'the key of the request is not known',
};

export interface CallerIdentifierOptions {
  readonly headerCodec: HeaderCodec;
  readonly signer: MarkSigner;
  readonly metrics: Metrics;
  /** Returns the workspaces of the configuration in force; undefined when it asks for no keys. */
  getWorkspaces(): WorkspaceTable | undefined;
}

/** Finds the workspaces of calls, by their keys or by the marks of other instances. */
export class CallerIdentifier {
  readonly #options: CallerIdentifierOptions;

  constructor(options: CallerIdentifierOptions) {
    this.#options = options;
  }

  /**
   * Reads the mark of a call that another instance hands over. When the configuration asks for
   * keys, a mark without a valid signature may come from a caller and is ignored.
   *
   * @param incoming - The call.
   * @param id - Its request id.
   */
  readMark({ request, target }: IncomingCall, id: Call['id']): HandoverMark | undefined {
    const { signer, metrics, getWorkspaces } = this.#options;
    const mark = parseHandover(request.headers);
    if (!mark || !getWorkspaces()) return mark;
    if (signer.verifyMark(mark, { id, method: request.method ?? '', target })) return mark;
    metrics.recordEvent('handover-unverified');
    return undefined;
  }

  /**
   * Determines whose call it is.
   *
   * @param incoming - The call.
   * @param route - Its route.
   * @param mark - Its mark from `readMark`: the instance that handed it over has looked up the key.
   */
  identifyCall(
    { request }: IncomingCall,
    { isPublic = false }: Route,
    mark: HandoverMark | undefined,
  ): Result<CallIdentity, RejectionCause> {
    const { headerCodec, metrics, getWorkspaces } = this.#options;
    const table = getWorkspaces();
    if (!table) return ok({ workspace: undefined, hidesCredentials: false });
    if (mark) return ok({ workspace: resolveWorkspace(table, mark), hidesCredentials: true });
    const credential = headerCodec.parseCredential(request.headers);
    const decision = decideIdentification(table, credential, isPublic);
    if (decision.kind === 'rejected') {
      metrics.recordEvent(`unidentified-${decision.cause}`);
      return err(decision.cause);
    }
    const workspace = decision.kind === 'identified' ? decision.workspace : undefined;
    return ok({ workspace, hidesCredentials: true });
  }
}

/**
 * Resolves the workspace of a mark. A newer configuration may no longer have it; the call keeps its
 * name, since it was accepted before.
 */
function resolveWorkspace(
  table: WorkspaceTable,
  { workspace: name }: HandoverMark,
): Workspace | undefined {
  return name === undefined ? undefined : (table.findByName(name) ?? makeRemovedWorkspace(name));
}

function makeRemovedWorkspace(name: WorkspaceId): Workspace {
  return { name, priority: undefined, ratePerSecond: 0, burst: 0 };
}
