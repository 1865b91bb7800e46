import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

/** Headers that belong to one connection and are never forwarded (RFC 9110, section 7.6.1). */
const hopByHop: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Copies the headers that travel end to end.
 *
 * @param headers - Headers as received.
 * @returns The headers without those of the connection, nor those that `Connection` names.
 */
export function copyEndToEnd(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const named = new Set((headers.connection ?? '').toLowerCase().split(/\s*,\s*/));
  const copied: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || hopByHop.has(name) || named.has(name)) continue;
    copied[name] = value;
  }
  return copied;
}
