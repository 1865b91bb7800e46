import type { ClientRequest, IncomingMessage } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { copyTrailers } from './headers.js';
import type { Refusal } from './refusal.js';

/** Bytes of a request body that are kept, so that the request can be hashed and sent again. */
export const maxBufferedBytes = 64 * 1024;

/** The body of a request. */
export type RequestBody =
  | { readonly kind: 'none' }
  | { readonly kind: 'whole'; readonly bytes: Buffer; readonly trailers: [string, string][] }
  /** Larger than `bufferedBytes`: can be sent once only. */
  | {
      readonly kind: 'stream';
      readonly head: Buffer;
      readonly rest: IncomingMessage;
      /** Length of the whole; undefined when the caller sends chunks. */
      readonly length: number | undefined;
      readonly maxBytes: number;
    };

/** The caller's body cannot be forwarded. */
export class BodyError extends Error {
  /** Status that the caller gets. */
  readonly status: number;

  constructor(status: number, message: string) {
    super(message);
    this.status = status;
  }
}

const none: RequestBody = { kind: 'none' };

/**
 * Reads the body of a request, up to the bound for buffering.
 *
 * @param request - The request.
 * @param maxBytes - Largest body that is accepted.
 * @param timeoutMs - Time for the buffered part to come, in milliseconds.
 * @param accept - Called before the first byte is read, when there is a body.
 * @returns The body, or a refusal that says `not-run`.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  timeoutMs: number,
  accept: () => void = () => undefined,
): Promise<Result<RequestBody, Refusal>> {
  const { 'content-length': declared, 'transfer-encoding': encoding } = request.headers;
  if (encoding === undefined && (declared === undefined || declared === '0')) return ok(none);
  const length = declared === undefined ? undefined : Number(declared);
  if (length !== undefined && length > maxBytes) return err(refuseSize(maxBytes));
  accept();
  return new Promise((resolve) => {
    new BodyReader(request, { maxBytes, length, timeoutMs }, resolve).start();
  });
}

/**
 * Makes the headers that frame a body.
 *
 * @param body - The body.
 * @param method - Method of the request.
 * @returns Names and values by turns.
 */
export function makeFraming(body: RequestBody, method: string): string[] {
  if (body.kind === 'none') {
    const wantsLength = method === 'POST' || method === 'PUT' || method === 'PATCH';
    return wantsLength ? ['content-length', '0'] : [];
  }
  const length = body.kind === 'whole' ? body.bytes.length : body.length;
  const isChunked = length === undefined || (body.kind === 'whole' && body.trailers.length > 0);
  return isChunked ? ['transfer-encoding', 'chunked'] : ['content-length', String(length)];
}

/**
 * Writes a body to an endpoint, no faster than the endpoint takes it.
 *
 * @param outgoing - The request to the endpoint; it is destroyed when the body cannot be read.
 * @param body - The body.
 */
export function writeBody(outgoing: ClientRequest, body: RequestBody): void {
  if (body.kind === 'none') {
    outgoing.end();
    return;
  }
  if (body.kind === 'whole') {
    if (body.trailers.length > 0) outgoing.addTrailers(body.trailers);
    outgoing.end(body.bytes);
    return;
  }
  pipeline(readChunks(body), outgoing, { end: false }).then(
    () => {
      const trailers = copyTrailers(body.rest.rawTrailers);
      if (trailers.length > 0) outgoing.addTrailers(trailers);
      outgoing.end();
    },
    (error: Error) => outgoing.destroy(error),
  );
}

async function* readChunks(body: Extract<RequestBody, { kind: 'stream' }>): AsyncGenerator<Buffer> {
  yield body.head;
  let size = body.head.length;
  try {
    // The caller's connection must live on for the refusal when the endpoint fails.
    for await (const chunk of body.rest.iterator({ destroyOnReturn: false })) {
      size += (chunk as Buffer).length;
      if (size > body.maxBytes) throw new BodyError(413, refuseSize(body.maxBytes).message);
      yield chunk as Buffer;
    }
  } catch (error) {
    // The failure is not the endpoint's.
    throw error instanceof BodyError ? error : new BodyError(400, (error as Error).message);
  }
}

function refuseSize(maxBytes: number): Refusal {
  const message = `the body is larger than the ${maxBytes} bytes that the rule allows`;
  return { status: 413, verdict: 'not-run', message };
}

interface ReaderOptions {
  readonly maxBytes: number;
  readonly length: number | undefined;
  readonly timeoutMs: number;
}

/** Reads a body until it is whole or larger than what is buffered. */
class BodyReader {
  readonly #request: IncomingMessage;

  readonly #options: ReaderOptions;

  readonly #resolve: (result: Result<RequestBody, Refusal>) => void;

  readonly #chunks: Buffer[] = [];

  #size = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(
    request: IncomingMessage,
    options: ReaderOptions,
    resolve: (result: Result<RequestBody, Refusal>) => void,
  ) {
    this.#request = request;
    this.#options = options;
    this.#resolve = resolve;
  }

  start(): void {
    const { timeoutMs } = this.#options;
    this.#timer = setTimeout(
      () => this.#refuse(408, `the body did not come in ${Math.round(timeoutMs)} ms`),
      timeoutMs,
    );
    this.#request.on('data', this.#keep).on('end', this.#endWhole);
    this.#request.on('close', this.#endCut).on('error', this.#endBroken);
  }

  readonly #keep = (chunk: Buffer) => {
    const { maxBytes, length } = this.#options;
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    if (this.#size > maxBytes) this.#finish(err(refuseSize(maxBytes)));
    else if (this.#size > maxBufferedBytes) {
      this.#request.pause();
      const head = Buffer.concat(this.#chunks);
      this.#finish(ok({ kind: 'stream', head, rest: this.#request, length, maxBytes }));
    }
  };

  readonly #endWhole = () => {
    const [first] = this.#chunks;
    const bytes = first && this.#chunks.length === 1 ? first : Buffer.concat(this.#chunks);
    const trailers = copyTrailers(this.#request.rawTrailers);
    this.#finish(ok({ kind: 'whole', bytes, trailers }));
  };

  readonly #endCut = () => this.#refuse(400, 'the caller left before the body was whole');

  readonly #endBroken = (error: Error) => this.#refuse(400, error.message);

  #refuse(status: number, message: string): void {
    this.#finish(err({ status, verdict: 'not-run', message }));
  }

  #finish(result: Result<RequestBody, Refusal>): void {
    clearTimeout(this.#timer);
    this.#request.off('data', this.#keep).off('end', this.#endWhole);
    this.#request.off('close', this.#endCut).off('error', this.#endBroken);
    // A caller that leaves later is noticed by its connection.
    this.#request.on('error', () => undefined);
    this.#resolve(result);
  }
}
