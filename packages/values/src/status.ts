/**
 * Returns whether a status is that of a final response. Node's HTTP parser accepts any three digits,
 * and takes an unrequested 101 without an `Upgrade` header for a final response.
 *
 * @param status - The status.
 */
export function isFinalStatus(status: number): boolean {
  return status >= 200 && status <= 599;
}
