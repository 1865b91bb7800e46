import type { Duplex } from 'node:stream';
import { DecoderStream, EncoderStream } from 'cbor-x';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { parseMessage } from './message.js';
import type {
  MessageBody,
  MessageHandler,
  InstanceIdentity,
  PeerMessage,
  PeerError,
} from './message.js';

/** A heartbeat is sent when nothing else was sent for this long. */
const heartbeatIntervalMs = 500;

/** The connection is closed when nothing was received for this long. */
const receiveTimeoutMs = 1500;

/**
 * Bytes of an incomplete message from which a request waits on for its response after its time
 * limit, as long as more bytes arrive. Large messages take seconds on a busy link.
 */
const minPartialBytes = 4096;

/** Time without a byte after which an incomplete message counts as stalled, in milliseconds. */
const stallMs = 300;

const heartbeatType = 'heartbeat';
const failureType = 'failure';

type ResponseCallback = (response: Result<MessageBody, PeerError>) => void;

/**
 * A connection to a peer. It carries CBOR-encoded messages in both directions and matches each
 * response to its request by id.
 */
export class PeerConnection {
  readonly #self: InstanceIdentity;

  readonly #stream: Duplex;

  readonly #encoder = new EncoderStream();

  readonly #handlers: ReadonlyMap<string, MessageHandler>;

  readonly #pending = new Map<number, ResponseCallback>();

  readonly #timer: NodeJS.Timeout;

  #nextId = 1;

  #sentAt = performance.now();

  /** When the last byte arrived. */
  #receivedAt = performance.now();

  /** Bytes that have arrived since the last complete message. */
  #partialBytes = 0;

  #closed = false;

  /** Called once, when the connection has closed. */
  onclose: () => void = () => undefined;

  /**
   * @param stream - An open, authenticated connection.
   * @param self - Identity of this instance, sent with every message.
   * @param handlers - Handlers of the messages from the peer, by message type.
   */
  constructor(
    stream: Duplex,
    self: InstanceIdentity,
    handlers: ReadonlyMap<string, MessageHandler>,
  ) {
    this.#stream = stream;
    this.#self = self;
    this.#handlers = handlers;
    const decoder = new DecoderStream();
    stream.on('data', (chunk: Buffer) => {
      this.#receivedAt = performance.now();
      this.#partialBytes += chunk.length;
    });
    this.#encoder.pipe(stream).pipe(decoder);
    decoder.on('data', (value: unknown) => this.#receive(value));
    // Bytes that are not valid CBOR close the connection; the peer opens a new one.
    decoder.on('error', () => this.close());
    stream.on('error', () => this.close());
    stream.on('close', () => this.close());
    this.#timer = setInterval(() => this.#checkTimeouts(), heartbeatIntervalMs / 2);
    this.#timer.unref();
  }

  /** Whether the connection has closed, or `close` was called. */
  get closed(): boolean {
    return this.#closed;
  }

  /**
   * Sends a message without waiting for a response.
   *
   * @param type - Type of the message.
   * @param body - Body of the message.
   */
  send(type: string, body: MessageBody = {}): void {
    this.#write({ type, body });
  }

  /**
   * Sends a request and waits for its response.
   *
   * @param type - Type of the request.
   * @param body - Body of the request.
   * @param timeoutMs - Time limit for the response, in milliseconds.
   * @param maxTransferMs - Time by which a large response that keeps arriving may exceed the limit, in
   * milliseconds.
   * @returns The body of the response. After an error the peer may or may not have handled the
   * request.
   */
  async request(
    type: string,
    body: MessageBody,
    timeoutMs: number,
    maxTransferMs = 0,
  ): Promise<Result<MessageBody, PeerError>> {
    if (this.#closed) return err({ kind: 'closed', message: 'the connection is closed' });
    const id = this.#nextId;
    this.#nextId += 1;
    return new Promise((resolve) => {
      const endAt = performance.now() + timeoutMs + maxTransferMs;
      let timer: NodeJS.Timeout | undefined;
      const expire = () => {
        if (this.#isReceiving && performance.now() < endAt) {
          timer = setTimeout(expire, stallMs);
          return;
        }
        this.#pending.delete(id);
        resolve(err({ kind: 'timeout', message: `no response to ${type} within ${timeoutMs} ms` }));
      };
      timer = setTimeout(expire, timeoutMs);
      this.#pending.set(id, (response) => {
        clearTimeout(timer);
        this.#pending.delete(id);
        resolve(response);
      });
      this.#write({ type, id, body });
    });
  }

  /** Closes the connection; requests that still wait for a response fail. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    clearInterval(this.#timer);
    this.#stream.destroy();
    const error: PeerError = {
      kind: 'closed',
      message: 'the connection closed before the response arrived',
    };
    [...this.#pending.values()].forEach((resolve) => resolve(err(error)));
    this.onclose();
  }

  /** Whether a large message is arriving. */
  get #isReceiving(): boolean {
    return this.#partialBytes >= minPartialBytes && performance.now() - this.#receivedAt < stallMs;
  }

  #receive(value: unknown): void {
    this.#partialBytes = 0;
    const message = parseMessage(value);
    if (!message) {
      this.close();
      return;
    }
    if (message.re !== undefined) this.#resolveRequest(message.re, message);
    else if (message.type !== heartbeatType) void this.#handle(message);
  }

  #resolveRequest(id: number, message: PeerMessage): void {
    const error = String(message.body.message);
    const response: Result<MessageBody, PeerError> =
      message.type === failureType ? err({ kind: 'failed', message: error }) : ok(message.body);
    this.#pending.get(id)?.(response);
  }

  async #handle(message: PeerMessage): Promise<void> {
    const { id, type, from, incarnation } = message;
    const handler = this.#handlers.get(type);
    try {
      if (!handler) throw new RangeError(`no handler for ${type}`);
      const body = await handler(message.body, { instance: from, incarnation });
      if (id !== undefined) this.#write({ type: `${type}-answer`, re: id, body });
    } catch (error) {
      const body = { message: error instanceof Error ? error.message : String(error) };
      if (id !== undefined) this.#write({ type: failureType, re: id, body });
    }
  }

  #write(message: Pick<PeerMessage, 'type' | 'id' | 're' | 'body'>): void {
    if (this.#closed) return;
    this.#sentAt = performance.now();
    const { instance: from, incarnation } = this.#self;
    this.#encoder.write({ ...message, from, incarnation });
  }

  #checkTimeouts(): void {
    const now = performance.now();
    if (now - this.#receivedAt > receiveTimeoutMs) this.close();
    else if (now - this.#sentAt > heartbeatIntervalMs) this.send(heartbeatType);
  }
}
