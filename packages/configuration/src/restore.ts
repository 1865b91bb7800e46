import type { Command } from './commands.js';
import { changeSchema } from './commands.js';
import { applyChange } from './apply.js';
import type { Decision, ServiceDocument } from './document.js';
import { makeDigest } from './force.js';
import { addDecisions, findRevision, maxCommandIds } from './history.js';
import { formatChange } from './text.js';

/** A document that joins what a restored platform and the fleet hold. */
export interface Restored {
  readonly document: ServiceDocument;
  /** Decisions that were missing in the fleet's newest document and apply to it. */
  readonly reapplied: readonly Decision[];
  /** Decisions that contradict the fleet's newest document; they are recorded as superseded. */
  readonly superseded: readonly Decision[];
}

/**
 * Makes the document that brings the fleet's configuration back to the platform. Decisions that
 * only other documents hold are applied again, so that none is lost without a word.
 *
 * @param fleet - The documents in force on the entry instances, at least one.
 * @param platform - The document on the platform, if it holds one.
 * @param command - The operator's restore command.
 * @returns A document with a higher revision than all of them, a successor of each.
 */
export function restoreDocument(
  fleet: readonly ServiceDocument[],
  platform: ServiceDocument | undefined,
  command: Command,
): Restored {
  const [base, ...rest] = [...fleet].sort(rankDocuments);
  if (!base) throw new RangeError('there is no document to restore from');
  const others = platform ? [...rest, platform] : rest;
  let revision = Math.max(base.revision, platform?.revision ?? 0);
  let current = base;
  const reapplied: Decision[] = [];
  const superseded: Decision[] = [];
  for (const decision of others.flatMap(({ history }) => history)) {
    if (isKnown(base, decision) || findRevision(current, decision.commandId) !== undefined) {
      continue;
    }
    const change = changeSchema.safeParse(decision.change);
    const result = change.success ? applyChange(current, change.data) : undefined;
    const applies = !decision.superseded && (result?.isOk() || isWithoutEffect(result));
    revision += 1;
    const { superseded: before, ...kept } = decision;
    const made: Decision = { ...kept, revision, ...(applies ? {} : { superseded: true }) };
    const { service, removed } = applies && result?.isOk() ? result.value : current;
    current = { revision, service, removed, ...addDecisions(current, [made]) };
    (applies ? reapplied : superseded).push(made);
  }
  revision += 1;
  const { commandId, author, atMs, change } = command;
  const decision: Decision = {
    commandId,
    author,
    atMs,
    text: formatChange(change),
    revision,
    change,
  };
  const document = {
    revision,
    service: current.service,
    removed: current.removed,
    ...addDecisions(current, [decision]),
  };
  return { document, reapplied, superseded };
}

/** Old decisions that the base was made from may have been dropped from its ids. */
function isKnown(base: ServiceDocument, { revision }: Decision): boolean {
  const ids = [...base.earlier, ...base.history];
  return ids.length >= maxCommandIds && revision < (ids[0]?.revision ?? 0);
}

function isWithoutEffect(result: ReturnType<typeof applyChange> | undefined): boolean {
  return result?.isErr() === true && result.error.reason === 'no-change';
}

/** The highest revision first; equal ones in an order that all instances agree on. */
function rankDocuments(a: ServiceDocument, b: ServiceDocument): number {
  return b.revision - a.revision || (makeDigest(a).hash < makeDigest(b).hash ? -1 : 1);
}
