import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Maximum bytes that are received before the head of a response is complete, also of 1xx ones. */
const maxHeadBytes = 256 * 1024;

/**
 * Maximum bytes besides those of the body: a fixed number, and one for each byte of the body. A chunk
 * of one byte has five such bytes.
 */
const maxFramingBytes = 64 * 1024;
const maxFramingPerByte = 16;

/**
 * Limits what is received of a response before its head: the parser skips some bytes without a limit,
 * such as line breaks.
 *
 * @param outgoing - The request.
 * @param onExcess - Called when the limit is exceeded.
 */
export function limitHead(outgoing: ClientRequest, onExcess: () => void): void {
  let bytes = 0;
  outgoing.once('socket', (socket) => {
    const handleData = (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxHeadBytes) onExcess();
    };
    const stop = () => socket.off('data', handleData);
    socket.on('data', handleData);
    outgoing.once('response', stop).once('close', stop);
  });
}

/**
 * Limits what is received of a response besides its body. The parser skips some bytes of the framing
 * without a limit, such as the leading zeros of a chunk size, and reports nothing meanwhile.
 */
export class FramingMeter {
  readonly #response: IncomingMessage;

  /** The connection, which may carry another response after this one. */
  readonly #socket: Socket;

  readonly #onExcess: () => void;

  #receivedBytes = 0;

  #bodyBytes = 0;

  /**
   * @param response - A response that its reader consumes by `data` events.
   * @param onExcess - Called when the limit is exceeded.
   */
  constructor(response: IncomingMessage, onExcess: () => void) {
    this.#response = response;
    this.#socket = response.socket;
    this.#onExcess = onExcess;
  }

  start(): void {
    this.#response.on('data', this.#handleBody);
    this.#socket.on('data', this.#handleReceived);
  }

  stop(): void {
    this.#response.off('data', this.#handleBody);
    this.#socket.off('data', this.#handleReceived);
  }

  readonly #handleBody = (chunk: Buffer) => {
    this.#bodyBytes += chunk.length;
  };

  /** The parser, which listens before, has reported what it found in the bytes. */
  readonly #handleReceived = (chunk: Buffer) => {
    this.#receivedBytes += chunk.length;
    const bodyBytes = this.#bodyBytes + this.#response.readableLength;
    const framingBytes = this.#receivedBytes - bodyBytes;
    if (framingBytes > maxFramingBytes + maxFramingPerByte * bodyBytes) this.#onExcess();
  };
}
