import type { Result } from 'neverthrow';
import type { StorePosition } from '@dotterelpass/values';
import type { PlatformError } from './transport.js';

/** A key and its value. */
export interface StoreItem {
  readonly key: string;
  readonly value: Buffer;
  /** Epoch of the store in which the item was read. */
  readonly epoch: number;
  /** Store revision of the last change of the key. */
  readonly revision: number;
}

/** All items with a key prefix, and the position of the store at which they were read. */
export interface StoreListing {
  readonly items: readonly StoreItem[];
  readonly position: StorePosition;
}

/** One item, which is undefined when the key does not exist, and the position of the store. */
export interface StoreReading {
  readonly item: StoreItem | undefined;
  readonly position: StorePosition;
}

/** A key that was deleted. */
export interface RemovedKey extends StorePosition {
  readonly key: string;
}

/**
 * Result of a watch: the changed items and the deleted keys, or `forgotten` when the store does not have all changes
 * after the requested position, which includes that it was restored.
 */
export type WatchResult =
  | {
      readonly kind: 'changes';
      readonly items: readonly StoreItem[];
      /** Deleted keys with the epochs and revisions of their deletion. */
      readonly removed: readonly RemovedKey[];
      readonly position: StorePosition;
    }
  | { readonly kind: 'forgotten' };

/** A write that takes effect only if the key has the expected revision. */
export interface StorePut {
  readonly key: string;
  readonly value: Buffer;
  /** Required revision of the key; 0 if the key must not exist; undefined for any revision. */
  readonly expected?: number;
  /** Lease whose end deletes the key. */
  readonly lease?: number;
}

/** A key-value store with revisions, watches and leases, which may be restored from a copy. */
export abstract class KeyValueStore {
  /** Reads one item. */
  abstract read(key: string): Promise<Result<StoreReading, PlatformError>>;

  /**
   * Reads all items whose keys begin with a prefix.
   *
   * @param prefix - The prefix.
   * @param allowStale - Whether the result may be some seconds old. Such reads cost less.
   */
  abstract list(prefix: string, allowStale?: boolean): Promise<Result<StoreListing, PlatformError>>;

  /**
   * Waits for changes of keys that begin with a prefix.
   *
   * @param prefix - The prefix.
   * @param after - Only changes after this position are returned.
   * @param waitMs - Longest wait for a change, in milliseconds.
   */
  abstract watch(
    prefix: string,
    after: StorePosition,
    waitMs: number,
  ): Promise<Result<WatchResult, PlatformError>>;

  /**
   * Writes an item.
   *
   * @param put - The item and its condition.
   * @returns True when the item was written, false when the revision was not the expected one.
   */
  abstract put(put: StorePut): Promise<Result<boolean, PlatformError>>;

  /**
   * Creates items, all or none of them.
   *
   * @param puts - The items; their condition is that the key does not exist.
   * @returns The items whose keys exist already, in which case none was created; otherwise empty.
   */
  abstract create(puts: readonly StorePut[]): Promise<Result<readonly StoreItem[], PlatformError>>;

  /**
   * Creates a lease.
   *
   * @param ttlMs - The lease ends this long after it was requested.
   * @returns The id of the lease.
   */
  abstract createLease(ttlMs: number): Promise<Result<number, PlatformError>>;

  /** Aborts all calls. */
  abstract close(): void;
}
