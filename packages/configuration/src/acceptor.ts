import type { Clock, ServiceId } from '@dotterelpass/values';
import type { Result } from 'neverthrow';
import { applyCommand } from './apply.js';
import type { Rejection } from './apply.js';
import type { Command } from './commands.js';
import type { ServiceDocument } from './document.js';
import type { ActiveConfiguration } from './force.js';
import { makeDigest } from './force.js';
import { findCollision, findRevision, isSuccessor } from './history.js';
import { restoreDocument } from './restore.js';
import { formatChange } from './text.js';

/** A failed call of the store. */
export interface StoreError {
  readonly message: string;
  /** Whether a write may have taken effect, or may still do so. */
  readonly applied: 'no' | 'unknown';
}

/** A service's document as stored. */
export interface StoredDocument {
  /** Undefined when nothing is stored. */
  readonly document: ServiceDocument | undefined;
  /** For compare-and-swap; 0 when nothing is stored. */
  readonly modifyIndex: number;
}

/** Where the documents are stored: one key a service, with compare-and-swap. */
export interface DocumentStore {
  /** Reads the newest document. */
  read(service: ServiceId): Promise<Result<StoredDocument, StoreError>>;
  /** Writes a document if the stored one has not changed. */
  write(document: ServiceDocument, modifyIndex: number): Promise<Result<boolean, StoreError>>;
}

/** What is in force on the other entry instances. */
export interface FleetDocuments {
  /** The documents of one service on the instances that can be reached, this one included. */
  list(service: ServiceId): Promise<readonly ServiceDocument[]>;
}

/** What came of a command. */
export type CommandResult =
  | {
      readonly kind: 'accepted';
      readonly commandId: string;
      readonly service: ServiceId;
      readonly revision: number;
      /** What a restore did with decisions that only other documents held. */
      readonly notes?: readonly string[];
    }
  | ({ readonly kind: 'rejected'; readonly commandId: string } & Rejection)
  | {
      readonly kind: 'undecided';
      readonly commandId: string;
      readonly service: ServiceId;
      readonly message: string;
      /** Statement of the command language that settles the command. */
      readonly settle: string;
    };

/** How a command is to be accepted. */
export interface AcceptOptions {
  /** The revision that the operator saw; later decisions on the same thing reject the command. */
  readonly expectedRevision?: number | undefined;
  /** Set when the command was sent before, to any instance, and its answer did not arrive. */
  readonly repeated?: boolean | undefined;
}

/** Parts that an acceptor works with. */
export interface AcceptorParts {
  readonly store: DocumentStore;
  readonly activeConfiguration: ActiveConfiguration;
  readonly fleet: FleetDocuments;
  /** Puts an accepted document in force on this instance. */
  readonly activate: (document: ServiceDocument) => void;
  readonly clock: Clock;
  /** Sleeps before the next try; `tries` is the number of tries in a row that failed. */
  readonly sleep: (tries: number) => Promise<void>;
  /** Time for one command, in milliseconds. */
  readonly timeoutMs?: number;
}

const defaultTimeoutMs = 8000;

/** Accepts commands: each by exactly one compare-and-swap of its service's document. */
export class Acceptor {
  readonly #parts: AcceptorParts;

  readonly #timeoutMs: number;

  constructor(parts: AcceptorParts) {
    this.#parts = parts;
    this.#timeoutMs = parts.timeoutMs ?? defaultTimeoutMs;
  }

  /**
   * Accepts a command.
   *
   * @param command - The command.
   * @param options - How.
   * @returns `accepted` and `rejected` are final. After `undecided` the command may have been
   * accepted; sending it again with the same id, or settling it, is safe.
   */
  async accept(command: Command, options: AcceptOptions = {}): Promise<CommandResult> {
    const { commandId, change } = command;
    const attempt = new Attempt(commandId, change.service, options, formatChange(change));
    return this.#runUntilDone(attempt, (stored, fleet) =>
      this.#applyOnce(attempt, command, stored, fleet),
    );
  }

  /**
   * Settles a command whose answer is missing. When it has not been accepted, the stored document
   * is written again unchanged, so that no earlier write of the command can take effect any more.
   *
   * @param commandId - The command.
   * @param service - Its service.
   * @returns What became of the command.
   */
  async settle(commandId: string, service: ServiceId): Promise<CommandResult> {
    const attempt = new Attempt(commandId, service, { repeated: true });
    return this.#runUntilDone(attempt, (stored) =>
      this.#refuse(attempt, stored, {
        reason: 'never-accepted',
        message: `command ${commandId} was not accepted and cannot take effect any more`,
      }),
    );
  }

  async #runUntilDone(
    attempt: Attempt,
    applyOnce: (
      stored: StoredDocument,
      fleet: readonly ServiceDocument[],
    ) => Promise<CommandResult | undefined>,
  ): Promise<CommandResult> {
    const { clock, sleep, store } = this.#parts;
    const endAt = clock.now() + this.#timeoutMs;
    for (let tries = 0; clock.now() < endAt; tries++) {
      if (tries > 0) await sleep(tries);
      // Asked before the platform is read, so that each document it tells of precedes the reading.
      const fleet = await this.#listInForce(attempt.service);
      const inForce = fleet.find((document) => attempt.findRevision(document) !== undefined);
      if (inForce) return attempt.toFound(inForce);
      const stored = await store.read(attempt.service);
      if (stored.isErr()) {
        attempt.recordFailure(stored.error.message);
        continue;
      }
      const { document } = stored.value;
      if (document && attempt.findRevision(document) !== undefined) {
        return this.#offer(attempt, document) ?? attempt.toFound(document);
      }
      const answer = await applyOnce(stored.value, fleet);
      if (answer) return answer;
    }
    return attempt.toUnfinished();
  }

  async #applyOnce(
    attempt: Attempt,
    command: Command,
    stored: StoredDocument,
    fleet: readonly ServiceDocument[],
  ): Promise<CommandResult | undefined> {
    const { document } = stored;
    const { change } = command;
    const lost = fleet.find((held) => !isHeld(held, document));
    if (change.kind === 'restore-service' && lost) {
      return this.#restore(attempt, command, stored, fleet);
    }
    if (lost) {
      return this.#refuse(attempt, stored, {
        reason: 'platform-went-back',
        message:
          `the platform has lost revision ${lost.revision} of ${change.service}, which is in ` +
          `force; send "restore ${change.service}" first`,
      });
    }
    const base = attempt.findBase(document);
    if (base > (document?.revision ?? 0)) {
      return this.#refuse(attempt, stored, {
        reason: 'platform-went-back',
        message: `the platform has no revision ${base} of ${change.service}`,
      });
    }
    const collision = findCollision(document, base, change);
    if (collision) return this.#refuse(attempt, stored, toConflict(change.service, collision));
    const next = applyCommand(document, command);
    if (next.isErr()) return this.#refuse(attempt, stored, next.error);
    return this.#write(attempt, next.value, stored.modifyIndex);
  }

  async #restore(
    attempt: Attempt,
    command: Command,
    stored: StoredDocument,
    fleet: readonly ServiceDocument[],
  ): Promise<CommandResult | undefined> {
    const restored = restoreDocument(fleet, stored.document, command);
    const answer = await this.#write(attempt, restored.document, stored.modifyIndex);
    if (answer?.kind !== 'accepted') return answer;
    const notes = [
      ...restored.reapplied.map(({ text, author }) => `applied again: ${text} (${author})`),
      ...restored.superseded.map(({ text, author }) => `superseded: ${text} (${author})`),
    ];
    return { ...answer, notes };
  }

  async #write(
    attempt: Attempt,
    document: ServiceDocument,
    modifyIndex: number,
  ): Promise<CommandResult | undefined> {
    const written = await this.#parts.store.write(document, modifyIndex);
    if (written.isErr()) {
      attempt.recordFailure(written.error.message, written.error.applied === 'unknown');
      return undefined;
    }
    if (!written.value) {
      attempt.recordFailure('other commands changed the service each time');
      return undefined;
    }
    return this.#offer(attempt, document) ?? attempt.toAccepted(document);
  }

  /**
   * Puts a stored document in force here, so that the platform is not the only one to hold it.
   *
   * @returns An answer when the fleet went on without the command meanwhile.
   */
  #offer(attempt: Attempt, document: ServiceDocument): CommandResult | undefined {
    this.#parts.activate(document);
    const held = this.#parts.activeConfiguration.findDocument(attempt.service);
    if (held && attempt.findRevision(held) !== undefined) return undefined;
    const message = `the platform has lost what is in force; send "restore ${attempt.service}"`;
    attempt.recordFailure(message, true);
    return attempt.toUnfinished();
  }

  /** A rejection is final only when no earlier write of the command can take effect any more. */
  async #refuse(
    attempt: Attempt,
    { document, modifyIndex }: StoredDocument,
    rejection: Rejection,
  ): Promise<CommandResult | undefined> {
    if (!attempt.uncertain) return attempt.toRejected(rejection);
    if (!document) {
      attempt.recordFailure('an earlier write of the command may still create the service');
      return undefined;
    }
    const written = await this.#parts.store.write(document, modifyIndex);
    if (written.isOk() && written.value) return attempt.toRejected(rejection);
    attempt.recordFailure(written.isErr() ? written.error.message : 'the service changed');
    return undefined;
  }

  async #listInForce(service: ServiceId): Promise<readonly ServiceDocument[]> {
    const documents = await this.#parts.fleet.list(service);
    const own = this.#parts.activeConfiguration.findDocument(service);
    return own ? [own, ...documents] : documents;
  }
}

/** What one instance knows of a command while it tries to have it accepted. */
class Attempt {
  uncertain: boolean;

  #base: number | undefined;

  #lastError = 'there was no time to try';

  constructor(
    readonly commandId: string,
    readonly service: ServiceId,
    { expectedRevision, repeated = false }: AcceptOptions,
    /** Statement of the command; undefined when only its id is known. */
    readonly text?: string,
  ) {
    this.#base = expectedRevision;
    this.uncertain = repeated;
  }

  findRevision(document: ServiceDocument): number | undefined {
    return findRevision(document, this.commandId);
  }

  /** The revision that the operator knew, or else the first that was read for the command. */
  findBase(document: ServiceDocument | undefined): number {
    this.#base ??= document?.revision ?? 0;
    return this.#base;
  }

  recordFailure(message: string, uncertain = false): void {
    this.#lastError = message;
    this.uncertain ||= uncertain;
  }

  /** Answers for a document that holds the command's id. */
  toFound(document: ServiceDocument): CommandResult {
    const found = document.history.find(({ commandId }) => commandId === this.commandId);
    if (!found || this.text === undefined || found.text === this.text) {
      return this.toAccepted(document);
    }
    const { author, commandId, revision, text } = found;
    return this.toRejected({
      reason: 'id-reused',
      message: `${author} used the command id ${commandId} for "${text}" (revision ${revision})`,
      by: { author, commandId, revision, text },
    });
  }

  toAccepted(document: ServiceDocument): CommandResult {
    const { commandId, service } = this;
    return {
      kind: 'accepted',
      commandId,
      service,
      revision: this.findRevision(document) ?? document.revision,
    };
  }

  toRejected(rejection: Rejection): CommandResult {
    return { kind: 'rejected', commandId: this.commandId, ...rejection };
  }

  toUnfinished(): CommandResult {
    const { commandId, service } = this;
    if (!this.uncertain) {
      const message = `nothing was changed: ${this.#lastError}`;
      return this.toRejected({ reason: 'platform-unavailable', message });
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

function isHeld(held: ServiceDocument, stored: ServiceDocument | undefined): boolean {
  if (!stored || stored.revision < held.revision) return false;
  if (stored.revision > held.revision) return isSuccessor(held, stored);
  return makeDigest(stored).hash === makeDigest(held).hash;
}

function toConflict(
  service: ServiceId,
  collision: Exclude<ReturnType<typeof findCollision>, undefined>,
): Rejection {
  if (collision === 'unknown') {
    const message = `${service} changed since the expected revision, further back than its history`;
    return { reason: 'conflict', message };
  }
  const { author, commandId, revision, text } = collision;
  return {
    reason: 'conflict',
    message: `${author} changed the same with "${text}" (command ${commandId}, revision ${revision})`,
    by: { author, commandId, revision, text },
  };
}
