import { createHash, hash as computeHash } from 'node:crypto';
import type { RequestBody, IncomingCall } from '@dotterelpass/proxy';
import { maxBufferedBytes } from '@dotterelpass/proxy';
import type { Rule, Service, TenantId } from '@dotterelpass/values';

/** A call with its service, rule and tenant, and its body buffered or ready to be streamed. */
export interface Call extends IncomingCall {
  readonly method: string;
  readonly service: Service;
  readonly rule: Rule;
  readonly tenant: TenantId;
  /** Monotonic time of the call's deadline, in milliseconds. */
  readonly deadlineAt: number;
  readonly body: RequestBody;
  /** SHA-256 of method, path, query and body; empty if no gate needs it. */
  readonly fingerprint: string;
}

const defaultTenant = 'default' as TenantId;

/** Header with the time left until the caller's deadline, in milliseconds. */
export const timeoutHeader = 'x-request-timeout-ms';

/**
 * Finds the tenant of a call.
 *
 * @param service - The service that the call is for.
 * @param header - Value of `X-Tenant-Id`.
 * @returns The tenant; all tenants that are not configured share the default one.
 */
export function findTenant(service: Service, header: string | string[] | undefined): TenantId {
  const configured = service.tenants.find(({ id }) => id === header);
  return configured?.id ?? defaultTenant;
}

/**
 * Finds the time that a call may take.
 *
 * @param rule - Rule of the call.
 * @param header - Time left to the caller, which may itself be a service with a caller.
 * @returns Milliseconds.
 */
export function findTimeoutMs(rule: Rule, header: string | string[] | undefined): number {
  const given = typeof header === 'string' && /^\d{1,9}$/.test(header) ? Number(header) : Infinity;
  return Math.min(rule.deadlineMs, given);
}

/**
 * Hashes a request. A body that exceeds the buffer counts with its buffered start and its declared
 * length only.
 *
 * @param method - Its method.
 * @param pathAndQuery - Its path and query.
 * @param body - Its body.
 * @returns SHA-256 in hexadecimal.
 */
export function hashRequest(method: string, pathAndQuery: string, body: RequestBody): string {
  // One-shot hashing takes less than half the time of a hash object.
  if (body.kind === 'none') return computeHash('sha256', `${method} ${pathAndQuery} 0\n`);
  const hash = createHash('sha256');
  const length = body.kind === 'whole' ? body.bytes.length : (body.length ?? 'streamed');
  hash.update(`${method} ${pathAndQuery} ${length}\n`);
  hash.update(body.kind === 'whole' ? body.bytes : body.head.subarray(0, maxBufferedBytes));
  return hash.digest('hex');
}
