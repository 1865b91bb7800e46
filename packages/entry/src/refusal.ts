import type { IncomingMessage } from 'node:http';
import type { Refusal } from '@dotterelpass/proxy';

/**
 * Makes a refusal for a call that is refused before its idempotency key has been looked up. This
 * request has not run, but an earlier request with the same key may have, and the caller would
 * read `not-run` as a verdict on both.
 *
 * @param request - The call.
 * @param refusal - The refusal for a call without a key.
 * @returns The refusal, with the verdict `may-have-run` if the call has a key.
 */
export function makePreLookupRefusal(
  request: Pick<IncomingMessage, 'headers'>,
  refusal: Refusal,
): Refusal {
  if (request.headers['idempotency-key'] === undefined) return refusal;
  return { ...refusal, verdict: 'may-have-run' };
}
