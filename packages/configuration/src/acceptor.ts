import type { Clock, ServiceId } from '@dotterelpass/values';
import type { Result } from 'neverthrow';
import { applyCommand } from './apply.js';
import type { Rejection } from './apply.js';
import { makeDigest } from './active.js';
import type { ActiveConfiguration } from './active.js';
import type { Command } from './commands.js';
import type { ServiceDocument } from './document.js';
import { findConflict, findRevision, isSuccessor } from './history.js';
import { restoreDocument } from './restore.js';
import { formatChange } from './text.js';

/** A failed call of the store. */
export interface StoreError {
  readonly message: string;
  /** Whether a write may have taken effect, or may still do so. */
  readonly applied: 'no' | 'unknown';
}

/** The stored document of a service. */
export interface StoredDocument {
  /** Undefined when no document is stored. */
  readonly document: ServiceDocument | undefined;
  /** Modify index for compare-and-swap; 0 when no document is stored. */
  readonly modifyIndex: number;
}

/** The store of the documents, with one key per service and compare-and-swap. */
export interface DocumentStore {
  read(service: ServiceId): Promise<Result<StoredDocument, StoreError>>;
  /**
   * Writes a document if the stored one still has the given modify index.
   *
   * @returns False when the stored document has changed.
   */
  write(document: ServiceDocument, modifyIndex: number): Promise<Result<boolean, StoreError>>;
}

/** Access to the active documents of the entry instances. */
export interface FleetDocuments {
  /** Lists the active documents of one service on all reachable instances, including this one. */
  list(service: ServiceId): Promise<readonly ServiceDocument[]>;
}

/** The result of a command. */
export type CommandResult =
  | {
      readonly kind: 'accepted';
      readonly commandId: string;
      readonly service: ServiceId;
      readonly revision: number;
      /** What a restore did with each decision that the fleet's newest document lacked. */
      readonly notes?: readonly string[];
    }
  | ({ readonly kind: 'rejected'; readonly commandId: string } & Rejection)
  | {
      readonly kind: 'undecided';
      readonly commandId: string;
      readonly service: ServiceId;
      readonly message: string;
      /** Statement of the command language that determines whether the command was accepted. */
      readonly settle: string;
    };

/** Conditions for the acceptance of a command. */
export interface AcceptOptions {
  /** The revision that the operator saw. Later conflicting decisions reject the command. */
  readonly expectedRevision?: number | undefined;
  /** Set when the command was sent before, to any instance, and no answer was received. */
  readonly repeated?: boolean | undefined;
}

/** Dependencies of an acceptor. */
export interface AcceptorDependencies {
  readonly store: DocumentStore;
  readonly activeConfiguration: ActiveConfiguration;
  readonly fleet: FleetDocuments;
  /** Activates an accepted document on this instance. */
  readonly activate: (document: ServiceDocument) => void;
  readonly clock: Clock;
  /** Waits before the next try; `tries` is the number of consecutive tries that failed. */
  readonly sleep: (tries: number) => Promise<void>;
  /** Time limit for one command, in milliseconds. */
  readonly timeoutMs?: number;
}

const defaultTimeoutMs = 8000;

/**
 * Decides about commands. A command is accepted by exactly one compare-and-swap of the document of
 * its service.
 */
export class Acceptor {
  readonly #dependencies: AcceptorDependencies;

  readonly #timeoutMs: number;

  constructor(dependencies: AcceptorDependencies) {
    this.#dependencies = dependencies;
    this.#timeoutMs = dependencies.timeoutMs ?? defaultTimeoutMs;
  }

  /**
   * Accepts or rejects a command.
   *
   * @param command - The command.
   * @param options - Conditions for its acceptance.
   * @returns `accepted` and `rejected` are final. After `undecided` the command may have been
   * accepted; it is safe to send it again with the same id or to settle it.
   */
  async accept(command: Command, options: AcceptOptions = {}): Promise<CommandResult> {
    const { commandId, change } = command;
    const attempt = new Attempt(commandId, change.service, options, formatChange(change));
    return this.#retryUntilAnswered(attempt, (stored, fleet) =>
      this.#tryCommand(attempt, command, stored, fleet),
    );
  }

  /**
   * Determines whether a command was accepted whose answer was lost. If it was not, the stored
   * document is written again unchanged. This changes its modify index, so that an earlier write of
   * the command that is still in flight fails.
   *
   * @param commandId - The id of the command.
   * @param service - The service that the command changes.
   * @returns `accepted` or, if the command was not accepted, `rejected`; both are final. `undecided`
   * when neither could be established in time.
   */
  async settle(commandId: string, service: ServiceId): Promise<CommandResult> {
    const attempt = new Attempt(commandId, service, { repeated: true });
    return this.#retryUntilAnswered(attempt, (stored) =>
      this.#reject(attempt, stored, {
        reason: 'never-accepted',
        message: `command ${commandId} was not accepted and can no longer take effect`,
      }),
    );
  }

  async #retryUntilAnswered(
    attempt: Attempt,
    tryOnce: (
      stored: StoredDocument,
      fleet: readonly ServiceDocument[],
    ) => Promise<CommandResult | undefined>,
  ): Promise<CommandResult> {
    const { clock, sleep, store } = this.#dependencies;
    const endAt = clock.now() + this.#timeoutMs;
    for (let tries = 0; clock.now() < endAt; tries++) {
      if (tries > 0) await sleep(tries);
      // The active documents are listed before the platform is read, so that each of them had been
      // stored before the read.
      const fleet = await this.#listActiveDocuments(attempt.service);
      const active = fleet.find((document) => attempt.findRevision(document) !== undefined);
      if (active) return attempt.makeRecordedResult(active);
      const stored = await store.read(attempt.service);
      if (stored.isErr()) {
        attempt.recordFailure(stored.error.message);
        continue;
      }
      const { document } = stored.value;
      if (document && attempt.findRevision(document) !== undefined) {
        return this.#activate(attempt, document) ?? attempt.makeRecordedResult(document);
      }
      const result = await tryOnce(stored.value, fleet);
      if (result) return result;
    }
    return attempt.makeUnfinishedResult();
  }

  /** @returns Undefined when the command must be tried again. */
  async #tryCommand(
    attempt: Attempt,
    command: Command,
    stored: StoredDocument,
    fleet: readonly ServiceDocument[],
  ): Promise<CommandResult | undefined> {
    const { document } = stored;
    const { change } = command;
    const lost = fleet.find((active) => !isRetained(active, document));
    if (change.kind === 'restore-service' && lost) {
      return this.#restore(attempt, command, stored, fleet);
    }
    if (lost) {
      return this.#reject(attempt, stored, {
        reason: 'platform-went-back',
        message:
          `the platform has lost revision ${lost.revision} of ${change.service}, which is active ` +
          `on the entry instances; send "restore ${change.service}" first`,
      });
    }
    const baseRevision = attempt.resolveBaseRevision(document);
    if (baseRevision > (document?.revision ?? 0)) {
      return this.#reject(attempt, stored, {
        reason: 'platform-went-back',
        message: `the platform has no revision ${baseRevision} of ${change.service}`,
      });
    }
    const conflict = findConflict(document, baseRevision, change);
    if (conflict)
      return this.#reject(attempt, stored, makeConflictRejection(change.service, conflict));
    const next = applyCommand(document, command);
    if (next.isErr()) return this.#reject(attempt, stored, next.error);
    return this.#write(attempt, next.value, stored.modifyIndex);
  }

  async #restore(
    attempt: Attempt,
    command: Command,
    stored: StoredDocument,
    fleet: readonly ServiceDocument[],
  ): Promise<CommandResult | undefined> {
    const restored = restoreDocument(fleet, stored.document, command);
    const result = await this.#write(attempt, restored.document, stored.modifyIndex);
    if (result?.kind !== 'accepted') return result;
    const notes = [
      ...restored.reapplied.map(({ text, author }) => `applied again: ${text} (${author})`),
      ...restored.superseded.map(({ text, author }) => `superseded: ${text} (${author})`),
    ];
    return { ...result, notes };
  }

  /** @returns Undefined when the write failed or its outcome is unknown. */
  async #write(
    attempt: Attempt,
    document: ServiceDocument,
    modifyIndex: number,
  ): Promise<CommandResult | undefined> {
    const written = await this.#dependencies.store.write(document, modifyIndex);
    if (written.isErr()) {
      attempt.recordFailure(written.error.message, written.error.applied === 'unknown');
      return undefined;
    }
    if (!written.value) {
      attempt.recordFailure('other commands changed the service in every try');
      return undefined;
    }
    return this.#activate(attempt, document) ?? attempt.makeAcceptedResult(document);
  }

  /**
   * Activates a stored document on this instance, so that it survives a loss on the platform.
   *
   * @returns Undefined when the active document contains the command afterwards. Otherwise the
   * fleet has continued without the command.
   */
  #activate(attempt: Attempt, document: ServiceDocument): CommandResult | undefined {
    this.#dependencies.activate(document);
    const active = this.#dependencies.activeConfiguration.findDocument(attempt.service);
    if (active && attempt.findRevision(active) !== undefined) return undefined;
    const message = `the platform has lost the active document; send "restore ${attempt.service}"`;
    attempt.recordFailure(message, true);
    return attempt.makeUnfinishedResult();
  }

  /**
   * Rejects a command. A rejection must be final, so an earlier write of the command that may still
   * be in flight is made to fail first, by writing the stored document again unchanged.
   */
  async #reject(
    attempt: Attempt,
    { document, modifyIndex }: StoredDocument,
    rejection: Rejection,
  ): Promise<CommandResult | undefined> {
    if (!attempt.mayHaveBeenWritten) return attempt.makeRejectedResult(rejection);
    if (!document) {
      attempt.recordFailure('an earlier write of the command may still create the service');
      return undefined;
    }
    const written = await this.#dependencies.store.write(document, modifyIndex);
    if (written.isOk() && written.value) return attempt.makeRejectedResult(rejection);
    attempt.recordFailure(
      written.isErr() ? written.error.message : 'the stored document of the service changed',
    );
    return undefined;
  }

  async #listActiveDocuments(service: ServiceId): Promise<readonly ServiceDocument[]> {
    const documents = await this.#dependencies.fleet.list(service);
    const own = this.#dependencies.activeConfiguration.findDocument(service);
    return own ? [own, ...documents] : documents;
  }
}

/** The state of one command while this instance tries to get it accepted. */
class Attempt {
  /** Whether an earlier write of the command may have taken effect or may still do so. */
  mayHaveBeenWritten: boolean;

  #baseRevision: number | undefined;

  #lastError = 'the time limit passed before the first try';

  constructor(
    readonly commandId: string,
    readonly service: ServiceId,
    { expectedRevision, repeated = false }: AcceptOptions,
    /** Statement of the command; undefined when only its id is known. */
    readonly text?: string,
  ) {
    this.#baseRevision = expectedRevision;
    this.mayHaveBeenWritten = repeated;
  }

  findRevision(document: ServiceDocument): number | undefined {
    return findRevision(document, this.commandId);
  }

  /** @returns The revision that the operator saw, or the first that was read for the command. */
  resolveBaseRevision(document: ServiceDocument | undefined): number {
    this.#baseRevision ??= document?.revision ?? 0;
    return this.#baseRevision;
  }

  recordFailure(message: string, mayHaveBeenWritten = false): void {
    this.#lastError = message;
    this.mayHaveBeenWritten ||= mayHaveBeenWritten;
  }

  /** Makes the result for a document that contains the id of the command. */
  makeRecordedResult(document: ServiceDocument): CommandResult {
    const recorded = document.history.find(({ commandId }) => commandId === this.commandId);
    if (!recorded || this.text === undefined || recorded.text === this.text) {
      return this.makeAcceptedResult(document);
    }
    const { author, commandId, revision, text } = recorded;
    return this.makeRejectedResult({
      reason: 'id-reused',
      message: `${author} used command id ${commandId} for "${text}" (revision ${revision})`,
      by: { author, commandId, revision, text },
    });
  }

  makeAcceptedResult(document: ServiceDocument): CommandResult {
    const { commandId, service } = this;
    return {
      kind: 'accepted',
      commandId,
      service,
      revision: this.findRevision(document) ?? document.revision,
    };
  }

  makeRejectedResult(rejection: Rejection): CommandResult {
    return { kind: 'rejected', commandId: this.commandId, ...rejection };
  }

  makeUnfinishedResult(): CommandResult {
    const { commandId, service } = this;
    if (!this.mayHaveBeenWritten) {
      const message = `nothing was changed: ${this.#lastError}`;
      return this.makeRejectedResult({ reason: 'platform-unavailable', message });
    }
    return {
      kind: 'undecided',
      commandId,
      service,
      message: `the command may have been accepted: ${this.#lastError}`,
      settle: `settle ${commandId} for ${service}`,
    };
  }
}

/** @returns Whether the stored document is the active one or a successor of it. */
function isRetained(active: ServiceDocument, stored: ServiceDocument | undefined): boolean {
  if (!stored || stored.revision < active.revision) return false;
  if (stored.revision > active.revision) return isSuccessor(active, stored);
  return makeDigest(stored).hash === makeDigest(active).hash;
}

function makeConflictRejection(
  service: ServiceId,
  conflict: Exclude<ReturnType<typeof findConflict>, undefined>,
): Rejection {
  if (conflict === 'unknown') {
    const message = `the history of ${service} does not go back to the expected revision`;
    return { reason: 'conflict', message };
  }
  const { author, commandId, revision, text } = conflict;
  return {
    reason: 'conflict',
    message: `conflicts with "${text}" by ${author} (command ${commandId}, revision ${revision})`,
    by: { author, commandId, revision, text },
  };
}
