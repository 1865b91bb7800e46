import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import { BodyError, makeSizeRefusal } from './body.js';
import type { RequestBody } from './body.js';
import { copyTrailers } from './headers.js';
import type { StreamedBody, TakenBody } from './streamed.js';

/**
 * Writes a body to an endpoint.
 *
 * @param outgoing - The request to the endpoint. It is destroyed when the body cannot be read.
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
  // An attempt that gets no connection must leave the body to the next one.
  outgoing.once('socket', (socket: Socket) => {
    if (socket.connecting) socket.once('connect', () => startUpload(outgoing, body));
    else startUpload(outgoing, body);
  });
}

function startUpload(outgoing: ClientRequest, body: StreamedBody): void {
  if (outgoing.destroyed) return;
  const taken = body.take();
  if (taken) new Upload(outgoing, body, taken).start();
  else outgoing.destroy(new BodyError(502, 'an earlier attempt has sent a part of the body'));
}

/**
 * Sends a body to an endpoint while it comes in, with backpressure. When the response is complete
 * before the body, the upload ends with the connection to the endpoint, which cannot carry another
 * request; the rest of the body is left to the caller's connection.
 */
class Upload {
  readonly #outgoing: ClientRequest;

  readonly #body: StreamedBody;

  readonly #taken: TakenBody;

  readonly #rest: TakenBody['rest'];

  #size = 0;

  /** The last bytes that have come in, if the body may be left incomplete. */
  #withheld: Buffer | undefined;

  #hasEnded = false;

  /**
   * @param outgoing - The request to the endpoint. It is destroyed when the body cannot be read.
   * @param body - The body.
   * @param taken - The same, taken for this upload.
   */
  constructor(outgoing: ClientRequest, body: StreamedBody, taken: TakenBody) {
    this.#outgoing = outgoing;
    this.#body = body;
    this.#taken = taken;
    this.#rest = taken.rest;
  }

  start(): void {
    if (this.#body.isCut) {
      this.#handleClose();
      return;
    }
    this.#outgoing
      .on('drain', this.#handleDrain)
      // `close` may follow `error` only after the next reader of the body has resumed it.
      .once('error', this.#stop)
      .once('close', this.#stop)
      .once('response', (response) => response.once('end', this.#handleEarlyResponse));
    this.#rest.on('data', this.#handleData).on('end', this.#handleEnd);
    this.#rest.on('close', this.#handleClose).on('error', this.#handleError);
    this.#handleData(this.#taken.head);
    if (this.#outgoing.destroyed) return;
    if (this.#rest.readableEnded) this.#handleEnd();
    else if (!this.#outgoing.writableNeedDrain) this.#rest.resume();
  }

  readonly #handleData = (chunk: Buffer) => {
    const { maxBytes } = this.#body;
    this.#size += chunk.length;
    if (this.#size > maxBytes) this.#abort(413, makeSizeRefusal(maxBytes).message);
    else if (!this.#write(chunk)) this.#rest.pause();
  };

  #write(chunk: Buffer): boolean {
    if (!this.#body.mayComplete) return this.#outgoing.write(chunk);
    const previous = this.#withheld;
    this.#withheld = chunk;
    return previous === undefined || this.#outgoing.write(previous);
  }

  readonly #handleDrain = () => {
    this.#rest.resume();
  };

  readonly #handleEnd = () => {
    if (this.#body.mayComplete?.() === false) {
      this.#abort(502, 'the request is banned because endpoints crashed while running it');
      return;
    }
    this.#hasEnded = true;
    this.#stop();
    if (this.#withheld) this.#outgoing.write(this.#withheld);
    const trailers = copyTrailers(this.#rest.rawTrailers, this.#body.omittedTrailers);
    if (trailers.length > 0) this.#outgoing.addTrailers(trailers);
    this.#outgoing.end();
  };

  readonly #handleClose = () =>
    this.#abort(400, 'the caller disconnected before the body was sent');

  readonly #handleError = (error: Error) => this.#abort(400, error.message);

  readonly #handleEarlyResponse = () => {
    if (this.#hasEnded) return;
    this.#stop();
    this.#outgoing.destroy();
  };

  /** Marks a failure as the caller's, so that it is not counted against the endpoint. */
  #abort(status: number, message: string): void {
    this.#stop();
    this.#outgoing.destroy(new BodyError(status, message));
  }

  /** Stops to read the body. */
  readonly #stop = () => {
    this.#outgoing.off('drain', this.#handleDrain);
    this.#outgoing.off('error', this.#stop).off('close', this.#stop);
    this.#rest.off('data', this.#handleData).off('end', this.#handleEnd);
    this.#rest.off('close', this.#handleClose).off('error', this.#handleError);
    this.#taken.giveBack();
  };
}
