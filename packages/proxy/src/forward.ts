import type { IncomingMessage, ServerResponse } from 'node:http';
import { ByteCollector } from '@dotterelpass/values';
import { getRequestMethod, isEndedCleanly } from './agent.js';
import { FramingMeter } from './framing.js';
import { copyTrailers } from './headers.js';
import { ChunkPacer } from './pace.js';
import { abortResponse } from './refusal.js';
import type { ResponseStream, StreamTable } from './streams.js';

/** Whether a response says where its body ends; otherwise that is the end of its connection. */
export function hasFraming(response: IncomingMessage): boolean {
  const { headers, statusCode = 0 } = response;
  return (
    getRequestMethod(response) === 'HEAD' ||
    statusCode === 204 ||
    statusCode === 304 ||
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/**
 * Checks the end of a response body. Node reports a body without a length or chunks as complete
 * however its connection has ended.
 *
 * @param response - A response whose body has ended.
 * @returns Whether the body is whole as far as its framing shows.
 */
export function hasWholeBody(response: IncomingMessage): boolean {
  return hasFraming(response) || isEndedCleanly(response.socket);
}

/** How the forwarding of a response ended. */
export interface ForwardOutcome {
  /**
   * `whole`: the response was forwarded completely. `cut`: the endpoint's response was incomplete.
   * `gone`: the caller disconnected or read too slowly.
   */
  readonly result: 'whole' | 'cut' | 'gone';
  /** Whether the time limit ended it. */
  readonly isExpired: boolean;
  /** The body, if it was to be kept, arrived completely and does not exceed `maxKeptBytes`. */
  readonly keptBody?: Buffer;
}

/** Options of the forwarding of a response. */
export interface ForwardOptions {
  /** Largest body that is kept, in bytes; 0 to keep none. */
  readonly maxKeptBytes: number;
  /** Whether to continue reading, up to `maxKeptBytes`, after the caller has disconnected. */
  readonly readAfterDisconnect: boolean;
  /** Time limit for the whole response, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Maximum size of a body without a length, in bytes, which bounds a body without end; unlimited
   * by default.
   */
  readonly maxUnboundedBytes?: number;
  /** Limits how many responses are forwarded at a time; unlimited by default. */
  readonly streams?: StreamTable;
}

/**
 * Streams the body of an endpoint's response to the caller, with backpressure. The headers must
 * already have been written. When the response of the endpoint is incomplete, the response to the
 * caller is aborted.
 *
 * @param endpointResponse - The response of the endpoint.
 * @param callerResponse - The response to the caller.
 * @param options - Time limit, and what is kept of the body.
 * @returns How the forwarding ended.
 */
export async function forwardResponseBody(
  endpointResponse: IncomingMessage,
  callerResponse: ServerResponse,
  options: ForwardOptions,
): Promise<ForwardOutcome> {
  return new Promise((resolve) => {
    new ResponseForwarding(endpointResponse, callerResponse, options, resolve).start();
  });
}

/** The forwarding of one response. */
class ResponseForwarding {
  readonly #endpointResponse: IncomingMessage;

  readonly #callerResponse: ServerResponse;

  readonly #options: ForwardOptions;

  readonly #resolve: (outcome: ForwardOutcome) => void;

  readonly #pacer: ChunkPacer;

  readonly #meter: FramingMeter;

  readonly #kept = new ByteCollector();

  #forwardedBytes = 0;

  readonly #maxBytes: number;

  #isKeeping: boolean;

  #isDisconnected = false;

  #isExpired = false;

  #timer: NodeJS.Timeout | undefined;

  #stream: ResponseStream | undefined;

  constructor(
    endpointResponse: IncomingMessage,
    callerResponse: ServerResponse,
    options: ForwardOptions,
    resolve: (outcome: ForwardOutcome) => void,
  ) {
    this.#endpointResponse = endpointResponse;
    this.#pacer = new ChunkPacer(endpointResponse);
    this.#meter = new FramingMeter(endpointResponse, () => this.#handleTruncation());
    this.#callerResponse = callerResponse;
    this.#options = options;
    this.#resolve = resolve;
    this.#isKeeping = options.maxKeptBytes > 0;
    const hasLength = endpointResponse.headers['content-length'] !== undefined;
    this.#maxBytes = hasLength ? Infinity : (options.maxUnboundedBytes ?? Infinity);
  }

  start(): void {
    this.#timer = setTimeout(() => this.#expire(), this.#options.timeoutMs);
    this.#endpointResponse
      .on('data', this.#handleData)
      .on('end', this.#handleEnd)
      .on('close', this.#handleTruncation);
    // The error of an incomplete response is followed by `close`.
    this.#endpointResponse.on('error', () => undefined);
    this.#stream = this.#options.streams?.add(() => this.#abandonCaller());
    this.#pacer.start();
    this.#meter.start();
    // The response is paused if another reader has given a part of it back.
    this.#endpointResponse.resume();
    if (this.#callerResponse.destroyed) this.#handleDisconnect();
    else this.#callerResponse.on('drain', this.#handleDrain).on('close', this.#handleDisconnect);
  }

  readonly #handleData = (chunk: Buffer) => {
    this.#forwardedBytes += chunk.length;
    if (this.#forwardedBytes > this.#maxBytes) {
      this.#handleTruncation();
      return;
    }
    if (this.#isKeeping) this.#keepChunk(chunk);
    if (this.#isDisconnected || this.#callerResponse.write(chunk)) return;
    this.#endpointResponse.pause();
    this.#stream?.stall();
  };

  #keepChunk(chunk: Buffer): void {
    if (this.#kept.size + chunk.length <= this.#options.maxKeptBytes) {
      this.#kept.add(chunk);
      return;
    }
    this.#isKeeping = false;
    this.#kept.clear();
    if (this.#isDisconnected) this.#handleDisconnect();
  }

  readonly #handleDrain = () => {
    this.#stream?.resume();
    this.#endpointResponse.resume();
  };

  readonly #handleEnd = () => {
    if (!this.#endpointResponse.complete) return;
    if (!hasWholeBody(this.#endpointResponse)) {
      this.#handleTruncation();
      return;
    }
    if (!this.#isDisconnected) {
      const { rawTrailers } = this.#endpointResponse;
      if (rawTrailers.length > 0) this.#callerResponse.addTrailers(copyTrailers(rawTrailers));
      this.#callerResponse.end();
    }
    this.#finish(this.#isDisconnected ? 'gone' : 'whole');
  };

  #expire(): void {
    this.#isExpired = true;
    // While reading is paused for a slow caller, the timeout is not the endpoint's fault.
    if (this.#callerResponse.writableNeedDrain) this.#abandonCaller();
    else this.#handleTruncation();
  }

  /** Ends the response to a caller that reads too slowly. */
  #abandonCaller(): void {
    abortResponse(this.#callerResponse);
    this.#handleDisconnect();
  }

  readonly #handleTruncation = () => {
    if (!this.#isDisconnected) abortResponse(this.#callerResponse);
    this.#endpointResponse.destroy();
    this.#finish('cut');
  };

  readonly #handleDisconnect = () => {
    this.#isDisconnected = true;
    if (this.#isKeeping && this.#options.readAfterDisconnect) {
      this.#endpointResponse.resume();
      return;
    }
    this.#isKeeping = false;
    this.#endpointResponse.destroy();
    this.#finish('gone');
  };

  #finish(result: ForwardOutcome['result']): void {
    clearTimeout(this.#timer);
    this.#stream?.close();
    this.#pacer.stop();
    this.#meter.stop();
    this.#endpointResponse
      .off('data', this.#handleData)
      .off('end', this.#handleEnd)
      .off('close', this.#handleTruncation);
    this.#callerResponse.off('drain', this.#handleDrain).off('close', this.#handleDisconnect);
    const isKept = this.#isKeeping && result !== 'cut';
    const outcome = { result, isExpired: this.#isExpired };
    this.#resolve(isKept ? { ...outcome, keptBody: this.#kept.toBuffer() } : outcome);
  }
}
