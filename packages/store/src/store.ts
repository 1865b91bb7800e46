import type { Result } from 'neverthrow';
import type { PlatformError } from './transport.js';

/** One stored item. */
export interface StoreItem {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of its last change. */
  readonly revision: number;
}

/** Items below a prefix, and the store's revision at the reading. */
export interface StoreListing {
  readonly items: readonly StoreItem[];
  readonly revision: number;
}

/** What a watch brought: changed items, or the news that the store has forgotten these changes. */
export type WatchResult =
  | { readonly kind: 'changes'; readonly items: readonly StoreItem[]; readonly revision: number }
  | { readonly kind: 'forgotten' };

/** An item that is written if its key has the expected revision. */
export interface StorePut {
  readonly key: string;
  readonly value: Buffer;
  /** Revision that the key must have; 0 when it must not exist; undefined for any. */
  readonly expected?: number;
  /** Lease with which the key ends. */
  readonly lease?: number;
}

/** A key-value store with revisions, watches and leases. */
export abstract class KeyValueStore {
  /** Reads one item; undefined when the key does not exist. */
  abstract read(
    key: string,
  ): Promise<
    Result<{ readonly item: StoreItem | undefined; readonly revision: number }, PlatformError>
  >;

  /**
   * Reads all items below a prefix.
   *
   * @param prefix - The prefix.
   * @param allowStale - Whether an answer that is some seconds old will do, which costs less.
   */
  abstract list(prefix: string, allowStale?: boolean): Promise<Result<StoreListing, PlatformError>>;

  /**
   * Waits for changes below a prefix.
   *
   * @param prefix - The prefix.
   * @param after - Revision after which changes count.
   * @param waitMs - Longest wait, in milliseconds.
   */
  abstract watch(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<Result<WatchResult, PlatformError>>;

  /**
   * Writes an item.
   *
   * @returns Whether it was written; false when the key has another revision than expected.
   */
  abstract put(put: StorePut): Promise<Result<boolean, PlatformError>>;

  /** @returns The number of a new lease that ends `ttlMs` after it was asked for. */
  abstract createLease(ttlMs: number): Promise<Result<number, PlatformError>>;

  /** Ends all calls. */
  abstract close(): void;
}
