import type { Clock } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Journal, fail, isBehind } from './journal.js';
import type { JournalFailure, JournalRecord, JournalPosition } from './journal.js';
import { emptyTail, readRecords, readTail, writeRecords, writeTail } from './tail.js';
import type { Tail } from './tail.js';
import { sleepFor } from './sleep.js';

/** One key of the store. */
export interface Stored {
  readonly key: string;
  readonly value: Buffer;
  readonly modifyIndex: number;
}

/** The part of the platform that a journal needs. Compare-and-swap covers one key only. */
export interface JournalStore {
  /** Reads one key, or all keys below a prefix. */
  read(key: string, recurse: boolean): Promise<Result<readonly Stored[], { message: string }>>;
  /** Writes a key if its index is as given, 0 for a new key. After an error it may take effect. */
  compareAndSwap(
    key: string,
    value: Buffer,
    index: number,
  ): Promise<Result<boolean, { message: string }>>;
  /** Deletes a key. */
  remove(key: string): Promise<Result<unknown, { message: string }>>;
}

export interface JournalOptions {
  /** Least time between two writes, in milliseconds. */
  readonly paceMs: number;
  /** A tail above this size is sealed into a segment, in bytes. */
  readonly sealBytes: number;
  /** Most records of one write. */
  readonly maxBatch: number;
  /** Segments whose newest record is older are deleted, in milliseconds. */
  readonly retentionMs: number;
  /** Tries of one write before its records are given up. */
  readonly maxTries: number;
  readonly sleep: (ms: number) => Promise<void>;
}

const defaultOptions: JournalOptions = {
  paceMs: 40,
  sealBytes: 16 * 1024,
  maxBatch: 1000,
  // A day, and an hour for the difference between clocks.
  retentionMs: 25 * 3_600_000,
  maxTries: 4,
  sleep: sleepFor,
};

interface Waiting {
  readonly record: JournalRecord;
  readonly resolve: (result: Result<void, JournalFailure>) => void;
}

interface Segment {
  readonly key: string;
  readonly newestMs: number;
}

interface Sealing extends Segment {
  readonly number: number;
  readonly count: number;
  readonly value: Buffer;
}

type Swap = 'done' | 'adopted';

/**
 * A journal on the platform. Every change of the tail is one compare-and-swap, which alone
 * decides who is the arbiter and what is granted. Segments hold only records that a tail held.
 */
export class PlatformJournal extends Journal {
  readonly #store: JournalStore;

  readonly #tailKey: string;

  readonly #segmentPrefix: string;

  readonly #arbiter: string;

  readonly #clock: Clock;

  readonly #options: JournalOptions;

  #tail: Tail | undefined;

  /** Index of `#tail` in the store; undefined when a write has not been seen there yet. */
  #index: number | undefined;

  /** Numbers the writes of this process, those that were given up included. */
  #sequence = 0;

  #segments = new Map<number, Segment>();

  #sealing: Sealing | undefined;

  #garbage: readonly string[] = [];

  #waiting: Waiting[] = [];

  #running: Promise<void> | undefined;

  #lastWriteAt = Number.NEGATIVE_INFINITY;

  /**
   * @param shard - Name of the shard.
   * @param arbiter - Incarnation of this process, unique among all processes.
   */
  constructor(
    store: JournalStore,
    shard: string,
    arbiter: string,
    clock: Clock,
    options: Partial<JournalOptions> = {},
  ) {
    super();
    this.#store = store;
    this.#tailKey = `once/${shard}/tail`;
    this.#segmentPrefix = `once/${shard}/segments/`;
    this.#arbiter = arbiter;
    this.#clock = clock;
    this.#options = { ...defaultOptions, ...options };
  }

  get mark(): JournalPosition | undefined {
    return this.#tail?.mark;
  }

  async takeOver(
    seen?: JournalPosition,
  ): Promise<Result<readonly JournalRecord[], JournalFailure>> {
    this.#tail = undefined;
    // A write in flight must end first: it would bring the old tail back.
    while (this.#running) await this.#running;
    this.#tail = undefined;
    this.#refuseWaiting({ kind: 'fenced', message: 'the shard is being taken over again' });
    for (let tries = 1; tries <= this.#options.maxTries; tries++) {
      const found = await this.#readTail();
      if (found.isErr()) return err(found.error);
      const { tail, index } = found.value;
      if (seen && isBehind(tail.mark, seen)) {
        return fail('went-back', `epoch ${tail.mark.epoch} is below ${seen.epoch}, seen before`);
      }
      this.#sequence += 1;
      const mark = {
        epoch: tail.mark.epoch + 1,
        sequence: this.#sequence,
        arbiter: this.#arbiter,
      };
      const next = { ...tail, mark };
      await this.#waitForTurn();
      const swapped = await this.#store.compareAndSwap(this.#tailKey, writeTail(next), index);
      if (swapped.isOk() && swapped.value) return this.#readSegments(next);
      // A lost answer: only the store can tell whether this write or another one counted.
      const now = await this.#readTail();
      if (now.isOk() && isSameMark(now.value.tail.mark, mark)) return this.#readSegments(next);
    }
    return fail('unavailable', `no take-over in ${this.#options.maxTries} tries`);
  }

  async commit(record: JournalRecord): Promise<Result<void, JournalFailure>> {
    if (!this.#tail) return fail('fenced', 'the shard is not taken over');
    return new Promise((resolve) => {
      this.#waiting.push({ record, resolve });
      this.#running ??= this.#run();
    });
  }

  async #run(): Promise<void> {
    // Claims that come in the same turn of the event loop share the first write.
    await Promise.resolve();
    while (this.#waiting.length > 0 || (this.#garbage.length > 0 && this.#tail)) {
      await this.#waitForTurn();
      if (this.#waiting.length === 0) {
        if (!(await this.#removeGarbage())) break;
        continue;
      }
      const batch = this.#waiting.splice(0, this.#options.maxBatch);
      const result = await this.#writeBatch(batch.map(({ record }) => record));
      if (result.isErr() && result.error.kind === 'fenced') this.#tail = undefined;
      batch.forEach(({ resolve }) => resolve(result));
    }
    this.#running = undefined;
  }

  async #writeBatch(records: readonly JournalRecord[]): Promise<Result<void, JournalFailure>> {
    for (let tries = 1; tries <= this.#options.maxTries; tries++) {
      const tail = this.#tail;
      if (!tail) return fail('fenced', 'the shard was given up');
      if (this.#index === undefined) {
        const adopted = await this.#adopt();
        if (adopted.isErr()) return err(adopted.error);
        continue;
      }
      const sealed = await this.#seal(tail);
      if (sealed.isErr()) return err(sealed.error);
      const result = await this.#swap(this.#makeNext(tail, records), this.#index);
      if (result.isErr()) return err(result.error);
      if (result.value === 'done') return ok();
      await this.#waitForTurn();
    }
    return fail('unavailable', `not written in ${this.#options.maxTries} tries`);
  }

  /** Puts records behind those of the tail, without those that a segment holds now. */
  #makeNext(tail: Tail, records: readonly JournalRecord[]): Tail {
    this.#sequence += 1;
    const sealed = this.#sealing;
    const before = this.#clock.wall() - this.#options.retentionMs;
    let { first } = tail;
    while (first < tail.next && (this.#segments.get(first)?.newestMs ?? Infinity) < before) {
      first += 1;
    }
    return {
      mark: { ...tail.mark, sequence: this.#sequence },
      first,
      next: tail.next + (sealed ? 1 : 0),
      records: [...tail.records.slice(sealed?.count ?? 0), ...records],
    };
  }

  async #swap(next: Tail, index: number): Promise<Result<Swap, JournalFailure>> {
    const written = await this.#store.compareAndSwap(this.#tailKey, writeTail(next), index);
    if (written.isOk() && written.value) {
      this.#accept(next, undefined);
      return ok('done');
    }
    // A failed swap may be this very write, applied by an earlier try whose answer was lost.
    const adopted = await this.#adopt();
    if (adopted.isErr()) return err(adopted.error);
    return ok(isSameMark(adopted.value, next.mark) ? 'done' : 'adopted');
  }

  /** Reads the tail back; it must be this arbiter's and not older than what it has committed. */
  async #adopt(): Promise<Result<JournalPosition, JournalFailure>> {
    this.#index = undefined;
    const found = await this.#readTail();
    if (found.isErr()) return err(found.error);
    const { tail, index } = found.value;
    const own = this.#tail;
    if (!own) return fail('fenced', 'the shard was given up');
    if (isBehind(tail.mark, own.mark)) {
      const { epoch, sequence } = tail.mark;
      return fail('went-back', `the tail is at ${epoch}/${sequence}, behind a committed write`);
    }
    if (tail.mark.epoch !== own.mark.epoch) {
      return fail('fenced', `epoch ${tail.mark.epoch} of ${tail.mark.arbiter} has begun`);
    }
    this.#accept(tail, index);
    return ok(tail.mark);
  }

  #accept(tail: Tail, index: number | undefined): void {
    this.#tail = tail;
    this.#index = index;
    const sealed = this.#sealing;
    if (sealed && tail.next > sealed.number) {
      this.#segments.set(sealed.number, sealed);
      this.#sealing = undefined;
    }
    for (const [number, { key }] of this.#segments) {
      if (number >= tail.first) continue;
      this.#segments.delete(number);
      this.#garbage = [...this.#garbage, key];
    }
  }

  /** Writes the records of a large tail to a segment. Its bytes stay the same in every try. */
  async #seal(tail: Tail): Promise<Result<void, JournalFailure>> {
    if (!this.#sealing) {
      const value = writeRecords(tail.records);
      if (value.length <= this.#options.sealBytes) return ok();
      this.#sealing = {
        key: `${this.#segmentPrefix}${tail.mark.epoch}-${tail.next}`,
        number: tail.next,
        count: tail.records.length,
        newestMs: Math.max(...tail.records.map(({ atMs }) => atMs)),
        value,
      };
    }
    const { key, value } = this.#sealing;
    const written = await this.#store.compareAndSwap(key, value, 0);
    if (written.isErr() || !written.value) {
      const found = await this.#store.read(key, false);
      if (found.isErr()) return fail('unavailable', found.error.message);
      const [stored] = found.value;
      if (!stored) return fail('unavailable', 'the segment was not written');
      if (!stored.value.equals(value)) return fail('went-back', `${key} holds other records`);
    }
    await this.#waitForTurn();
    return ok();
  }

  /** Reads the segments after the take-over: from then on nobody else can add one. */
  async #readSegments(tail: Tail): Promise<Result<readonly JournalRecord[], JournalFailure>> {
    const listed = await this.#store.read(this.#segmentPrefix, true);
    if (listed.isErr()) return fail('unavailable', listed.error.message);
    const newest = new Map<number, { epoch: number; stored: Stored }>();
    for (const stored of listed.value) {
      const [epoch = 0, number = 0] = readName(stored.key);
      // Of two segments with one number, the one of the later epoch was counted by a tail.
      if ((newest.get(number)?.epoch ?? -1) < epoch) newest.set(number, { epoch, stored });
    }
    const segments = new Map<number, Segment>();
    const records: JournalRecord[] = [];
    for (let number = tail.first; number < tail.next; number++) {
      const stored = newest.get(number)?.stored;
      if (!stored) return fail('went-back', `segment ${number} is missing`);
      const held = tryReadRecords(stored.value);
      if (!held) return fail('went-back', `${stored.key} cannot be read`);
      held.forEach((record) => records.push(record));
      segments.set(number, {
        key: stored.key,
        newestMs: held.reduce((newestMs, { atMs }) => Math.max(newestMs, atMs), 0),
      });
    }
    const used = new Set([...segments.values()].map(({ key }) => key));
    this.#garbage = listed.value.map(({ key }) => key).filter((key) => !used.has(key));
    this.#segments = segments;
    this.#sealing = undefined;
    this.#tail = tail;
    this.#index = undefined;
    return ok([...records, ...tail.records]);
  }

  async #readTail(): Promise<Result<{ tail: Tail; index: number }, JournalFailure>> {
    const found = await this.#store.read(this.#tailKey, false);
    if (found.isErr()) return fail('unavailable', found.error.message);
    const [stored] = found.value;
    if (!stored) return ok({ tail: emptyTail, index: 0 });
    try {
      return ok({ tail: readTail(stored.value), index: stored.modifyIndex });
    } catch (error) {
      return fail('went-back', `${this.#tailKey} cannot be read: ${String(error)}`);
    }
  }

  async #removeGarbage(): Promise<boolean> {
    const [key, ...rest] = this.#garbage;
    if (key === undefined) return true;
    const removed = await this.#store.remove(key);
    if (removed.isOk()) this.#garbage = rest;
    return removed.isOk();
  }

  async #waitForTurn(): Promise<void> {
    const waitMs = this.#lastWriteAt + this.#options.paceMs - this.#clock.now();
    if (waitMs > 0) await this.#options.sleep(waitMs);
    this.#lastWriteAt = this.#clock.now();
  }

  #refuseWaiting(failure: JournalFailure): void {
    this.#waiting.splice(0).forEach(({ resolve }) => resolve(err(failure)));
  }
}

function isSameMark(a: JournalPosition, b: JournalPosition): boolean {
  return a.epoch === b.epoch && a.sequence === b.sequence && a.arbiter === b.arbiter;
}

function tryReadRecords(value: Buffer): readonly JournalRecord[] | undefined {
  try {
    return readRecords(value);
  } catch {
    return undefined;
  }
}

function readName(key: string): number[] {
  return key
    .slice(key.lastIndexOf('/') + 1)
    .split('-')
    .map(Number);
}
