/**
 * Says whether a request may have run on an endpoint. Only `not-run` permits a retry of a
 * request that is not idempotent.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** Header that carries the verdict of a refused or failed request. */
export const outcomeHeader = 'x-request-outcome';

const verdicts: readonly string[] = ['not-run', 'may-have-run', 'ran'];

/**
 * Reads a verdict from a header value.
 *
 * @param text - The header value, if there is one.
 * @returns The verdict, or undefined when the value is not one.
 */
export function parseVerdict(text: string | undefined): Verdict | undefined {
  return text !== undefined && verdicts.includes(text) ? (text as Verdict) : undefined;
}
