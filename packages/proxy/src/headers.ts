import { randomUUID } from 'node:crypto';
import type { RequestId } from '@dotterelpass/values';

/** Alternating header names and values, like Node's `rawHeaders`. */
export type HeaderList = readonly string[];

/** Headers that belong to one connection and are never forwarded (RFC 9110, section 7.6.1). */
const hopByHopHeaders: ReadonlySet<string> = new Set([
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

/** Fields that trailers must not contain, besides the hop-by-hop ones (RFC 9110, section 6.5.1). */
const forbiddenTrailers: ReadonlySet<string> = new Set([
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

const noNames: ReadonlySet<string> = new Set();

const requestIdPattern = /^[A-Za-z0-9][A-Za-z0-9_.:-]{0,127}$/;

/**
 * Copies the end-to-end headers.
 *
 * @param headers - Headers as received.
 * @param excluded - Lower-case names of further headers to leave out.
 * @returns The headers without the hop-by-hop ones and those that `Connection` lists.
 */
export function copyEndToEndHeaders(headers: HeaderList, excluded: ReadonlySet<string>): string[] {
  const listed = findListedHeaders(headers);
  const copied: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string;
    const lower = name.toLowerCase();
    if (hopByHopHeaders.has(lower) || excluded.has(lower) || listed?.has(lower)) continue;
    copied.push(name, headers[index + 1] as string);
  }
  return copied;
}

/**
 * Copies the trailers that may be forwarded.
 *
 * @param trailers - Trailers as received.
 * @param excluded - Lower-case names of further trailers to leave out.
 * @returns Pairs of name and value.
 */
export function copyTrailers(
  trailers: HeaderList,
  excluded: ReadonlySet<string> = noNames,
): [string, string][] {
  const list = copyEndToEndHeaders(trailers, forbiddenTrailers);
  const pairs: [string, string][] = [];
  for (let index = 0; index < list.length; index += 2) {
    const name = list[index] as string;
    if (!excluded.has(name.toLowerCase())) pairs.push([name, list[index + 1] as string]);
  }
  return pairs;
}

/**
 * Chooses the id of a call.
 *
 * @param received - The `X-Request-Id` header of the caller.
 * @returns The caller's id when it has only safe characters and at most 128 of them, else a new id.
 */
export function chooseRequestId(received: string | string[] | undefined): RequestId {
  const isSafe = typeof received === 'string' && requestIdPattern.test(received);
  return (isSafe ? received : randomUUID()) as RequestId;
}

/** @returns Header names that `Connection` lists; undefined when it lists none. */
function findListedHeaders(headers: HeaderList): Set<string> | undefined {
  let listed: Set<string> | undefined;
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string;
    if (name.length !== 10 || name.toLowerCase() !== 'connection') continue;
    const value = (headers[index + 1] as string).toLowerCase();
    if (value === 'keep-alive' || value === 'close') continue;
    listed ??= new Set();
    for (const part of value.split(',')) {
      const token = part.trim();
      // These headers determine the framing and the target, so a caller must not be able to remove
      // them.
      if (token !== 'content-length' && token !== 'host') listed.add(token);
    }
  }
  return listed;
}
