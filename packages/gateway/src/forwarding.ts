import { copyEndToEndHeaders } from '@dotterelpass/proxy';
import type { RequestBody } from '@dotterelpass/proxy';
import type { Call } from './call.js';
import type { HeaderCodec } from './codec.js';
import { handoverHeader } from './mark.js';

/** Copies the headers of calls, for endpoints and other instances. */
export class HeaderCopier {
  /**
   * Headers that are not copied from the caller because the instance sets them. A second
   * Content-Length would allow request smuggling.
   */
  readonly #replaced: ReadonlySet<string>;

  readonly #replacedAndCredentials: ReadonlySet<string>;

  constructor({
    replacedRequestHeaders,
    credentialHeaders,
  }: Pick<HeaderCodec, 'replacedRequestHeaders' | 'credentialHeaders'>) {
    this.#replaced = new Set([...replacedRequestHeaders, 'content-length', handoverHeader]);
    this.#replacedAndCredentials = new Set([...this.#replaced, ...credentialHeaders]);
  }

  /** @returns Alternating names and values. */
  copyHeaders({ incoming, hidesCredentials }: Call): string[] {
    const omitted = hidesCredentials ? this.#replacedAndCredentials : this.#replaced;
    return copyEndToEndHeaders(incoming.request.rawHeaders, omitted);
  }
}

/** Omits trailers of a body, which an endpoint may take for headers. */
export function omitTrailers(body: RequestBody, names: ReadonlySet<string>): RequestBody {
  if (body.kind === 'none') return body;
  if (body.kind === 'stream') {
    body.omitTrailers(names);
    return body;
  }
  return { ...body, trailers: body.trailers.filter(([name]) => !names.has(name.toLowerCase())) };
}
