import { createHash, hash as hashWhole } from 'node:crypto';
import type { RequestBody, IncomingCall } from '@dotterelpass/proxy';
import { maxBufferedBytes } from '@dotterelpass/proxy';
import type { Rule, Service, TenantId } from '@dotterelpass/values';

/** One call on its way through this instance, with its body read or ready to be streamed. */
export interface Call extends IncomingCall {
  readonly method: string;
  readonly service: Service;
  readonly rule: Rule;
  readonly tenant: TenantId;
  /** Monotonic time at which the answer is worthless, in milliseconds. */
  readonly deadlineAt: number;
  readonly body: RequestBody;
  /** SHA-256 of method, path, query and body; empty when no gate needs it. */
  readonly fingerprint: string;
}

const defaultTenant = 'default' as TenantId;

/** Header with the time that is left to a call, in milliseconds. */
export const timeoutHeader = 'x-request-timeout-ms';

/**
 * Finds the tenant of a call.
 *
 * @param service - The service that the call is for.
 * @param header - Value of `X-Tenant-Id`.
 * @returns The tenant; all unknown ones share one name.
 */
export function findTenant(service: Service, header: string | string[] | undefined): TenantId {
  const known = service.tenants.find(({ id }) => id === header);
  return known?.id ?? defaultTenant;
}

/**
 * Finds the time that a call may take.
 *
 * @param rule - Rule of the call.
 * @param header - Time that is left to the caller, which may be a service with its own caller.
 * @returns Milliseconds.
 */
export function findTimeoutMs(rule: Rule, header: string | string[] | undefined): number {
  const given = typeof header === 'string' && /^\d{1,9}$/.test(header) ? Number(header) : Infinity;
  return Math.min(rule.deadlineMs, given);
}

/**
 * Hashes a request. Of a body beyond the buffered part only the declared length counts.
 *
 * @param method - Its method.
 * @param pathAndQuery - Its path and query.
 * @param body - Its body.
 * @returns SHA-256 in hexadecimal.
 */
export function hashRequest(method: string, pathAndQuery: string, body: RequestBody): string {
  // One call of the library takes less than half the time of a hash object.
  if (body.kind === 'none') return hashWhole('sha256', `${method} ${pathAndQuery} 0\n`);
  const hash = createHash('sha256');
  const length = body.kind === 'whole' ? body.bytes.length : (body.length ?? 'streamed');
  hash.update(`${method} ${pathAndQuery} ${length}\n`);
  hash.update(body.kind === 'whole' ? body.bytes : body.head.subarray(0, maxBufferedBytes));
  return hash.digest('hex');
}
