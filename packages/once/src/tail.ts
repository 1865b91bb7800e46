import type { Incarnation, InstanceId } from '@dotterelpass/values';
import type { JournalRecord, JournalPosition } from './journal.js';

/** The value under `once/<shard>/tail`, the only place where grants and arbiters are decided. */
export interface Tail {
  readonly mark: JournalPosition;
  /** Numbers of the sealed segments: from `first` up to and without `next`. */
  readonly first: number;
  readonly next: number;
  /** Records that no segment holds, the oldest first. */
  readonly records: readonly JournalRecord[];
}

/** A shard that was never written. */
export const emptyTail: Tail = {
  mark: { epoch: 0, sequence: 0, arbiter: '' },
  first: 1,
  next: 1,
  records: [],
};

type Row = readonly [string, string, string, string, number, number];

/** @returns The records in their stored form. */
export function writeRecords(records: readonly JournalRecord[]): Buffer {
  return Buffer.from(JSON.stringify(records.map(toRow)));
}

/** @returns Stored records; throws a SyntaxError or TypeError for anything else. */
export function readRecords(value: Buffer): readonly JournalRecord[] {
  return (JSON.parse(value.toString()) as Row[]).map(toRecord);
}

/** @returns A tail in its stored form. */
export function writeTail({ mark, first, next, records }: Tail): Buffer {
  return Buffer.from(JSON.stringify({ ...mark, first, next, records: records.map(toRow) }));
}

/** @returns The stored tail; throws a SyntaxError or TypeError for anything else. */
export function readTail(value: Buffer): Tail {
  const stored = JSON.parse(value.toString()) as JournalPosition &
    Omit<Tail, 'mark' | 'records'> & { readonly records: readonly Row[] };
  const { epoch, sequence, arbiter, first, next, records } = stored;
  if (![epoch, sequence, first, next].every(Number.isSafeInteger)) {
    throw new TypeError('the tail lacks a number');
  }
  return { mark: { epoch, sequence, arbiter }, first, next, records: records.map(toRecord) };
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
