import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Holder } from './claim.js';

/** One recorded grant. */
export interface JournalRecord {
  readonly key: string;
  readonly digest: string;
  readonly holder: Holder;
  /** Wall-clock time of the grant in milliseconds since 1970. */
  readonly atMs: number;
}

/** A position in the write history of a shard. */
export interface JournalPosition {
  /** Fencing token; raised by each take-over of the shard. */
  readonly epoch: number;
  /** Number of the write; rises within an epoch. */
  readonly sequence: number;
  /** Incarnation of the arbiter that owns the epoch. */
  readonly arbiter: string;
}

/** Why a journal could not be taken over or written. */
export interface JournalFailure {
  /**
   * `fenced`: another arbiter has taken over. `unavailable`: the store gave no definite answer and
   * the write may still take effect. `went-back`: the store has lost accepted writes.
   */
  readonly kind: 'fenced' | 'unavailable' | 'went-back';
  readonly message: string;
}

/**
 * @returns Whether `position` is older than `seen` or belongs to another arbiter in the same epoch.
 * Either way it cannot be `seen` or a successor of it, so accepted writes have been lost.
 */
export function isBehind(position: JournalPosition, seen: JournalPosition): boolean {
  if (position.epoch !== seen.epoch) return position.epoch < seen.epoch;
  return position.arbiter !== seen.arbiter || position.sequence < seen.sequence;
}

/** The record of the grants of one shard. Only one arbiter at a time can write to it. */
export abstract class Journal {
  /** Position of the last write that is confirmed to have taken effect. */
  abstract get position(): JournalPosition | undefined;

  /**
   * Makes this process the only writer.
   *
   * @param seen - Position that the journal must have reached.
   * @returns All records, the oldest first.
   */
  abstract takeOver(
    seen?: JournalPosition,
  ): Promise<Result<readonly JournalRecord[], JournalFailure>>;

  /**
   * Writes a record. Nothing is written when another arbiter has taken over.
   *
   * @returns A success only when the record is stored durably.
   */
  abstract commit(record: JournalRecord): Promise<Result<void, JournalFailure>>;
}

/** The state that the memory journals of one shard share. */
export interface MemoryLog {
  position: JournalPosition;
  records: readonly JournalRecord[];
}

/** @returns An empty log. */
export function makeMemoryLog(): MemoryLog {
  return { position: { epoch: 0, sequence: 0, arbiter: '' }, records: [] };
}

/** A journal in the memory of one process, for embedding without a platform. */
export class MemoryJournal extends Journal {
  readonly #log: MemoryLog;

  readonly #arbiter: string;

  #position: JournalPosition | undefined;

  constructor(log: MemoryLog, arbiter: string) {
    super();
    this.#log = log;
    this.#arbiter = arbiter;
  }

  get position(): JournalPosition | undefined {
    return this.#position;
  }

  async takeOver(): Promise<Result<readonly JournalRecord[], JournalFailure>> {
    this.#position = { epoch: this.#log.position.epoch + 1, sequence: 0, arbiter: this.#arbiter };
    this.#log.position = this.#position;
    return Promise.resolve(ok(this.#log.records));
  }

  async commit(record: JournalRecord): Promise<Result<void, JournalFailure>> {
    if (this.#position !== this.#log.position)
      return Promise.resolve(makeFailure('fenced', 'another arbiter has taken over the journal'));
    this.#position = { ...this.#log.position, sequence: this.#log.position.sequence + 1 };
    this.#log.position = this.#position;
    this.#log.records = [...this.#log.records, record];
    return Promise.resolve(ok());
  }
}

/** Stores nothing. For keys that only one process ever grants in its lifetime, such as tickets. */
export class NoopJournal extends Journal {
  readonly position: JournalPosition;

  /** @param arbiter - The incarnation of the process. */
  constructor(arbiter: string) {
    super();
    this.position = { epoch: 1, sequence: 0, arbiter };
  }

  async takeOver(): Promise<Result<readonly JournalRecord[], JournalFailure>> {
    return Promise.resolve(ok([]));
  }

  async commit(): Promise<Result<void, JournalFailure>> {
    return Promise.resolve(ok());
  }
}

export function makeFailure<T>(
  kind: JournalFailure['kind'],
  message: string,
): Result<T, JournalFailure> {
  return err({ kind, message });
}
