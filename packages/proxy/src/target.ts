import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Refusal } from './refusal.js';

/** Where a request goes. */
export interface Target {
  /** Host in lower case without port; empty when an HTTP/1.0 caller names none. */
  readonly host: string;
  /** Path without query. */
  readonly path: string;
  /** Path and query, as the endpoint gets them. */
  readonly pathAndQuery: string;
}

/** The parts of a request that decide on its framing and target. */
export interface RequestHead {
  readonly method?: string | undefined;
  readonly url?: string | undefined;
  readonly httpVersion: string;
  readonly rawHeaders: readonly string[];
}

const absoluteForm = /^http:\/\/([^/?#]+)(.*)$/i;
const hostForm = /^(?:[a-z0-9_.~-]+|\[[0-9a-f:.]+\])(?::\d{1,5})?$/i;
// An endpoint may resolve these before it looks at the path, and so come to a path that falls
// under another rule than the one that was applied here.
const ambiguousPath = /(?:\/|%2f)(?:\.|%2e){1,2}(?:\/|%2f|$)|\\|%5c/i;

/**
 * Checks what Node's parser lets through and reads the target. The parser itself refuses
 * Content-Length together with Transfer-Encoding, repeated or odd lengths, line folding, bare
 * CR or LF, NUL, and space before a colon.
 *
 * @param request - Head of the request.
 * @returns The target, or a refusal.
 */
export function readTarget(request: RequestHead): Result<Target, Refusal> {
  let named: string | undefined;
  const { rawHeaders, httpVersion } = request;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const value = rawHeaders[index + 1] as string;
    if (name.length === 4 && name.toLowerCase() === 'host') {
      if (named !== undefined) return refuseForm('the request has more than one Host header');
      named = value;
    } else if (name.length === 17 && name.toLowerCase() === 'transfer-encoding') {
      if (httpVersion !== '1.1') return refuseForm('HTTP/1.0 has no Transfer-Encoding');
      if (value.toLowerCase() !== 'chunked') {
        return refuseForm(`Transfer-Encoding ${JSON.stringify(value)} is not supported`, 501);
      }
    } else if (name.length === 7 && name.toLowerCase() === 'upgrade') {
      // HTTP clients offer h2c on ordinary requests and go on with HTTP/1.1 when it is ignored.
      if (value.toLowerCase() !== 'h2c') {
        return refuseForm(`an upgrade to ${JSON.stringify(value)} is not supported`, 501);
      }
    }
  }
  if (named === undefined && httpVersion === '1.1') return refuseForm('the Host header is missing');
  return readForm(request.method ?? '', request.url ?? '', named ?? '');
}

function readForm(method: string, url: string, named: string): Result<Target, Refusal> {
  const absolute = url.startsWith('/') ? undefined : absoluteForm.exec(url);
  const host = absolute ? (absolute[1] as string) : named;
  if (host !== '' && !hostForm.test(host)) return refuseForm('the Host header is not a host');
  const asterisk = method === 'OPTIONS' && url === '*';
  let target = url;
  if (absolute) {
    const rest = absolute[2] as string;
    target = rest.startsWith('/') ? rest : `/${rest}`;
  }
  if (!asterisk && !target.startsWith('/')) return refuseForm('the request target has no path');
  if (target.includes('#')) return refuseForm('the request target has a fragment');
  const path = target.split('?', 1)[0] as string;
  if (/[.%\\]/.test(path) && ambiguousPath.test(path)) {
    return refuseForm('the path has dot segments or backslashes');
  }
  return ok({ host: host.toLowerCase().replace(/:\d+$/, ''), path, pathAndQuery: target });
}

function refuseForm(message: string, status = 400): Result<never, Refusal> {
  return err({ status, verdict: 'not-run', message });
}
