import type { IncomingMessage } from 'node:http';
import { ByteCollector } from '@dotterelpass/values';

/** What is known of a streamed body when its first bytes have been read. */
export interface StreamedBodyOptions {
  /** The bytes that have been read from `rest`, which is paused. */
  readonly head: Buffer;
  readonly rest: IncomingMessage;
  /** Length of the whole body; undefined when the caller uses chunked transfer coding. */
  readonly length: number | undefined;
  /** Size limit of the whole body. */
  readonly maxBytes: number;
}

/** Learns of all bytes that come in behind the first, whoever reads them. */
export interface BodyObserver {
  handleChunk(chunk: Buffer): void;
  /** Called when the body has come in completely. */
  handleEnd(): void;
  /** Called when nothing more comes in. */
  handleClose(): void;
}

/**
 * The body of a request that is too long to be kept, and the only owner of the caller's stream. A
 * reader takes it, and gives it back with all the bytes that have been read so far. If it cannot, the
 * body is spent: no one else gets it, so that it is never sent with a piece missing.
 */
export class StreamedBody {
  readonly kind = 'stream';

  readonly length: number | undefined;

  readonly maxBytes: number;

  readonly #rest: IncomingMessage;

  /** The bytes that have been read, unless a reader has them. */
  #bytes = new ByteCollector();

  /** Size up to which the body is read ahead, in bytes; undefined while it is not. */
  #aheadBytes: number | undefined;

  #state: 'kept' | 'taken' | 'spent' = 'kept';

  #mayComplete: (() => boolean) | undefined;

  #omittedTrailers: ReadonlySet<string> | undefined;

  constructor({ head, rest, length, maxBytes }: StreamedBodyOptions) {
    this.length = length;
    this.maxBytes = maxBytes;
    this.#rest = rest;
    this.#bytes.add(head);
  }

  /** Whether a reader can take the body. */
  get isAvailable(): boolean {
    return this.#state === 'kept';
  }

  /** Whether the caller has left before the end of the body. */
  get isCut(): boolean {
    return this.#rest.destroyed && !this.#rest.readableEnded;
  }

  /** The bytes that have been read, while no reader has them. */
  get head(): Buffer {
    return this.#bytes.toBuffer();
  }

  /** Lower-case names of trailers that are not forwarded. */
  get omittedTrailers(): ReadonlySet<string> | undefined {
    return this.#omittedTrailers;
  }

  /**
   * Decides, when the whole body has come in, whether the endpoint gets its last bytes, without which
   * it cannot take the request for complete. Without this function it does.
   */
  get mayComplete(): (() => boolean) | undefined {
    return this.#mayComplete;
  }

  /** @param mayComplete - See {@link mayComplete}. */
  setCheck(mayComplete: () => boolean): void {
    this.#mayComplete = mayComplete;
  }

  /** @param names - Lower-case names of trailers that are not forwarded. */
  omitTrailers(names: ReadonlySet<string>): void {
    this.#omittedTrailers = names;
  }

  observe(observer: BodyObserver): void {
    this.#rest.on('data', (chunk: Buffer) => observer.handleChunk(chunk));
    this.#rest.once('end', () => observer.handleEnd());
    this.#rest.once('close', () => observer.handleClose());
    if (this.#rest.destroyed) observer.handleClose();
  }

  /**
   * Reads on until a reader takes the body. Node notices the end of a connection only while it reads
   * it, so a caller that leaves while its call waits is noticed once its body has been read.
   *
   * @param maxBytes - Size of the body from which the rest is left to the connection.
   */
  startReadingAhead(maxBytes: number): void {
    if (!this.isAvailable || this.#bytes.size >= maxBytes) return;
    this.#aheadBytes = maxBytes;
    this.#rest.on('data', this.#handleAhead).resume();
  }

  /** Pauses the body, if it is read ahead. */
  stopReadingAhead(): void {
    if (this.#aheadBytes === undefined) return;
    this.#aheadBytes = undefined;
    this.#rest.off('data', this.#handleAhead).pause();
  }

  /**
   * Takes the body, and pauses it.
   *
   * @returns Undefined when another reader has it, or has not given it back whole.
   */
  take(): TakenBody | undefined {
    if (!this.isAvailable) return undefined;
    this.stopReadingAhead();
    this.#state = 'taken';
    const head = this.#bytes.toBuffer();
    this.#bytes = new ByteCollector();
    return new TakenBody(head, this.#rest, (bytes) => this.#acceptBack(bytes));
  }

  #acceptBack(bytes: Buffer | undefined): void {
    if (!bytes) {
      this.#state = 'spent';
      return;
    }
    this.#state = 'kept';
    this.#bytes.add(bytes);
  }

  readonly #handleAhead = (chunk: Buffer) => {
    this.#bytes.add(chunk);
    if (this.#bytes.size >= (this.#aheadBytes ?? 0)) this.#rest.pause();
  };
}

/** A streamed body in the hands of its reader. */
export class TakenBody {
  /** The bytes that were read before. */
  readonly head: Buffer;

  /** The rest of the body, paused. */
  readonly rest: IncomingMessage;

  readonly #acceptBack: (bytes: Buffer | undefined) => void;

  /** Bytes of the body that have been read. */
  #size: number;

  #isGivenBack = false;

  /** @param acceptBack - Called with all bytes that have been read; undefined when some are lost. */
  constructor(
    head: Buffer,
    rest: IncomingMessage,
    acceptBack: (bytes: Buffer | undefined) => void,
  ) {
    this.head = head;
    this.rest = rest;
    this.#acceptBack = acceptBack;
    this.#size = head.length;
    rest.on('data', this.#countBytes);
  }

  /**
   * Ends the use of the body, and pauses it. Further calls change nothing.
   *
   * @param bytes - The bytes of the body that have been read, from its start. Unless these are all,
   * the body is spent.
   */
  giveBack(bytes = this.head): void {
    if (this.#isGivenBack) return;
    this.#isGivenBack = true;
    this.rest.off('data', this.#countBytes).pause();
    this.#acceptBack(bytes.length === this.#size ? bytes : undefined);
  }

  readonly #countBytes = (chunk: Buffer) => {
    this.#size += chunk.length;
  };
}
