import { createHash, hash as hashOneShot } from 'node:crypto';
import type { Hash } from 'node:crypto';
import { maxBufferedBytes } from './body.js';
import type { RequestBody } from './body.js';
import type { StreamedBody } from './streamed.js';

/** Number of hexadecimal digits of the name of a long body's start. */
const startDigits = 16;

/**
 * Digest of a whole request: of a text that stands for its head, and of the bytes of its body,
 * however these come in.
 */
export abstract class RequestDigest {
  /** Digest in hexadecimal; undefined while the body is not complete. */
  abstract readonly value: string | undefined;

  /**
   * What the digests begin with of all requests that share the head and the first `maxBufferedBytes`
   * of the body; undefined for a body that is not longer.
   */
  abstract readonly start: string | undefined;

  /**
   * Waits for the end of the body.
   *
   * @returns The digest; undefined when the caller left before the end.
   */
  abstract wait(): Promise<string | undefined>;
}

/**
 * Computes the digest of a request. That of a streamed body is complete when its reader has read the
 * body to its end.
 *
 * @param head - Text that stands for the head of the request.
 * @param body - Its body.
 */
export function digestRequest(head: string, body: RequestBody): RequestDigest {
  if (body.kind === 'stream') return new StreamDigest(head, body);
  // The one-shot hash takes less than half the time of a hash object.
  if (body.kind === 'none') return new CompleteDigest(hashOneShot('sha256', head));
  return new CompleteDigest(createHash('sha256').update(head).update(body.bytes).digest('hex'));
}

class CompleteDigest extends RequestDigest {
  readonly value: string;

  readonly start = undefined;

  constructor(value: string) {
    super();
    this.value = value;
  }

  async wait(): Promise<string> {
    return this.value;
  }
}

/** Digest of a request whose body is read by someone else. */
class StreamDigest extends RequestDigest {
  readonly start: string;

  readonly #hash: Hash;

  readonly #length: number | undefined;

  #size: number;

  #value: string | undefined;

  readonly #ended: Promise<void>;

  constructor(head: string, body: StreamedBody) {
    super();
    const { head: firstBytes } = body;
    this.#length = body.length;
    this.#hash = createHash('sha256').update(head).update(firstBytes.subarray(0, maxBufferedBytes));
    this.start = `${this.#hash.copy().digest('hex').slice(0, startDigits)}-`;
    this.#hash.update(firstBytes.subarray(maxBufferedBytes));
    this.#size = firstBytes.length;
    this.#ended = new Promise((resolve) => {
      body.observe({
        handleChunk: (chunk) => this.#addChunk(chunk),
        handleEnd: () => {
          this.#finish();
          resolve();
        },
        handleClose: resolve,
      });
    });
  }

  get value(): string | undefined {
    return this.#value;
  }

  async wait(): Promise<string | undefined> {
    await this.#ended;
    return this.#value;
  }

  #addChunk(chunk: Buffer): void {
    this.#size += chunk.length;
    this.#hash.update(chunk);
  }

  #finish(): void {
    const isWhole = this.#length === undefined || this.#length === this.#size;
    if (isWhole) this.#value = this.start + this.#hash.digest('hex');
  }
}
