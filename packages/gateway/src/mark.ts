import { createHmac, timingSafeEqual } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { RequestTarget } from '@dotterelpass/proxy';
import type { RequestId, WorkspaceId } from '@dotterelpass/values';

/**
 * Marks a call that another instance hands over. The value is the name of that instance and the
 * version of its configuration, and where callers have keys, a signature and the workspace.
 */
export const handoverHeader = 'dotterelpass-handed-over';

/** Tells the instance that has handed a call over why it was refused. */
export const refusalReasonHeader = 'dotterelpass-refusal';

/** Keeps the signatures of marks apart from other uses of the peer key. */
const signatureContext = 'dotterelpass handover 1';

/** What another instance states about a call that it hands over. */
export interface HandoverMark {
  readonly instance: string;
  readonly configVersion: number;
  /** The workspace that the other instance has found. */
  readonly workspace?: WorkspaceId | undefined;
  readonly signature?: string | undefined;
}

/** The parts of a request that its mark is valid for. */
export interface MarkedRequest {
  readonly id: RequestId | undefined;
  readonly method: string;
  readonly target: Pick<RequestTarget, 'host' | 'pathAndQuery'>;
}

/**
 * Parses the mark of a call that another instance hands over.
 *
 * @param headers - Headers of the request.
 * @returns The mark; undefined for a call of a caller, and for a mark that cannot be parsed.
 */
export function parseHandover(headers: IncomingHttpHeaders): HandoverMark | undefined {
  const value = headers[handoverHeader];
  if (typeof value !== 'string') return undefined;
  const [instance = '', version, signature, workspace] = value.split(' ');
  const configVersion = Number(version);
  if (!Number.isSafeInteger(configVersion)) return undefined;
  return { instance, configVersion, signature, workspace: decodeName(workspace) };
}

/** Signs and verifies the marks of calls, so that callers cannot forge them. */
export class MarkSigner {
  #peerKey: string | undefined;

  /** @param peerKey - Key that all instances share. It may change. */
  setPeerKey(peerKey: string): void {
    this.#peerKey = peerKey;
  }

  /**
   * Formats a mark with a signature.
   *
   * @param mark - The mark.
   * @param request - The request that carries it.
   * @returns The value of the header.
   */
  signMark(mark: HandoverMark, request: MarkedRequest): string {
    const parts = [formatMark(mark), this.#calculateSignature(mark, request) ?? ''];
    if (mark.workspace !== undefined) parts.push(encodeURIComponent(mark.workspace));
    return parts.join(' ');
  }

  /** Whether an instance with the same peer key has signed a mark for this request. */
  verifyMark(mark: HandoverMark, request: MarkedRequest): boolean {
    const expected = this.#calculateSignature(mark, request);
    if (expected === undefined || mark.signature === undefined) return false;
    const [expectedBytes, bytes] = [Buffer.from(expected), Buffer.from(mark.signature)];
    return bytes.length === expectedBytes.length && timingSafeEqual(bytes, expectedBytes);
  }

  #calculateSignature(
    { instance, configVersion, workspace }: HandoverMark,
    { id, method, target }: MarkedRequest,
  ): string | undefined {
    if (this.#peerKey === undefined) return undefined;
    const { host, pathAndQuery } = target;
    const parts = [instance, configVersion, workspace, id, method, host, pathAndQuery];
    return createHmac('sha256', this.#peerKey)
      .update(JSON.stringify([signatureContext, ...parts.map((part) => part ?? null)]))
      .digest('hex');
  }
}

/** @returns A mark without a signature, as the value of the header. */
export function formatMark({ instance, configVersion }: HandoverMark): string {
  return `${instance} ${configVersion}`;
}

function decodeName(encoded: string | undefined): WorkspaceId | undefined {
  if (encoded === undefined) return undefined;
  try {
    return decodeURIComponent(encoded) as WorkspaceId;
  } catch {
    // Another program has made the mark, and its signature does not match either.
    return undefined;
  }
}
