import type { IncomingMessage } from 'node:http';
import { ByteCollector } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { copyTrailers } from './headers.js';
import type { Refusal } from './refusal.js';
import { StreamedBody } from './streamed.js';

/** Largest request body that is buffered, so that the request can be hashed and retried. */
export const maxBufferedBytes = 64 * 1024;

/** The body of a request. */
export type RequestBody =
  | { readonly kind: 'none' }
  /** A completely buffered body. */
  | { readonly kind: 'whole'; readonly bytes: Buffer; readonly trailers: [string, string][] }
  | StreamedBody;

/** Error of a request body that cannot be forwarded because of the caller. */
export class BodyError extends Error {
  /** Status of the response to the caller. */
  readonly status: number;

  constructor(status: number, message: string) {
    super(message);
    this.status = status;
  }
}

const emptyBody: RequestBody = { kind: 'none' };

/**
 * Reads the body of a request until it is complete or exceeds `maxBufferedBytes`.
 *
 * @param request - The request.
 * @param maxBytes - Size limit of the body.
 * @param timeoutMs - Time limit for the buffered part, in milliseconds.
 * @param onAccept - Called before the first byte is read, if the request has a body.
 * @returns The body, or a refusal with the verdict `not-run`.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  timeoutMs: number,
  onAccept: () => void = () => undefined,
): Promise<Result<RequestBody, Refusal>> {
  const { 'content-length': declared, 'transfer-encoding': encoding } = request.headers;
  if (encoding === undefined && (declared === undefined || declared === '0')) return ok(emptyBody);
  const length = declared === undefined ? undefined : Number(declared);
  if (length !== undefined && length > maxBytes) return err(makeSizeRefusal(maxBytes));
  onAccept();
  const options = { maxBytes, timeoutMs, maxKeptBytes: maxBufferedBytes };
  const read = await new BodyReader(request, options).read();
  return read.map(({ bytes, isWhole }) =>
    isWhole
      ? makeWholeBody(bytes, request)
      : new StreamedBody({ head: bytes, rest: request, length, maxBytes }),
  );
}

/**
 * Reads on in a streamed body until it is complete or exceeds a larger buffer.
 *
 * @param body - The body, of which no one else has read any more.
 * @param maxKeptBytes - Size of the buffer.
 * @param timeoutMs - Time limit in milliseconds.
 * @returns The whole body, the same body with a longer head, or a refusal with the verdict `not-run`.
 */
export async function readFurther(
  body: StreamedBody,
  maxKeptBytes: number,
  timeoutMs: number,
): Promise<Result<RequestBody, Refusal>> {
  if (body.isCut) return err(makeDisconnectRefusal());
  const taken = body.take();
  if (!taken) throw new RangeError('the body is read by someone else');
  const { rest, head } = taken;
  const options = { maxBytes: body.maxBytes, timeoutMs, maxKeptBytes, head };
  const read = await new BodyReader(rest, options).read();
  return read.map(({ bytes, isWhole }) => {
    if (isWhole) return makeWholeBody(bytes, rest);
    taken.giveBack(bytes);
    return body;
  });
}

function makeWholeBody(bytes: Buffer, { rawTrailers }: IncomingMessage): RequestBody {
  return { kind: 'whole', bytes, trailers: copyTrailers(rawTrailers) };
}

/**
 * Makes the headers that determine the length of a body.
 *
 * @param body - The body.
 * @param method - Method of the request.
 * @returns Alternating header names and values.
 */
export function makeFramingHeaders(body: RequestBody, method: string): string[] {
  if (body.kind === 'none') {
    const requiresLength = method === 'POST' || method === 'PUT' || method === 'PATCH';
    return requiresLength ? ['content-length', '0'] : [];
  }
  const length = body.kind === 'whole' ? body.bytes.length : body.length;
  const isChunked = length === undefined || (body.kind === 'whole' && body.trailers.length > 0);
  return isChunked ? ['transfer-encoding', 'chunked'] : ['content-length', String(length)];
}

/** Makes the refusal of a body beyond the size limit. */
export function makeSizeRefusal(maxBytes: number): Refusal {
  const message = `the body is larger than the limit of ${maxBytes} bytes of the matching rule`;
  return { status: 413, verdict: 'not-run', message };
}

function makeDisconnectRefusal(): Refusal {
  const message = 'the caller disconnected before the body was complete';
  return { status: 400, verdict: 'not-run', message };
}

interface BodyReaderOptions {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  /** Size beyond which the rest of the body is left to another reader. */
  readonly maxKeptBytes: number;
  /** Bytes of the body that were read before. */
  readonly head?: Buffer;
}

/** The bytes of a body from its start. */
interface ReadBytes {
  readonly bytes: Buffer;
  /** Whether these are all. */
  readonly isWhole: boolean;
}

/** Reads a body until it is complete or exceeds `maxKeptBytes`; it is paused then. */
class BodyReader {
  readonly #request: IncomingMessage;

  readonly #options: BodyReaderOptions;

  #resolve: (result: Result<ReadBytes, Refusal>) => void = () => undefined;

  readonly #bytes = new ByteCollector();

  #timer: NodeJS.Timeout | undefined;

  constructor(request: IncomingMessage, options: BodyReaderOptions) {
    this.#request = request;
    this.#options = options;
  }

  async read(): Promise<Result<ReadBytes, Refusal>> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#start();
    });
  }

  #start(): void {
    const { timeoutMs, head } = this.#options;
    if (head) this.#bytes.add(head);
    this.#timer = setTimeout(
      () => this.#refuse(408, `the body did not arrive within ${Math.round(timeoutMs)} ms`),
      timeoutMs,
    );
    this.#request.on('data', this.#handleData).on('end', this.#handleEnd);
    this.#request.on('close', this.#handleClose).on('error', this.#handleError);
    // An earlier reader has paused it.
    if (head) this.#request.resume();
  }

  readonly #handleData = (chunk: Buffer) => {
    const { maxBytes, maxKeptBytes } = this.#options;
    this.#bytes.add(chunk);
    const { size } = this.#bytes;
    if (size > maxBytes) this.#finish(err(makeSizeRefusal(maxBytes)));
    else if (size > maxKeptBytes) {
      this.#request.pause();
      this.#finish(ok({ bytes: this.#bytes.toBuffer(), isWhole: false }));
    }
  };

  readonly #handleEnd = () => this.#finish(ok({ bytes: this.#bytes.toBuffer(), isWhole: true }));

  readonly #handleClose = () => this.#finish(err(makeDisconnectRefusal()));

  readonly #handleError = (error: Error) => this.#refuse(400, error.message);

  #refuse(status: number, message: string): void {
    this.#finish(err({ status, verdict: 'not-run', message }));
  }

  #finish(result: Result<ReadBytes, Refusal>): void {
    clearTimeout(this.#timer);
    this.#request.off('data', this.#handleData).off('end', this.#handleEnd);
    this.#request.off('close', this.#handleClose).off('error', this.#handleError);
    // A later disconnect of the caller is handled by the listeners of its connection.
    this.#request.on('error', () => undefined);
    this.#resolve(result);
  }
}
