/**
 * Whether a request has run on an endpoint. A request that is not idempotent may be retried only
 * after `not-run`.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** Response header with the verdict of a refused or failed request. */
export const outcomeHeader = 'x-request-outcome';

const verdicts: readonly string[] = ['not-run', 'may-have-run', 'ran'];

/**
 * Parses the value of the `x-request-outcome` header.
 *
 * @param text - The header value; undefined when the header is missing.
 * @returns The verdict, or undefined when the value is not a verdict.
 */
export function parseVerdict(text: string | undefined): Verdict | undefined {
  return text !== undefined && verdicts.includes(text) ? (text as Verdict) : undefined;
}
