import type { Clock } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Journal, isBehind, makeFailure } from './journal.js';
import type { JournalFailure, JournalPosition, JournalRecord } from './journal.js';
import { decodeRecords, decodeTail, emptyTail, encodeRecords, encodeTail } from './tail.js';
import type { Tail } from './tail.js';
import { sleepFor } from './sleep.js';

/** One key of the store with its value. */
export interface StoreEntry {
  readonly key: string;
  readonly value: Buffer;
  readonly modifyIndex: number;
}

/** The store operations that a journal uses. A compare-and-swap covers one key only. */
export interface JournalStore {
  /** Reads one key, or all keys below a prefix. */
  read(key: string, recurse: boolean): Promise<Result<readonly StoreEntry[], { message: string }>>;
  /**
   * Writes one key if its modify index equals `index`; 0 means that the key must not exist. After
   * an error the write may still take effect.
   */
  compareAndSwap(
    key: string,
    value: Buffer,
    index: number,
  ): Promise<Result<boolean, { message: string }>>;
  remove(key: string): Promise<Result<unknown, { message: string }>>;
}

export interface JournalOptions {
  /** Minimum interval between two writes, in milliseconds. */
  readonly minWriteIntervalMs: number;
  /** The records of the tail are moved to a segment when they are larger than this. */
  readonly maxTailBytes: number;
  /** Maximum number of records in one write. */
  readonly maxBatchRecords: number;
  /** A segment is deleted when its newest record is older than this, in milliseconds. */
  readonly retentionMs: number;
  /** Number of times that a write or a take-over is tried before it fails as `unavailable`. */
  readonly maxTries: number;
  readonly sleep: (ms: number) => Promise<void>;
}

const defaultOptions: JournalOptions = {
  minWriteIntervalMs: 40,
  maxTailBytes: 16 * 1024,
  maxBatchRecords: 1000,
  // One day, plus one hour for clock skew between instances.
  retentionMs: 25 * 3_600_000,
  maxTries: 4,
  sleep: sleepFor,
};

/** A record whose write has been requested and not started. */
interface PendingRecord {
  readonly record: JournalRecord;
  readonly resolve: (result: Result<void, JournalFailure>) => void;
}

/** A stored segment that the tail refers to. */
interface Segment {
  readonly key: string;
  readonly newestMs: number;
}

/** The segment that the next write of the tail adds; its content is stored before that write. */
interface PendingSegment extends Segment {
  readonly number: number;
  readonly count: number;
  readonly value: Buffer;
}

/** `done`: the write took effect. `adopted`: it did not; the stored tail was read again. */
type SwapOutcome = 'done' | 'adopted';

/**
 * A journal on the platform. Every change of the tail is a compare-and-swap of one key, which alone
 * decides which arbiter holds the shard and which claims are granted. Segments hold only records
 * that were in the tail before.
 */
export class PlatformJournal extends Journal {
  readonly #store: JournalStore;

  readonly #tailKey: string;

  readonly #segmentPrefix: string;

  readonly #arbiter: string;

  readonly #clock: Clock;

  readonly #options: JournalOptions;

  #tail: Tail | undefined;

  /** Modify index of `#tail` in the store; undefined until the stored tail has been read back. */
  #index: number | undefined;

  /** Number of the last write of this process, including writes that failed. */
  #sequence = 0;

  #segments = new Map<number, Segment>();

  #pendingSegment: PendingSegment | undefined;

  /** Keys of stored segments that the tail does not refer to. */
  #unusedKeys: readonly string[] = [];

  #pendingRecords: PendingRecord[] = [];

  #writeLoop: Promise<void> | undefined;

  #lastWriteAt = Number.NEGATIVE_INFINITY;

  /**
   * @param shard - Name of the shard.
   * @param arbiter - Incarnation of this process; no two processes share one.
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

  get position(): JournalPosition | undefined {
    return this.#tail?.position;
  }

  async takeOver(
    seen?: JournalPosition,
  ): Promise<Result<readonly JournalRecord[], JournalFailure>> {
    this.#tail = undefined;
    // A write in flight must finish first, because its completion sets `#tail` to the old tail.
    while (this.#writeLoop) await this.#writeLoop;
    this.#tail = undefined;
    this.#rejectPending({ kind: 'fenced', message: 'the shard is being taken over again' });
    for (let tries = 1; tries <= this.#options.maxTries; tries++) {
      const found = await this.#readTail();
      if (found.isErr()) return err(found.error);
      const { tail, index } = found.value;
      if (seen && isBehind(tail.position, seen)) {
        return makeFailure(
          'went-back',
          `stored epoch ${tail.position.epoch} is behind epoch ${seen.epoch}, which was seen before`,
        );
      }
      this.#sequence += 1;
      const position = {
        epoch: tail.position.epoch + 1,
        sequence: this.#sequence,
        arbiter: this.#arbiter,
      };
      const next = { ...tail, position };
      await this.#waitForWriteSlot();
      const swapped = await this.#store.compareAndSwap(this.#tailKey, encodeTail(next), index);
      if (swapped.isOk() && swapped.value) return this.#readSegments(next);
      // The answer may have been lost, so the stored tail decides whether this write took effect.
      const current = await this.#readTail();
      if (current.isOk() && isSamePosition(current.value.tail.position, position))
        return this.#readSegments(next);
    }
    return makeFailure('unavailable', `the take-over failed in ${this.#options.maxTries} tries`);
  }

  async commit(record: JournalRecord): Promise<Result<void, JournalFailure>> {
    if (!this.#tail) return makeFailure('fenced', 'this arbiter does not hold the shard');
    return new Promise((resolve) => {
      this.#pendingRecords.push({ record, resolve });
      this.#writeLoop ??= this.#writePending();
    });
  }

  /** Writes the pending records in batches, then deletes the unused segments. */
  async #writePending(): Promise<void> {
    // Records that are committed in the same turn of the event loop share the first write.
    await Promise.resolve();
    while (this.#pendingRecords.length > 0 || (this.#unusedKeys.length > 0 && this.#tail)) {
      await this.#waitForWriteSlot();
      if (this.#pendingRecords.length === 0) {
        if (!(await this.#removeUnusedKey())) break;
        continue;
      }
      const batch = this.#pendingRecords.splice(0, this.#options.maxBatchRecords);
      const result = await this.#writeBatch(batch.map(({ record }) => record));
      if (result.isErr() && result.error.kind === 'fenced') this.#tail = undefined;
      batch.forEach(({ resolve }) => resolve(result));
    }
    this.#writeLoop = undefined;
  }

  async #writeBatch(records: readonly JournalRecord[]): Promise<Result<void, JournalFailure>> {
    for (let tries = 1; tries <= this.#options.maxTries; tries++) {
      const tail = this.#tail;
      if (!tail) return makeFailure('fenced', 'this arbiter no longer holds the shard');
      if (this.#index === undefined) {
        const adopted = await this.#reloadTail();
        if (adopted.isErr()) return err(adopted.error);
        continue;
      }
      const sealed = await this.#sealTail(tail);
      if (sealed.isErr()) return err(sealed.error);
      const result = await this.#swap(this.#makeNextTail(tail, records), this.#index);
      if (result.isErr()) return err(result.error);
      if (result.value === 'done') return ok();
      await this.#waitForWriteSlot();
    }
    return makeFailure('unavailable', `the write failed in ${this.#options.maxTries} tries`);
  }

  /** Appends records to the tail, leaving out the records that the pending segment holds. */
  #makeNextTail(tail: Tail, records: readonly JournalRecord[]): Tail {
    this.#sequence += 1;
    const segment = this.#pendingSegment;
    const expiryMs = this.#clock.readWallTime() - this.#options.retentionMs;
    let { first } = tail;
    while (first < tail.next && (this.#segments.get(first)?.newestMs ?? Infinity) < expiryMs) {
      first += 1;
    }
    return {
      position: { ...tail.position, sequence: this.#sequence },
      first,
      next: tail.next + (segment ? 1 : 0),
      records: [...tail.records.slice(segment?.count ?? 0), ...records],
    };
  }

  async #swap(next: Tail, index: number): Promise<Result<SwapOutcome, JournalFailure>> {
    const written = await this.#store.compareAndSwap(this.#tailKey, encodeTail(next), index);
    if (written.isOk() && written.value) {
      this.#accept(next, undefined);
      return ok('done');
    }
    // The swap also fails when this write took effect in an earlier try whose answer was lost.
    const adopted = await this.#reloadTail();
    if (adopted.isErr()) return err(adopted.error);
    return ok(isSamePosition(adopted.value, next.position) ? 'done' : 'adopted');
  }

  /**
   * Reads the stored tail. Fails when another arbiter has taken over, or when the tail is older than
   * the last committed write.
   */
  async #reloadTail(): Promise<Result<JournalPosition, JournalFailure>> {
    this.#index = undefined;
    const found = await this.#readTail();
    if (found.isErr()) return err(found.error);
    const { tail, index } = found.value;
    const own = this.#tail;
    if (!own) return makeFailure('fenced', 'this arbiter no longer holds the shard');
    if (isBehind(tail.position, own.position)) {
      const { epoch, sequence } = tail.position;
      return makeFailure(
        'went-back',
        `the tail is at write ${sequence} of epoch ${epoch}, behind a committed write`,
      );
    }
    if (tail.position.epoch !== own.position.epoch) {
      return makeFailure(
        'fenced',
        `arbiter ${tail.position.arbiter} has taken over in epoch ${tail.position.epoch}`,
      );
    }
    this.#accept(tail, index);
    return ok(tail.position);
  }

  #accept(tail: Tail, index: number | undefined): void {
    this.#tail = tail;
    this.#index = index;
    const segment = this.#pendingSegment;
    if (segment && tail.next > segment.number) {
      this.#segments.set(segment.number, segment);
      this.#pendingSegment = undefined;
    }
    for (const [number, { key }] of this.#segments) {
      if (number >= tail.first) continue;
      this.#segments.delete(number);
      this.#unusedKeys = [...this.#unusedKeys, key];
    }
  }

  /**
   * Writes the records of a large tail to a segment. A repeated try writes the same bytes, so that
   * a segment that an earlier try stored can be recognized.
   */
  async #sealTail(tail: Tail): Promise<Result<void, JournalFailure>> {
    if (!this.#pendingSegment) {
      const value = encodeRecords(tail.records);
      if (value.length <= this.#options.maxTailBytes) return ok();
      this.#pendingSegment = {
        key: `${this.#segmentPrefix}${tail.position.epoch}-${tail.next}`,
        number: tail.next,
        count: tail.records.length,
        newestMs: Math.max(...tail.records.map(({ atMs }) => atMs)),
        value,
      };
    }
    const { key, value } = this.#pendingSegment;
    const written = await this.#store.compareAndSwap(key, value, 0);
    if (written.isErr() || !written.value) {
      const found = await this.#store.read(key, false);
      if (found.isErr()) return makeFailure('unavailable', found.error.message);
      const [stored] = found.value;
      if (!stored) return makeFailure('unavailable', 'the segment was not written');
      if (!stored.value.equals(value))
        return makeFailure('went-back', `${key} holds other records`);
    }
    await this.#waitForWriteSlot();
    return ok();
  }

  /** Reads the segments. Runs after the take-over, when no other arbiter can add a segment. */
  async #readSegments(tail: Tail): Promise<Result<readonly JournalRecord[], JournalFailure>> {
    const listed = await this.#store.read(this.#segmentPrefix, true);
    if (listed.isErr()) return makeFailure('unavailable', listed.error.message);
    const newest = new Map<number, { epoch: number; stored: StoreEntry }>();
    for (const stored of listed.value) {
      const [epoch = 0, number = 0] = readSegmentName(stored.key);
      // Of two segments with the same number, a tail refers to the one of the later epoch.
      if ((newest.get(number)?.epoch ?? -1) < epoch) newest.set(number, { epoch, stored });
    }
    const segments = new Map<number, Segment>();
    const records: JournalRecord[] = [];
    for (let number = tail.first; number < tail.next; number++) {
      const stored = newest.get(number)?.stored;
      if (!stored) return makeFailure('went-back', `segment ${number} is missing`);
      const segmentRecords = tryDecodeRecords(stored.value);
      if (!segmentRecords) return makeFailure('went-back', `${stored.key} cannot be decoded`);
      segmentRecords.forEach((record) => records.push(record));
      segments.set(number, {
        key: stored.key,
        newestMs: segmentRecords.reduce((newestMs, { atMs }) => Math.max(newestMs, atMs), 0),
      });
    }
    const used = new Set([...segments.values()].map(({ key }) => key));
    this.#unusedKeys = listed.value.map(({ key }) => key).filter((key) => !used.has(key));
    this.#segments = segments;
    this.#pendingSegment = undefined;
    this.#tail = tail;
    this.#index = undefined;
    return ok([...records, ...tail.records]);
  }

  async #readTail(): Promise<Result<{ tail: Tail; index: number }, JournalFailure>> {
    const found = await this.#store.read(this.#tailKey, false);
    if (found.isErr()) return makeFailure('unavailable', found.error.message);
    const [stored] = found.value;
    if (!stored) return ok({ tail: emptyTail, index: 0 });
    try {
      return ok({ tail: decodeTail(stored.value), index: stored.modifyIndex });
    } catch (error) {
      return makeFailure('went-back', `${this.#tailKey} cannot be decoded: ${String(error)}`);
    }
  }

  /** @returns False when the deletion failed; it is tried again after the next write. */
  async #removeUnusedKey(): Promise<boolean> {
    const [key, ...rest] = this.#unusedKeys;
    if (key === undefined) return true;
    const removed = await this.#store.remove(key);
    if (removed.isOk()) this.#unusedKeys = rest;
    return removed.isOk();
  }

  /** Waits until the minimum interval since the last write has passed. */
  async #waitForWriteSlot(): Promise<void> {
    const waitMs = this.#lastWriteAt + this.#options.minWriteIntervalMs - this.#clock.now();
    if (waitMs > 0) await this.#options.sleep(waitMs);
    this.#lastWriteAt = this.#clock.now();
  }

  #rejectPending(failure: JournalFailure): void {
    this.#pendingRecords.splice(0).forEach(({ resolve }) => resolve(err(failure)));
  }
}

function isSamePosition(a: JournalPosition, b: JournalPosition): boolean {
  return a.epoch === b.epoch && a.sequence === b.sequence && a.arbiter === b.arbiter;
}

function tryDecodeRecords(value: Buffer): readonly JournalRecord[] | undefined {
  try {
    return decodeRecords(value);
  } catch {
    return undefined;
  }
}

function readSegmentName(key: string): number[] {
  return key
    .slice(key.lastIndexOf('/') + 1)
    .split('-')
    .map(Number);
}
