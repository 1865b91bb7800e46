import type { Incarnation, InstanceId } from '@dotterelpass/values';
import type { JournalPosition, JournalRecord } from './journal.js';

/**
 * The value under `once/<shard>/tail`. Writes to this key alone decide which arbiter holds the
 * shard and which claims are granted.
 */
export interface Tail {
  readonly position: JournalPosition;
  /** Sealed segments have the numbers from `first` (inclusive) to `next` (exclusive). */
  readonly first: number;
  readonly next: number;
  /** Records that are not in a segment yet, the oldest first. */
  readonly records: readonly JournalRecord[];
}

/** The tail of a shard that has never been written. */
export const emptyTail: Tail = {
  position: { epoch: 0, sequence: 0, arbiter: '' },
  first: 1,
  next: 1,
  records: [],
};

/** Stored form of a record. The order of the fields must not change. */
type Row = readonly [string, string, string, string, number, number];

/** @returns The records in their stored form. */
export function encodeRecords(records: readonly JournalRecord[]): Buffer {
  return Buffer.from(JSON.stringify(records.map(toRow)));
}

/**
 * @returns The stored records.
 * @throws SyntaxError or TypeError when the value has another form.
 */
export function decodeRecords(value: Buffer): readonly JournalRecord[] {
  return (JSON.parse(value.toString()) as Row[]).map(toRecord);
}

/** @returns A tail in its stored form. */
export function encodeTail({ position, first, next, records }: Tail): Buffer {
  return Buffer.from(JSON.stringify({ ...position, first, next, records: records.map(toRow) }));
}

/**
 * @returns The stored tail.
 * @throws SyntaxError or TypeError when the value has another form.
 */
export function decodeTail(value: Buffer): Tail {
  const stored = JSON.parse(value.toString()) as JournalPosition &
    Omit<Tail, 'position' | 'records'> & { readonly records: readonly Row[] };
  const { epoch, sequence, arbiter, first, next, records } = stored;
  if (![epoch, sequence, first, next].every(Number.isSafeInteger)) {
    throw new TypeError('epoch, sequence, first or next of the tail is not an integer');
  }
  return { position: { epoch, sequence, arbiter }, first, next, records: records.map(toRecord) };
}

function toRow({ key, digest, holder, atMs }: JournalRecord): Row {
  return [key, digest, holder.instance, holder.incarnation, holder.attempt, atMs];
}

function toRecord([key, digest, instance, incarnation, attempt, atMs]: Row): JournalRecord {
  const holder = {
    instance: instance as InstanceId,
    incarnation: incarnation as Incarnation,
    attempt,
  };
  return { key, digest, holder, atMs };
}
