import type { IncomingMessage } from 'node:http';
import { hasWholeBody } from '@dotterelpass/proxy';

/** Bodies up to this size are buffered completely before the caller gets the first byte. */
const maxBufferedBytes = 1024 * 1024;

/** Result of reading a response body. */
export type ResponseBodyResult =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  /** The body exceeds the buffer limit and is streamed instead. */
  | { readonly kind: 'large' }
  | { readonly kind: 'cut'; readonly message: string };

/**
 * Buffers a response body, so that the caller gets either the complete body or none of it.
 *
 * @param response - The response; nothing may have read from its body before.
 * @param timeoutMs - Timeout for the complete body, in milliseconds.
 * @returns The body, or the reason why it is not available. Unless the body is `large`, the
 * connection has been returned to the pool or closed.
 */
export async function readResponseBody(
  response: IncomingMessage,
  timeoutMs: number,
): Promise<ResponseBodyResult> {
  if (Number(response.headers['content-length'] ?? 0) > maxBufferedBytes) return { kind: 'large' };
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let timer: NodeJS.Timeout | undefined;
    const fail = (message: string) => {
      clearTimeout(timer);
      response.destroy();
      resolve({ kind: 'cut', message });
    };
    timer = setTimeout(() => fail('timed out while reading the response body'), timeoutMs);
    const handleEnd = () => {
      if (!response.complete) return;
      if (!hasWholeBody(response)) {
        fail('connection was reset while reading a close-delimited response body');
        return;
      }
      clearTimeout(timer);
      resolve({ kind: 'whole', bytes: Buffer.concat(chunks) });
    };
    const handleClose = () => {
      if (!response.complete) fail('connection closed before the end of the response body');
    };
    const handleData = (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size <= maxBufferedBytes) return;
      // The body is longer than its headers told. What has been read is given back to the stream.
      clearTimeout(timer);
      response.off('data', handleData).off('end', handleEnd).off('close', handleClose).pause();
      response.unshift(Buffer.concat(chunks));
      resolve({ kind: 'large' });
    };
    response.on('data', handleData).on('end', handleEnd).on('close', handleClose);
    response.on('error', (error) => fail(error.message));
  });
}
