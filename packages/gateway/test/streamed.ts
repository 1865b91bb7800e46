import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { StreamedBody } from '@dotterelpass/proxy';

/**
 * Makes a body of which the first bytes have been read.
 *
 * @param rest - The stream from which the others come in.
 */
export function makeStreamedBody(
  head: Buffer,
  rest: NodeJS.ReadableStream = new PassThrough(),
  length?: number,
): StreamedBody {
  rest.pause();
  return new StreamedBody({
    head,
    rest: Object.assign(rest, { rawTrailers: [] }) as unknown as IncomingMessage,
    length,
    maxBytes: 10_000_000,
  });
}
