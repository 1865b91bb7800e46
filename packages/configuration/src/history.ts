import { changeSchema, listSubjects } from './commands.js';
import type { Change } from './commands.js';
import type { Decision, ServiceDocument } from './document.js';

/** Maximum number of decisions that a document keeps in full. */
export const maxHistory = 64;

/** Maximum number of command ids that a document keeps, including those of the history. */
export const maxCommandIds = 256;

/** Maximum size of the history in JSON, which keeps a stored document far below 1 MB. */
export const maxHistoryBytes = 128 * 1024;

/**
 * Appends decisions to a document's history and drops the oldest ones beyond its limits.
 *
 * @param document - The previous document, if there is one.
 * @param decisions - New decisions, the oldest first.
 * @returns The history fields of the next document.
 */
export function appendDecisions(
  document: ServiceDocument | undefined,
  decisions: readonly Decision[],
): Pick<ServiceDocument, 'history' | 'compacted' | 'earlier'> {
  const all = [...(document?.history ?? []), ...decisions];
  let dropped = Math.max(0, all.length - maxHistory);
  while (dropped < all.length - 1 && countBytes(all.slice(dropped)) > maxHistoryBytes) dropped += 1;
  const history = all.slice(dropped);
  const ids = [
    ...(document?.earlier ?? []),
    ...all.slice(0, dropped).map(({ commandId, revision }) => ({ commandId, revision })),
  ];
  return {
    history,
    compacted: (document?.compacted ?? 0) + dropped,
    earlier: ids.slice(Math.max(0, ids.length - (maxCommandIds - history.length))),
  };
}

/**
 * Finds the revision that a command produced.
 *
 * @param document - The document, if there is one.
 * @param commandId - The id of the command.
 * @returns Undefined when the command was not accepted, or so long ago that its id was dropped.
 */
export function findRevision(
  document: ServiceDocument | undefined,
  commandId: string,
): number | undefined {
  const isCommand = (item: { commandId: string }) => item.commandId === commandId;
  return (document?.history.find(isCommand) ?? document?.earlier.find(isCommand))?.revision;
}

/**
 * Decides whether a document of a higher revision was derived from the active one. A document that
 * was not comes from a restored backup and would revert accepted decisions.
 *
 * @param active - The active document.
 * @param next - A document with a higher revision.
 * @returns False when `next` lacks the newest decision of `active`.
 */
export function isSuccessor(active: ServiceDocument, next: ServiceDocument): boolean {
  const newest = active.history.at(-1);
  if (!newest || findRevision(next, newest.commandId) !== undefined) return true;
  const ids = [...next.earlier, ...next.history];
  // Once `next` has dropped old command ids, the id of that decision can be among them.
  const oldest = ids[0];
  return ids.length >= maxCommandIds && oldest !== undefined && oldest.revision > newest.revision;
}

/**
 * Finds the decision that a change conflicts with.
 *
 * @param document - The current document.
 * @param sinceRevision - The revision that the operator's change is based on.
 * @param change - The operator's change.
 * @returns The newest later decision that affects the same subject; `unknown` when the history does
 * not reach back to that revision.
 */
export function findConflict(
  document: ServiceDocument | undefined,
  sinceRevision: number,
  change: Change,
): Decision | 'unknown' | undefined {
  if (!document || document.revision <= sinceRevision) return undefined;
  const later = document.history.filter(({ revision }) => revision > sinceRevision);
  const subjects = listSubjects(change);
  const conflict = [...later].reverse().find((decision) => affectsAny(decision, subjects));
  if (conflict) return conflict;
  const isTruncated = document.earlier.some(({ revision }) => revision > sinceRevision);
  // A revision without a decision was not made by a command, so its changes are unknown.
  return isTruncated || later.length === 0 ? 'unknown' : undefined;
}

function affectsAny(decision: Decision, subjects: readonly string[]): boolean {
  const parsed = changeSchema.safeParse(decision.change);
  const affected = parsed.success ? listSubjects(parsed.data) : ['*'];
  if (subjects.includes('*') || affected.includes('*')) return true;
  return subjects.some((subject) => affected.includes(subject));
}

function countBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
