import { ByteBudget } from '@dotterelpass/proxy';
import type { RequestBody, StreamedBody } from '@dotterelpass/proxy';

/** Size up to which a streamed body may be kept in memory, in bytes. */
export const maxUploadBytes = 1024 * 1024;

/** Maximum bytes of all streamed bodies that are kept in memory. */
const maxAllUploadBytes = 16 * 1024 * 1024;

/** A body that may be in memory until `release`. */
export interface KeptBody<Body extends RequestBody = RequestBody> {
  readonly body: Body;
  release(): void;
}

/** The memory for streamed bodies of requests that are not being sent yet. */
export class UploadMemory {
  readonly #budget = new ByteBudget(maxAllUploadBytes);

  /**
   * Reserves memory for a body.
   *
   * @returns A function that releases it, or undefined when there is none left.
   */
  reserve({ length }: StreamedBody): (() => void) | undefined {
    const bytes = Math.min(length ?? maxUploadBytes, maxUploadBytes);
    return this.#budget.reserve(bytes) ? () => this.#budget.release(bytes) : undefined;
  }

  /**
   * Reads on in a body while its call waits, as far as there is memory.
   *
   * @param body - The body, which no one has begun to send.
   */
  readAhead(body: RequestBody): KeptBody {
    const releaseBytes = body.kind === 'stream' ? this.reserve(body) : undefined;
    if (body.kind !== 'stream' || !releaseBytes) return { body, release: () => undefined };
    body.startReadingAhead(maxUploadBytes);
    const release = () => {
      body.stopReadingAhead();
      releaseBytes();
    };
    return { body, release };
  }
}
