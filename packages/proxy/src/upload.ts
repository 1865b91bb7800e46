import type { ClientRequest, IncomingMessage } from 'node:http';
import { BodyError, makeSizeRefusal } from './body.js';
import type { RequestBody, StreamedBody } from './body.js';
import { copyTrailers } from './headers.js';

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
  // Until there is a connection, the body is read on, so that the end of the caller's is noticed.
  outgoing.once('socket', () => new Upload(outgoing, body).start());
}

/**
 * Sends a body to an endpoint while it comes in, with backpressure. When the response is complete
 * before the body, the upload ends with the connection to the endpoint, which cannot carry another
 * request; the rest of the body is left to the caller's connection.
 */
class Upload {
  readonly #outgoing: ClientRequest;

  readonly #body: StreamedBody;

  readonly #rest: IncomingMessage;

  #size = 0;

  /** The last bytes that have come in, if the body may be left incomplete. */
  #withheld: Buffer | undefined;

  #hasEnded = false;

  /**
   * @param outgoing - The request to the endpoint. It is destroyed when the body cannot be read.
   * @param body - The body.
   */
  constructor(outgoing: ClientRequest, body: StreamedBody) {
    this.#outgoing = outgoing;
    this.#body = body;
    this.#rest = body.rest;
  }

  start(): void {
    const { ahead } = this.#body;
    const head = ahead ? ahead.stop() : this.#body.head;
    if (this.#rest.destroyed && !this.#rest.readableEnded) {
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
    this.#rest.pause();
    this.#handleData(head);
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

  /** Stops to read the body, which its next reader has to resume. */
  readonly #stop = () => {
    this.#outgoing.off('drain', this.#handleDrain);
    this.#outgoing.off('error', this.#stop).off('close', this.#stop);
    this.#rest.off('data', this.#handleData).off('end', this.#handleEnd);
    this.#rest.off('close', this.#handleClose).off('error', this.#handleError);
    this.#rest.pause();
  };
}
