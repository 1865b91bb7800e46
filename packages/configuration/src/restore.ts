import type { Command } from './commands.js';
import { changeSchema } from './commands.js';
import { applyChange } from './apply.js';
import type { Decision, ServiceDocument } from './document.js';
import { makeDigest } from './active.js';
import { appendDecisions, findRevision, maxCommandIds } from './history.js';
import { formatChange } from './text.js';

/** The merged configuration of the fleet and of a platform that was restored from a backup. */
export interface RestoreResult {
  readonly document: ServiceDocument;
  /** Decisions that the fleet's newest document lacked and that could be applied to it. */
  readonly reapplied: readonly Decision[];
  /** Decisions that contradict the fleet's newest document. They are recorded as superseded. */
  readonly superseded: readonly Decision[];
}

/**
 * Builds the document that restores the fleet's configuration on the platform. Decisions that only
 * other documents contain are applied again or recorded as superseded, so that none is lost
 * silently.
 *
 * @param fleet - The active documents of the entry instances, at least one.
 * @param platform - The document on the platform, if there is one.
 * @param command - The operator's restore command.
 * @returns A document with a higher revision than all given documents, and a successor of each.
 * @throws RangeError when `fleet` is empty.
 */
export function restoreDocument(
  fleet: readonly ServiceDocument[],
  platform: ServiceDocument | undefined,
  command: Command,
): RestoreResult {
  const [base, ...rest] = [...fleet].sort(compareDocuments);
  if (!base) throw new RangeError('no entry instance has a document to restore from');
  const others = platform ? [...rest, platform] : rest;
  let revision = Math.max(base.revision, platform?.revision ?? 0);
  let current = base;
  const reapplied: Decision[] = [];
  const superseded: Decision[] = [];
  for (const decision of others.flatMap(({ history }) => history)) {
    if (isOlderThanIds(base, decision) || findRevision(current, decision.commandId) !== undefined) {
      continue;
    }
    const change = changeSchema.safeParse(decision.change);
    const result = change.success ? applyChange(current, change.data) : undefined;
    const isApplicable = !decision.superseded && (result?.isOk() || hasNoEffect(result));
    revision += 1;
    const { superseded: wasSuperseded, ...fields } = decision;
    const recorded: Decision = {
      ...fields,
      revision,
      ...(isApplicable ? {} : { superseded: true }),
    };
    const { service, removed } = isApplicable && result?.isOk() ? result.value : current;
    current = { revision, service, removed, ...appendDecisions(current, [recorded]) };
    (isApplicable ? reapplied : superseded).push(recorded);
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
    ...appendDecisions(current, [decision]),
  };
  return { document, reapplied, superseded };
}

/**
 * @returns Whether a decision is older than the oldest id that the base keeps. Such a decision is
 * treated as part of the base, since its id may have been dropped.
 */
function isOlderThanIds(base: ServiceDocument, { revision }: Decision): boolean {
  const ids = [...base.earlier, ...base.history];
  return ids.length >= maxCommandIds && revision < (ids[0]?.revision ?? 0);
}

function hasNoEffect(result: ReturnType<typeof applyChange> | undefined): boolean {
  return result?.isErr() === true && result.error.reason === 'no-change';
}

/** Sorts by descending revision; equal revisions by digest, the same on all instances. */
function compareDocuments(a: ServiceDocument, b: ServiceDocument): number {
  return b.revision - a.revision || (makeDigest(a).hash < makeDigest(b).hash ? -1 : 1);
}
