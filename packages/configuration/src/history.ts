import { changeSchema, listSubjects } from './commands.js';
import type { Change } from './commands.js';
import type { Decision, ServiceDocument } from './document.js';

/** Decisions that a document keeps in full. */
export const maxHistory = 64;

/** Command ids that a document keeps, those of the history included. */
export const maxCommandIds = 256;

/** The history is cut earlier when it is larger than this, which keeps values far below 1 MB. */
export const maxHistoryBytes = 128 * 1024;

/**
 * Adds decisions to the end of a document's history and drops the oldest beyond its bounds.
 *
 * @param document - The document before, if there was one.
 * @param decisions - New decisions, oldest first.
 * @returns The history fields of the document after.
 */
export function addDecisions(
  document: ServiceDocument | undefined,
  decisions: readonly Decision[],
): Pick<ServiceDocument, 'history' | 'compacted' | 'earlier'> {
  const all = [...(document?.history ?? []), ...decisions];
  let dropped = Math.max(0, all.length - maxHistory);
  while (dropped < all.length - 1 && toBytes(all.slice(dropped)) > maxHistoryBytes) dropped += 1;
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
 * Finds the revision that a command was accepted with.
 *
 * @param document - The document, if there is one.
 * @param commandId - The command.
 * @returns The revision, or undefined when the command is not among the ids that are kept.
 */
export function findRevision(
  document: ServiceDocument | undefined,
  commandId: string,
): number | undefined {
  const isIt = (item: { commandId: string }) => item.commandId === commandId;
  return (document?.history.find(isIt) ?? document?.earlier.find(isIt))?.revision;
}

/**
 * Tells whether a document of a higher revision was made from the present one. One that was not
 * comes from a restored backup and would revert accepted decisions.
 *
 * @param present - The document in force.
 * @param next - A document with a higher revision.
 * @returns False when `next` lacks the newest decision of `present`.
 */
export function isSuccessor(present: ServiceDocument, next: ServiceDocument): boolean {
  const newest = present.history.at(-1);
  if (!newest || findRevision(next, newest.commandId) !== undefined) return true;
  const ids = [...next.earlier, ...next.history];
  // After more decisions than ids are kept, the newest one of `present` cannot be expected.
  const oldest = ids[0];
  return ids.length >= maxCommandIds && oldest !== undefined && oldest.revision > newest.revision;
}

/**
 * Finds the decision that a change collides with.
 *
 * @param document - The document now.
 * @param sinceRevision - The revision that the operator knew.
 * @param change - What the operator wants.
 * @returns The newest later decision on the same thing; `unknown` when the history does not reach
 * back to that revision.
 */
export function findCollision(
  document: ServiceDocument | undefined,
  sinceRevision: number,
  change: Change,
): Decision | 'unknown' | undefined {
  if (!document || document.revision <= sinceRevision) return undefined;
  const later = document.history.filter(({ revision }) => revision > sinceRevision);
  const mine = listSubjects(change);
  const collision = [...later].reverse().find((decision) => isOverlap(mine, decision));
  if (collision) return collision;
  const dropped = document.earlier.some(({ revision }) => revision > sinceRevision);
  // A revision without a decision was not made by a command, so what it touched is not known.
  return dropped || later.length === 0 ? 'unknown' : undefined;
}

function isOverlap(mine: readonly string[], decision: Decision): boolean {
  const parsed = changeSchema.safeParse(decision.change);
  const theirs = parsed.success ? listSubjects(parsed.data) : ['*'];
  if (mine.includes('*') || theirs.includes('*')) return true;
  return mine.some((subject) => theirs.includes(subject));
}

function toBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
