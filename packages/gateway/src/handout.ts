import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { StoreItem } from '@dotterelpass/store';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Size of a configuration from which it is compressed, in bytes. */
const minDeflatedBytes = 16 * 1024;

/** Maximum size of a configuration that is inflated, in bytes. */
const maxInflatedBytes = 16 * 1024 * 1024;

/** The fastest level; configurations repeat themselves so much that it saves nine tenths. */
const deflateLevel = 1;

/** A configuration as one instance sends it to another. */
export interface SharedConfigItem extends StoreItem {
  /** Whether the value is compressed; only instances that accept it get it so. */
  readonly isDeflated?: boolean;
}

/**
 * Compresses a large configuration. An instance may send one to all others of its failure domain,
 * over a link that takes seconds for the whole.
 *
 * @param item - The configuration.
 * @returns The same, compressed if it is large.
 */
export function deflateItem(item: StoreItem): SharedConfigItem {
  if (item.value.length < minDeflatedBytes) return item;
  const value = deflateRawSync(item.value, { level: deflateLevel });
  return { ...item, value, isDeflated: true };
}

/**
 * Reads a configuration of another instance.
 *
 * @returns The configuration, or why it cannot be read.
 */
export function inflateItem(shared: SharedConfigItem): Result<StoreItem, string> {
  if (!shared.isDeflated) return ok(shared);
  const { key, epoch, revision } = shared;
  try {
    const value = inflateRawSync(shared.value, { maxOutputLength: maxInflatedBytes });
    return ok({ key, value, epoch, revision });
  } catch (error) {
    return err((error as Error).message);
  }
}
