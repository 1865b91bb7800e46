import { digestRequest, readFurther } from '@dotterelpass/proxy';
import type { Refusal, RequestBody, RequestDigest, StreamedBody } from '@dotterelpass/proxy';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CrashTable } from '@dotterelpass/suspects';
import { maxUploadBytes } from './uploads.js';
import type { KeptBody, UploadMemory } from './uploads.js';

/** A request that is not banned, as far as its body has come in. */
export interface ScreenedRequest extends KeptBody {
  readonly digest: RequestDigest;
}

/**
 * Keeps banned requests from endpoints. A ban names one whole request, but a long body is sent on
 * while it comes in. So it is read to its end first if a banned request has the same start. Of a body
 * for which there is no memory, the endpoint gets all but the last bytes before the check.
 */
export class RequestScreen {
  readonly #crashes: CrashTable;

  readonly #memory: UploadMemory;

  /**
   * @param crashes - Knows the banned requests.
   * @param memory - Memory for bodies that are read to their end.
   */
  constructor(crashes: CrashTable, memory: UploadMemory) {
    this.#crashes = crashes;
    this.#memory = memory;
  }

  /**
   * Checks a request.
   *
   * @param head - Method, host, path and query.
   * @param body - Its body.
   * @param timeoutMs - Time limit for reading the body, in milliseconds.
   * @returns The request, with a body that may have been read further; `banned`; or the refusal of a
   * body that cannot be read, with the verdict `not-run`.
   */
  async check(
    head: string,
    body: RequestBody,
    timeoutMs: number,
  ): Promise<Result<ScreenedRequest, Refusal | 'banned'>> {
    const digest = digestRequest(head, body);
    const isCandidate = digest.start !== undefined && this.#crashes.hasBan(digest.start);
    if (body.kind === 'stream' && isCandidate) return this.#checkStream(body, digest, timeoutMs);
    if (digest.value !== undefined && this.#crashes.isBanned(digest.value)) return err('banned');
    return ok({ body, digest, release: () => undefined });
  }

  async #checkStream(
    body: StreamedBody,
    digest: RequestDigest,
    timeoutMs: number,
  ): Promise<Result<ScreenedRequest, Refusal | 'banned'>> {
    const mayComplete = () => digest.value !== undefined && !this.#crashes.isBanned(digest.value);
    const release = this.#memory.reserve(body);
    if (!release) {
      body.setCheck(mayComplete);
      return ok({ body, digest, release: () => undefined });
    }
    const read = await readFurther(body, maxUploadBytes, timeoutMs);
    if (read.isOk() && read.value.kind === 'stream') {
      body.setCheck(mayComplete);
      return ok({ body, digest, release });
    }
    if (read.isOk() && mayComplete()) return ok({ body: read.value, digest, release });
    release();
    return err(read.isErr() ? read.error : 'banned');
  }
}
