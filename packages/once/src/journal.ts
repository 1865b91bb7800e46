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

/** A position in the history of a shard. */
export interface JournalPosition {
  readonly epoch: number;
  /** Counts the writes of one epoch. */
  readonly sequence: number;
  /** Incarnation of the arbiter of the epoch. */
  readonly arbiter: string;
}

/** Why a journal could not be taken over or written. */
export interface JournalFailure {
  /**
   * `fenced`: another arbiter has taken over. `unavailable`: the store gave no certain answer;
   * the write may still take effect. `went-back`: the store has lost accepted writes.
   */
  readonly kind: 'fenced' | 'unavailable' | 'went-back';
  readonly message: string;
}

/** @returns Whether a position cannot follow, or be, one that was seen before. */
export function isBehind(mark: JournalPosition, seen: JournalPosition): boolean {
  if (mark.epoch !== seen.epoch) return mark.epoch < seen.epoch;
  return mark.arbiter !== seen.arbiter || mark.sequence < seen.sequence;
}

/** The record of grants of one shard. At any time one arbiter can write it. */
export abstract class Journal {
  /** Position of the last write that is known to have taken effect. */
  abstract get mark(): JournalPosition | undefined;

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
   * Writes a record. The writer may have been replaced; then nothing is written.
   *
   * @returns A success only when the record is stored for good.
   */
  abstract commit(record: JournalRecord): Promise<Result<void, JournalFailure>>;
}

/** What the memory journals of one shard share. */
export interface MemoryLog {
  mark: JournalPosition;
  records: readonly JournalRecord[];
}

/** @returns An empty log. */
export function makeMemoryLog(): MemoryLog {
  return { mark: { epoch: 0, sequence: 0, arbiter: '' }, records: [] };
}

/** A journal in the memory of one process, for embedding without a platform. */
export class MemoryJournal extends Journal {
  readonly #log: MemoryLog;

  readonly #arbiter: string;

  #mark: JournalPosition | undefined;

  constructor(log: MemoryLog, arbiter: string) {
    super();
    this.#log = log;
    this.#arbiter = arbiter;
  }

  get mark(): JournalPosition | undefined {
    return this.#mark;
  }

  async takeOver(): Promise<Result<readonly JournalRecord[], JournalFailure>> {
    this.#mark = { epoch: this.#log.mark.epoch + 1, sequence: 0, arbiter: this.#arbiter };
    this.#log.mark = this.#mark;
    return Promise.resolve(ok(this.#log.records));
  }

  async commit(record: JournalRecord): Promise<Result<void, JournalFailure>> {
    if (this.#mark !== this.#log.mark) return Promise.resolve(fail('fenced', 'was replaced'));
    this.#mark = { ...this.#log.mark, sequence: this.#log.mark.sequence + 1 };
    this.#log.mark = this.#mark;
    this.#log.records = [...this.#log.records, record];
    return Promise.resolve(ok());
  }
}

/** Records nothing: for keys that only one run of one process ever grants, such as tickets. */
export class NoopJournal extends Journal {
  readonly mark: JournalPosition;

  /** @param arbiter - The incarnation of the process. */
  constructor(arbiter: string) {
    super();
    this.mark = { epoch: 1, sequence: 0, arbiter };
  }

  async takeOver(): Promise<Result<readonly JournalRecord[], JournalFailure>> {
    return Promise.resolve(ok([]));
  }

  async commit(): Promise<Result<void, JournalFailure>> {
    return Promise.resolve(ok());
  }
}

/** Builds a failed result. */
export function fail<T>(kind: JournalFailure['kind'], message: string): Result<T, JournalFailure> {
  return err({ kind, message });
}
