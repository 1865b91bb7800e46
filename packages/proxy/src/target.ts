import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Refusal } from './refusal.js';

/** Host and path that a request is addressed to. */
export interface RequestTarget {
  /** Host in lower case without port; empty when an HTTP/1.0 request has no Host header. */
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  /** Path and query, as forwarded to the endpoint. */
  readonly pathAndQuery: string;
}

/** The parts of a request that determine its framing and target. */
export interface RequestHead {
  readonly method?: string | undefined;
  readonly url?: string | undefined;
  readonly httpVersion: string;
  readonly rawHeaders: readonly string[];
}

const absoluteFormPattern = /^http:\/\/([^/?#]+)(.*)$/i;
const hostPattern = /^(?:[a-z0-9_.~-]+|\[[0-9a-f:.]+\])(?::\d{1,5})?$/i;
// An endpoint may normalize these segments and then serve a path to which a different rule applies
// than the rule that was used here.
const ambiguousPathPattern = /(?:\/|%2f)(?:\.|%2e){1,2}(?:\/|%2f|$)|\\|%5c/i;

/**
 * Reads the target of a request. Rejects malformed or ambiguous requests that Node's parser
 * accepts. The parser itself rejects Content-Length together with Transfer-Encoding, repeated or
 * malformed lengths, line folding, bare CR or LF, NUL, and a space before a colon.
 *
 * @param request - Head of the request.
 * @returns The target, or a refusal.
 */
export function readTarget(request: RequestHead): Result<RequestTarget, Refusal> {
  let host: string | undefined;
  const { rawHeaders, httpVersion } = request;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const value = rawHeaders[index + 1] as string;
    // The parser of some versions of Node.js takes the space before a colon for part of the name.
    if (name.includes(' ')) return reject(`the header name ${JSON.stringify(name)} has a space`);
    if (name.length === 4 && name.toLowerCase() === 'host') {
      if (host !== undefined) return reject('the request has more than one Host header');
      host = value;
    } else if (name.length === 17 && name.toLowerCase() === 'transfer-encoding') {
      if (httpVersion !== '1.1') return reject('Transfer-Encoding is not allowed in HTTP/1.0');
      if (value.toLowerCase() !== 'chunked') {
        return reject(`Transfer-Encoding ${JSON.stringify(value)} is not supported`, 501);
      }
    } else if (name.length === 7 && name.toLowerCase() === 'upgrade') {
      // HTTP clients may offer h2c on ordinary requests. They continue with HTTP/1.1 when the offer
      // is ignored.
      if (value.toLowerCase() !== 'h2c') {
        return reject(`an upgrade to ${JSON.stringify(value)} is not supported`, 501);
      }
    }
  }
  if (host === undefined && httpVersion === '1.1') return reject('the Host header is missing');
  return parseTarget(request.method ?? '', request.url ?? '', host ?? '');
}

function parseTarget(
  method: string,
  url: string,
  hostHeader: string,
): Result<RequestTarget, Refusal> {
  const absolute = url.startsWith('/') ? undefined : absoluteFormPattern.exec(url);
  const host = absolute ? (absolute[1] as string) : hostHeader;
  if (host !== '' && !hostPattern.test(host)) return reject('the host of the request is malformed');
  const isAsteriskForm = method === 'OPTIONS' && url === '*';
  let target = url;
  if (absolute) {
    const rest = absolute[2] as string;
    target = rest.startsWith('/') ? rest : `/${rest}`;
  }
  if (!isAsteriskForm && !target.startsWith('/')) return reject('the request target has no path');
  if (target.includes('#')) return reject('the request target contains a fragment');
  const path = target.split('?', 1)[0] as string;
  if (/[.%\\]/.test(path) && ambiguousPathPattern.test(path)) {
    return reject('the path contains dot segments or backslashes');
  }
  return ok({ host: host.toLowerCase().replace(/:\d+$/, ''), path, pathAndQuery: target });
}

function reject(message: string, status = 400): Result<never, Refusal> {
  return err({ status, verdict: 'not-run', message });
}
