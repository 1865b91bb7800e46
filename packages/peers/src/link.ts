import type { Duplex } from 'node:stream';
import { DecoderStream, EncoderStream } from 'cbor-x';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { readMessage } from './message.js';
import type {
  MessageBody,
  MessageHandler,
  InstanceIdentity,
  Message,
  PeerError,
} from './message.js';

/** A link that sent nothing for this long sends a heartbeat. */
const heartbeatMs = 500;

/** A link that received nothing for this long is silent and is closed. */
const silentMs = 1500;

const heartbeat = 'heartbeat';
const failure = 'failure';

type Pending = (answer: Result<MessageBody, PeerError>) => void;

/** One connection to a peer. It carries CBOR items both ways and pairs answers with requests. */
export class PeerLink {
  readonly #self: InstanceIdentity;

  readonly #stream: Duplex;

  readonly #encoder = new EncoderStream();

  readonly #handlers: ReadonlyMap<string, MessageHandler>;

  readonly #pending = new Map<number, Pending>();

  readonly #timer: NodeJS.Timeout;

  #nextId = 1;

  #sentAt = performance.now();

  #receivedAt = performance.now();

  #closed = false;

  /** Called once when the link has closed. */
  onclose: () => void = () => undefined;

  /**
   * @param stream - An open, authenticated connection.
   * @param self - Who this instance is.
   * @param handlers - Answers to messages of the peer, by type.
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
    this.#encoder.pipe(stream).pipe(decoder);
    decoder.on('data', (value: unknown) => this.#receive(value));
    // Bytes that are not CBOR end the link; the peer opens a new one.
    decoder.on('error', () => this.close());
    stream.on('error', () => this.close());
    stream.on('close', () => this.close());
    this.#timer = setInterval(() => this.#checkSilence(), heartbeatMs / 2);
    this.#timer.unref();
  }

  get closed(): boolean {
    return this.#closed;
  }

  /**
   * Sends a message that needs no answer.
   *
   * @param type - Its type.
   * @param body - Its fields.
   */
  send(type: string, body: MessageBody = {}): void {
    this.#write({ type, body });
  }

  /**
   * Sends a request and waits for its answer.
   *
   * @param type - Type of the request.
   * @param body - Its fields.
   * @param timeoutMs - Longest wait, in milliseconds.
   * @returns The fields of the answer. After an error the peer may or may not have acted.
   */
  async request(
    type: string,
    body: MessageBody,
    timeoutMs: number,
  ): Promise<Result<MessageBody, PeerError>> {
    if (this.#closed) return err({ kind: 'closed', message: 'the link is closed' });
    const id = this.#nextId;
    this.#nextId += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#pending.delete(id);
        resolve(err({ kind: 'timeout', message: `no answer to ${type} in ${timeoutMs} ms` }));
      }, timeoutMs);
      this.#pending.set(id, (answer) => {
        clearTimeout(timer);
        this.#pending.delete(id);
        resolve(answer);
      });
      this.#write({ type, id, body });
    });
  }

  /** Closes the link; requests that wait for an answer fail. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    clearInterval(this.#timer);
    this.#stream.destroy();
    const error: PeerError = { kind: 'closed', message: 'the link closed before the answer' };
    [...this.#pending.values()].forEach((resolve) => resolve(err(error)));
    this.onclose();
  }

  #receive(value: unknown): void {
    this.#receivedAt = performance.now();
    const message = readMessage(value);
    if (!message) {
      this.close();
      return;
    }
    if (message.re !== undefined) this.#settle(message.re, message);
    else if (message.type !== heartbeat) void this.#handle(message);
  }

  #settle(re: number, message: Message): void {
    const text = String(message.body.message);
    const answer: Result<MessageBody, PeerError> =
      message.type === failure ? err({ kind: 'failed', message: text }) : ok(message.body);
    this.#pending.get(re)?.(answer);
  }

  async #handle(message: Message): Promise<void> {
    const { id, type, from, incarnation } = message;
    const handler = this.#handlers.get(type);
    try {
      if (!handler) throw new RangeError(`no handler for ${type}`);
      const body = await handler(message.body, { instance: from, incarnation });
      if (id !== undefined) this.#write({ type: `${type}-answer`, re: id, body });
    } catch (error) {
      const body = { message: error instanceof Error ? error.message : String(error) };
      if (id !== undefined) this.#write({ type: failure, re: id, body });
    }
  }

  #write(message: Pick<Message, 'type' | 'id' | 're' | 'body'>): void {
    if (this.#closed) return;
    this.#sentAt = performance.now();
    const { instance: from, incarnation } = this.#self;
    this.#encoder.write({ ...message, from, incarnation });
  }

  #checkSilence(): void {
    const now = performance.now();
    if (now - this.#receivedAt > silentMs) this.close();
    else if (now - this.#sentAt > heartbeatMs) this.send(heartbeat);
  }
}
