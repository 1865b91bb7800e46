import { randomUUID } from 'node:crypto';
import type { RequestId } from '@dotterelpass/values';

/** Header names and values by turns, as Node's `rawHeaders`. */
export type HeaderList = readonly string[];

/** Headers that belong to one connection and are never forwarded (RFC 9110, section 7.6.1). */
const hopByHop: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'keep-alive',
  'http2-settings',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Fields that must not come in trailers, besides those of the connection (RFC 9110, 6.5.1). */
const notInTrailers: ReadonlySet<string> = new Set([
  'authorization',
  'content-encoding',
  'content-length',
  'content-range',
  'content-type',
  'host',
  'set-cookie',
  'x-request-id',
  'x-request-outcome',
]);

const requestIdForm = /^[A-Za-z0-9][A-Za-z0-9_.:-]{0,127}$/;

/**
 * Copies the headers that travel end to end.
 *
 * @param headers - Headers as received.
 * @param without - Lower-case names of further headers to leave out.
 * @returns The headers without those of the connection, nor those that `Connection` names.
 */
export function copyEndToEndHeaders(headers: HeaderList, without: ReadonlySet<string>): string[] {
  const named = findNamed(headers);
  const copied: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string;
    const lower = name.toLowerCase();
    if (hopByHop.has(lower) || without.has(lower) || named?.has(lower)) continue;
    copied.push(name, headers[index + 1] as string);
  }
  return copied;
}

/**
 * Copies the trailers that may be forwarded.
 *
 * @param trailers - Trailers as received.
 * @returns Pairs of name and value.
 */
export function copyTrailers(trailers: HeaderList): [string, string][] {
  const list = copyEndToEndHeaders(trailers, notInTrailers);
  const pairs: [string, string][] = [];
  for (let index = 0; index < list.length; index += 2) {
    pairs.push([list[index] as string, list[index + 1] as string]);
  }
  return pairs;
}

/**
 * Makes the id of a call.
 *
 * @param given - The `X-Request-Id` header of the caller.
 * @returns The caller's id when it has a safe form, else a new one.
 */
export function makeRequestId(given: string | string[] | undefined): RequestId {
  const isKept = typeof given === 'string' && requestIdForm.test(given);
  return (isKept ? given : randomUUID()) as RequestId;
}

/** @returns Names that `Connection` lists; undefined when it lists none of a header. */
function findNamed(headers: HeaderList): Set<string> | undefined {
  let named: Set<string> | undefined;
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string;
    if (name.length !== 10 || name.toLowerCase() !== 'connection') continue;
    const value = (headers[index + 1] as string).toLowerCase();
    if (value === 'keep-alive' || value === 'close') continue;
    named ??= new Set();
    for (const part of value.split(',')) {
      const token = part.trim();
      // These decide on framing and target, so a caller cannot have them removed.
      if (token !== 'content-length' && token !== 'host') named.add(token);
    }
  }
  return named;
}
