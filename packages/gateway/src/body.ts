import type { IncomingMessage } from 'node:http';
import { ChunkPacer, FramingMeter, hasFraming, hasWholeBody } from '@dotterelpass/proxy';
import type { ResponseTurn } from '@dotterelpass/proxy';
import { ByteCollector } from '@dotterelpass/values';
import { createCancelledFailure, discardAnswer } from './call.js';
import type { Call, CallFailure, CallResponse, CallResult } from './call.js';

/** Bodies up to this size are buffered completely before the caller gets the first byte. */
const maxBufferedBytes = 1024 * 1024;

/** Result of reading a response body. */
export type ResponseBodyResult =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  /**
   * The body exceeds the buffer limit, or one of the limits on all responses. What was read has been
   * given back to the stream, which is paused.
   */
  | { readonly kind: 'large' }
  | {
      readonly kind: 'cut';
      readonly message: string;
      /** Whether the time limit ended the reading. */
      readonly isExpired: boolean;
    };

type CutBody = Extract<ResponseBodyResult, { kind: 'cut' }>;

/**
 * Buffers a response body, so that the caller gets either the complete body or none of it.
 *
 * @param response - The response; its body is read from the start.
 * @param timeoutMs - Timeout for the complete body, in milliseconds.
 * @param turn - Turn of the response to the caller, which limits what is buffered.
 * @returns The body, or the reason why it is not available. Unless the body is `large`, the
 * connection has been returned to the pool or closed.
 */
export async function readResponseBody(
  response: IncomingMessage,
  timeoutMs: number,
  turn: Pick<ResponseTurn, 'keep'>,
): Promise<ResponseBodyResult> {
  if (response.destroyed && !response.complete) {
    const message = 'connection closed before the response body was read';
    return { kind: 'cut', message, isExpired: false };
  }
  if (Number(response.headers['content-length'] ?? 0) > maxBufferedBytes) {
    response.pause();
    return { kind: 'large' };
  }
  return new Promise((resolve) => {
    const bytes = new ByteCollector();
    const pacer = new ChunkPacer(response);
    let timer: NodeJS.Timeout | undefined;
    let meter: FramingMeter | undefined;
    const stop = () => {
      clearTimeout(timer);
      pacer.stop();
      meter?.stop();
    };
    const fail = (message: string, isExpired = false) => {
      stop();
      response.destroy();
      resolve({ kind: 'cut', message, isExpired });
    };
    timer = setTimeout(() => fail('timed out while reading the response body', true), timeoutMs);
    const handleEnd = () => {
      if (!response.complete) return;
      if (!hasWholeBody(response)) {
        fail('connection was reset while reading a close-delimited response body');
        return;
      }
      stop();
      resolve({ kind: 'whole', bytes: bytes.toBuffer() });
    };
    const handleClose = () => {
      if (!response.complete) fail('connection closed before the end of the response body');
    };
    const handleData = (chunk: Buffer) => {
      // Without a Content-Length header, the length is not known before.
      if (bytes.size + chunk.length <= maxBufferedBytes && turn.keep(chunk.length)) {
        bytes.add(chunk);
        return;
      }
      stop();
      response.off('data', handleData).off('end', handleEnd).off('close', handleClose).pause();
      response.unshift(chunk);
      if (bytes.size > 0) response.unshift(bytes.toBuffer());
      resolve({ kind: 'large' });
    };
    response.on('data', handleData).on('end', handleEnd).on('close', handleClose);
    response.on('error', (error) => fail(error.message));
    pacer.start();
    meter = new FramingMeter(response, () => fail('too many bytes besides the response body'));
    meter.start();
    // The response is paused if an earlier call of this function has given a part of it back.
    response.resume();
  });
}

/**
 * Waits until the turn of a response has come whose body was left with the endpoint, and reads it.
 *
 * @param call - The call.
 * @param answer - Response with an unbuffered body.
 * @returns The response, with its body if that can be buffered, or the reason why it is not
 * available. The caller must get either before the deadline of the call.
 */
export async function readAfterTurn(call: Call, answer: CallResponse): Promise<CallResult> {
  const { incoming, deadlineAt } = call;
  const { response, finish } = answer;
  const verdict = 'may-have-run';
  const hasCome = await incoming.turn.wait(deadlineAt - performance.now(), incoming.cancellation);
  if (!hasCome) {
    discardAnswer(answer, 'cancelled');
    if (incoming.cancellation.aborted) return { ...createCancelledFailure(), verdict };
    const message = 'the deadline passed behind earlier calls of the connection';
    return { kind: 'failed', verdict, reason: 'timeout', timedOutIn: 'earlier-calls', message };
  }
  const leftMs = Math.max(1, deadlineAt - performance.now());
  const body = await readResponseBody(response, leftMs, incoming.turn);
  if (body.kind === 'large') return answer;
  if (body.kind === 'whole') {
    finish('answered', hasFraming(response) ? 'answered' : 'closed');
    return { ...answer, bufferedBody: body.bytes, finish: () => undefined };
  }
  finish('failed', body.isExpired ? 'abandoned' : 'broken');
  return createCutFailure(body);
}

/** @returns The result of a call whose response ended early or went on beyond the deadline. */
export function createCutFailure({ isExpired, message }: CutBody): CallFailure {
  const verdict = 'may-have-run';
  return isExpired
    ? { kind: 'failed', verdict, reason: 'timeout', timedOutIn: 'response-body', message }
    : { kind: 'failed', verdict, reason: 'reset', message };
}
