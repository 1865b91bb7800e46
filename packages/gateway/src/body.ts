import type { IncomingMessage } from 'node:http';
import { isEndedCleanly } from '@dotterelpass/proxy';

/** Answers up to this size are read whole before the caller gets the first byte. */
const maxBufferedBytes = 1024 * 1024;

/** What has come of reading the body of an answer. */
export type ResponseBodyResult =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  /** Larger than what is read ahead: it is streamed. */
  | { readonly kind: 'large' }
  | { readonly kind: 'cut'; readonly message: string };

/**
 * Reads the body of an answer, so that the caller gets either all of it or none.
 *
 * @param answer - The answer, whose body has not been touched.
 * @param timeoutMs - Time for the whole body, in milliseconds.
 * @returns The body, or why there is none. The connection is given back or closed.
 */
export async function readResponseBody(
  answer: IncomingMessage,
  timeoutMs: number,
): Promise<ResponseBodyResult> {
  if (Number(answer.headers['content-length'] ?? 0) > maxBufferedBytes) return { kind: 'large' };
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let timer: NodeJS.Timeout | undefined;
    const fail = (message: string) => {
      clearTimeout(timer);
      answer.destroy();
      resolve({ kind: 'cut', message });
    };
    timer = setTimeout(() => fail('the body did not come in time'), timeoutMs);
    answer.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBufferedBytes)
        fail(`an answer without a length has more than ${maxBufferedBytes} bytes`);
      else chunks.push(chunk);
    });
    answer.on('error', (error) => fail(error.message));
    answer.on('end', () => {
      if (!answer.complete) return;
      // Node counts an answer without a length as complete however its connection ends.
      if (!hasFraming(answer) && !isEndedCleanly(answer.socket)) {
        fail('the connection was reset within a body without a length');
        return;
      }
      clearTimeout(timer);
      resolve({ kind: 'whole', bytes: Buffer.concat(chunks) });
    });
    answer.on('close', () => {
      if (!answer.complete) fail('the connection ended within the body');
    });
  });
}

/** Whether an answer says where its body ends, other than by the end of its connection. */
function hasFraming({ headers, statusCode = 0 }: IncomingMessage): boolean {
  if (statusCode === 204 || statusCode === 304) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
