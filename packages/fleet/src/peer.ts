import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { isAddress } from '@dotterelpass/values';
import type { FailureDomain } from '@dotterelpass/values';

/** Another instance, as it has registered itself in the store. */
export interface Peer {
  /** IP address and port for connections of peers. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  /** IP address and port for callers; undefined for an instance of an older version. */
  readonly callerAddress?: string;
}

/**
 * Parses the value of an instance's key. The fields that connections depend on are checked, since
 * another writer may have left the key.
 *
 * @param value - The value in the store.
 * @returns The instance, or the reason why the value names none.
 */
export function parsePeer(value: Buffer): Result<Peer, string> {
  try {
    const { address, failureDomain, callerAddress } = JSON.parse(value.toString()) as Partial<Peer>;
    if (!isPeerAddress(address)) return err('address is not an IP address and port');
    if (typeof failureDomain !== 'string') return err('failureDomain is not a string');
    if (callerAddress === undefined) return ok({ address, failureDomain });
    if (!isPeerAddress(callerAddress)) return err('callerAddress is not an IP address and port');
    return ok({ address, failureDomain, callerAddress });
  } catch (error) {
    return err(String(error));
  }
}

function isPeerAddress(value: unknown): value is string {
  return typeof value === 'string' && isAddress(value);
}
