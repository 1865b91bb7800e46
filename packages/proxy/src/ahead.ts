import type { IncomingMessage } from 'node:http';
import { ByteCollector } from '@dotterelpass/values';
import type { StreamedBody } from './body.js';

/**
 * Reads on in a streamed body until it is sent. Node notices the end of a connection only while it
 * reads it, so a caller that leaves while its call waits is noticed once its body has been read.
 */
export class BodyAhead {
  readonly #rest: IncomingMessage;

  readonly #maxBytes: number;

  readonly #bytes = new ByteCollector();

  #isStopped = false;

  /**
   * @param body - The body, which no one else reads until `stop`.
   * @param maxBytes - Size of the body from which the rest is left to the connection.
   */
  constructor({ head, rest }: StreamedBody, maxBytes: number) {
    this.#rest = rest;
    this.#maxBytes = maxBytes;
    this.#bytes.add(head);
  }

  start(): void {
    if (this.#bytes.size >= this.#maxBytes) return;
    this.#rest.on('data', this.#handleData).resume();
  }

  /**
   * Stops to read, and pauses the rest of the body.
   *
   * @returns The bytes of the body up to here.
   */
  stop(): Buffer {
    if (!this.#isStopped) {
      this.#isStopped = true;
      this.#rest.off('data', this.#handleData).pause();
    }
    return this.#bytes.toBuffer();
  }

  readonly #handleData = (chunk: Buffer) => {
    this.#bytes.add(chunk);
    if (this.#bytes.size >= this.#maxBytes) this.#rest.pause();
  };
}
