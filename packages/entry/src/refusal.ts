import type { IncomingMessage } from 'node:http';
import type { Refusal } from '@dotterelpass/proxy';

/**
 * Makes a refusal for a call whose key has not been looked up. This sending has not run, but an
 * earlier one with the same key may have, and its caller would take `not-run` for both.
 *
 * @param request - The call.
 * @param refusal - What a call without a key would be told.
 * @returns The refusal, with the verdict `may-have-run` when the call has a key.
 */
export function makePreLookupRefusal(
  request: Pick<IncomingMessage, 'headers'>,
  refusal: Refusal,
): Refusal {
  if (request.headers['idempotency-key'] === undefined) return refusal;
  return { ...refusal, verdict: 'may-have-run' };
}
