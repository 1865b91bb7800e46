import { ServerResponse } from 'node:http';
import type { OutgoingHttpHeader, OutgoingHttpHeaders } from 'node:http';

/** Headers as `writeHead` takes them. */
type HeadHeaders = OutgoingHttpHeaders | OutgoingHttpHeader[];

/**
 * A response to a caller. While the responses to earlier requests of its connection have not been
 * sent, a whole response is held back: its head says whether the connection closes after it, and
 * that depends on the requests which arrive until its turn comes. A response that is written in
 * parts is not held back, but keeps the connection open.
 */
export class CallerResponse extends ServerResponse {
  #isWaiting = false;

  #hasContinued = false;

  #writeHeldHead: (() => void) | undefined;

  #endHeld: (() => void) | undefined;

  /**
   * Whether the connection closes after the response. Node also closes it after the response to a
   * caller that got no `100 Continue`, because the next request could be read as the missing body.
   */
  get closesConnection(): boolean {
    const { _last: isLast } = this as unknown as { readonly _last: boolean };
    return this.#awaitsContinue || (this.headersSent && isLast);
  }

  /** Sends `100 Continue` to a caller that waits for it. */
  acceptBody(): void {
    if (!this.#awaitsContinue) return;
    this.#hasContinued = true;
    this.writeContinue();
  }

  /** Holds the response back until `release`. */
  hold(): void {
    this.#isWaiting = true;
  }

  /** Writes what was held back, because all earlier responses have been sent. */
  release(): void {
    this.#isWaiting = false;
    this.#flushHead();
    const end = this.#endHeld;
    this.#endHeld = undefined;
    end?.();
  }

  override writeHead(status: number, ...rest: unknown[]): this {
    const write = () => super.writeHead(status, ...(rest as [HeadHeaders]));
    if (!this.#isWaiting) return write();
    this.#writeHeldHead = write;
    return this;
  }

  override write(...args: unknown[]): boolean {
    this.#flushHead();
    return super.write(...(args as [unknown]));
  }

  override end(...args: unknown[]): this {
    const end = () => super.end(...(args as [unknown]));
    if (!this.#isWaiting || this.headersSent) return end();
    this.#endHeld = end;
    return this;
  }

  get #awaitsContinue(): boolean {
    const { headers, httpVersionMinor } = this.req;
    return !this.#hasContinued && headers.expect !== undefined && httpVersionMinor === 1;
  }

  #flushHead(): void {
    const write = this.#writeHeldHead;
    this.#writeHeldHead = undefined;
    write?.();
  }
}
