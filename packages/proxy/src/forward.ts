import type { IncomingMessage, ServerResponse } from 'node:http';
import { copyTrailers } from './headers.js';
import { cutAnswer } from './refusal.js';

/** How the forwarding of an answer ended. */
export interface ForwardOutcome {
  /** `cut`: the endpoint's answer was not whole. `gone`: the caller left or was too slow. */
  readonly result: 'whole' | 'cut' | 'gone';
  /** The body, when it was to be kept, came whole and fits. */
  readonly keptBody?: Buffer;
}

export interface ForwardOptions {
  /** Bytes of the body that are kept; 0 for none. */
  readonly maxKeptBytes: number;
  /** Whether to go on reading, up to `keepBytes`, after the caller has left. */
  readonly readAfterDisconnect: boolean;
  /** Time for the whole answer, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Streams an answer's body to the caller, no faster than the caller takes it. The head has
 * been written. An answer that is not whole is cut at the caller as well.
 *
 * @param answer - The endpoint's answer.
 * @param response - The caller's response.
 * @param options - What is kept, and the time.
 * @returns How it ended.
 */
export async function forwardResponseBody(
  answer: IncomingMessage,
  response: ServerResponse,
  options: ForwardOptions,
): Promise<ForwardOutcome> {
  return new Promise((resolve) => {
    new Forwarding(answer, response, options, resolve).start();
  });
}

/** One answer on its way to the caller. */
class Forwarding {
  readonly #answer: IncomingMessage;

  readonly #response: ServerResponse;

  readonly #options: ForwardOptions;

  readonly #resolve: (end: ForwardOutcome) => void;

  readonly #chunks: Buffer[] = [];

  #keptBytes = 0;

  #keeping: boolean;

  #gone = false;

  #timer: NodeJS.Timeout | undefined;

  constructor(
    answer: IncomingMessage,
    response: ServerResponse,
    options: ForwardOptions,
    resolve: (end: ForwardOutcome) => void,
  ) {
    this.#answer = answer;
    this.#response = response;
    this.#options = options;
    this.#resolve = resolve;
    this.#keeping = options.maxKeptBytes > 0;
  }

  start(): void {
    this.#timer = setTimeout(() => this.#expire(), this.#options.timeoutMs);
    this.#answer.on('data', this.#take).on('end', this.#end).on('close', this.#cut);
    // The error of a cut answer is followed by `close`.
    this.#answer.on('error', () => undefined);
    if (this.#response.destroyed) this.#leave();
    else this.#response.on('drain', this.#resume).on('close', this.#leave);
  }

  readonly #take = (chunk: Buffer) => {
    if (this.#keeping) this.#keep(chunk);
    if (!this.#gone && !this.#response.write(chunk)) this.#answer.pause();
  };

  #keep(chunk: Buffer): void {
    this.#keptBytes += chunk.length;
    if (this.#keptBytes <= this.#options.maxKeptBytes) {
      this.#chunks.push(chunk);
      return;
    }
    this.#keeping = false;
    this.#chunks.length = 0;
    if (this.#gone) this.#leave();
  }

  readonly #resume = () => {
    this.#answer.resume();
  };

  readonly #end = () => {
    if (!this.#answer.complete) return;
    if (!this.#gone) {
      const { rawTrailers } = this.#answer;
      if (rawTrailers.length > 0) this.#response.addTrailers(copyTrailers(rawTrailers));
      this.#response.end();
    }
    this.#finish(this.#gone ? 'gone' : 'whole');
  };

  #expire(): void {
    // While the answer is held back for a slow caller, its time is not the endpoint's fault.
    if (this.#answer.isPaused()) {
      cutAnswer(this.#response);
      this.#leave();
    } else this.#cut();
  }

  readonly #cut = () => {
    if (!this.#gone) cutAnswer(this.#response);
    this.#answer.destroy();
    this.#finish('cut');
  };

  readonly #leave = () => {
    this.#gone = true;
    if (this.#keeping && this.#options.readAfterDisconnect) {
      this.#answer.resume();
      return;
    }
    this.#keeping = false;
    this.#answer.destroy();
    this.#finish('gone');
  };

  #finish(result: ForwardOutcome['result']): void {
    clearTimeout(this.#timer);
    this.#answer.off('data', this.#take).off('end', this.#end).off('close', this.#cut);
    this.#response.off('drain', this.#resume).off('close', this.#leave);
    const isKept = this.#keeping && result !== 'cut';
    this.#resolve(isKept ? { result, keptBody: Buffer.concat(this.#chunks) } : { result });
  }
}
