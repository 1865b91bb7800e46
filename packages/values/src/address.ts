import { isIPv4 } from 'node:net';

const maxPort = 65_535;

/**
 * Checks an IPv4 address with a port.
 *
 * @param text - Such as `127.0.0.1:80`.
 * @returns Whether the text is one address, a colon and a port, with all numbers in range.
 */
export function isAddress(text: string): boolean {
  const [ip = '', port = '', ...rest] = text.split(':');
  const isPort = /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= maxPort;
  return isIPv4(ip) && isPort && rest.length === 0;
}
