import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { RequestId } from '@dotterelpass/values';
import { Cancellation } from './cancellation.js';
import { readTarget } from './target.js';
import type { Target } from './target.js';
import { makeRequestId } from './headers.js';
import { refuse, toRawAnswer } from './refusal.js';
import type { Refusal } from './refusal.js';

/** A call as it came from its caller. */
export interface IncomingCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly id: RequestId;
  readonly target: Target;
  /** The caller leaves before it has the whole answer. */
  readonly gone: Cancellation;
  /** Tells a caller that asked first (`Expect: 100-continue`) to send the body. */
  acceptBody(): void;
}

/** Answers calls. A handler that throws is a fault of this program. */
export type CallHandler = (call: IncomingCall) => Promise<void>;

/** Limits on callers, in milliseconds and bytes. */
export interface CallerLimits {
  /** Time for a request's headers to come. */
  readonly headersTimeoutMs: number;
  /** Time that a connection without a call stays open. */
  readonly idleMs: number;
  /** Time to take in the rest of a body after its call has been answered. */
  readonly lingerMs: number;
  /** Time for a next request after an answer that did not ask to close, during a stop. */
  readonly closeMs: number;
  readonly maxHeaderBytes: number;
}

const defaultLimits: CallerLimits = {
  headersTimeoutMs: 10_000,
  idleMs: 60_000,
  lingerMs: 2000,
  closeMs: 200,
  maxHeaderBytes: 16 * 1024,
};

/** One connection of a caller. */
interface Connection {
  /** Calls without a whole answer, oldest first. */
  readonly calls: Map<ServerResponse, Cancellation>;
  /**
   * Answer to bytes that are no request; it follows the answers to the calls before them. It is
   * empty when the bytes belong to the body of the last call, which is told itself.
   */
  lastAnswer?: string;
}

/** The HTTP server for callers. */
export class CallerServer {
  readonly #server: Server;

  readonly #handle: CallHandler;

  readonly #limits: CallerLimits;

  readonly #connections = new Map<Duplex, Connection>();

  #active = 0;

  #draining = false;

  #closing = false;

  /**
   * @param handle - Answers one call.
   * @param limits - Limits that differ from the defaults.
   */
  constructor(handle: CallHandler, limits: Partial<CallerLimits> = {}) {
    this.#handle = handle;
    this.#limits = { ...defaultLimits, ...limits };
    this.#server = createServer({
      headersTimeout: this.#limits.headersTimeoutMs,
      // The deadline of its call bounds the time of a body, and rules may allow long ones.
      requestTimeout: 0,
      connectionsCheckingInterval: Math.min(1000, this.#limits.headersTimeoutMs),
      maxHeaderSize: this.#limits.maxHeaderBytes,
      keepAliveTimeout: this.#limits.idleMs,
      insecureHTTPParser: false,
      // Checked with the rest of the target, so that the refusal is like all others.
      requireHostHeader: false,
      noDelay: true,
    });
    this.#server.on('connection', (socket) => this.#accept(socket));
    this.#server.on('request', (request, response) => this.#serve(request, response));
    this.#server.on('checkContinue', (request, response) => this.#serve(request, response));
    this.#server.on('checkExpectation', (_request, response: ServerResponse) => {
      const message = 'the only expectation that is supported is 100-continue';
      refuse(response, makeRequestId(undefined), { status: 417, verdict: 'not-run', message });
    });
    this.#server.on('connect', (_request, socket) => {
      const message = 'CONNECT is not supported';
      this.#endWith(socket, { status: 501, verdict: 'not-run', message });
    });
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (error.code === 'ECONNRESET' || !socket.writable) socket.destroy();
      else this.#endWith(socket, toRefusal(error));
    });
  }

  /** Calls that have not been answered yet. */
  get active(): number {
    return this.#active;
  }

  /**
   * Starts to listen.
   *
   * @param ip - IP address.
   * @param port - Port, 0 for any free one.
   * @returns The port.
   */
  async listen(ip: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /**
   * Changes limits of connections and requests that come from now on.
   *
   * @param bounds - Limits in bytes and milliseconds.
   */
  setLimits(bounds: Pick<CallerLimits, 'headersTimeoutMs' | 'idleMs' | 'maxHeaderBytes'>): void {
    this.#server.headersTimeout = bounds.headersTimeoutMs;
    this.#server.keepAliveTimeout = bounds.idleMs;
    // Read by Node for each new connection.
    Object.assign(this.#server, { maxHeaderSize: bounds.maxHeaderBytes });
  }

  /** From now on the last answer of each connection asks its caller to close it. */
  startDraining(): void {
    this.#draining = true;
    this.#connections.forEach(({ calls }) => {
      const last = [...calls.keys()].at(-1);
      if (last && !last.headersSent) last.shouldKeepAlive = false;
    });
  }

  /**
   * Stops accepting, lets calls in flight end and closes each connection after its last answer.
   *
   * @param maxMs - Connections still open after this time are cut.
   */
  async close(maxMs: number): Promise<void> {
    this.startDraining();
    this.#closing = true;
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    this.#connections.forEach(({ calls }, socket) => {
      if (calls.size === 0) socket.end();
    });
    const cut = setTimeout(() => this.#server.closeAllConnections(), maxMs);
    await closed;
    clearTimeout(cut);
  }

  #accept(socket: Socket): void {
    const connection: Connection = { calls: new Map() };
    this.#connections.set(socket, connection);
    socket.on('close', () => {
      this.#connections.delete(socket);
      const { calls } = connection;
      this.#active -= calls.size;
      calls.forEach((gone) => gone.cancel());
      calls.clear();
    });
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const connection = this.#connections.get(socket);
    if (!connection) return;
    if (!socket.writable) {
      // The request crossed the end of its connection: nobody could be given the answer.
      socket.destroy();
      return;
    }
    // Node drops what was pipelined behind an answer that closes.
    if (this.#draining) connection.calls.forEach((_gone, earlier) => keepAlive(earlier));
    const gone = new Cancellation();
    connection.calls.set(response, gone);
    this.#active += 1;
    response.on('finish', () => this.#finish(socket, response, connection));
    if (this.#draining) response.shouldKeepAlive = false;
    // Node closes the connection of a caller that was not told to go on: its next request could
    // stand where the body was awaited.
    const acceptBody = () => {
      if (request.headers.expect !== undefined) response.writeContinue();
    };
    const id = makeRequestId(request.headers['x-request-id']);
    const target = readTarget(request);
    if (target.isErr()) {
      refuse(response, id, target.error);
      return;
    }
    const call = { request, response, id, target: target.value, gone, acceptBody };
    this.#handle(call).catch(() => socket.destroy());
  }

  #finish(socket: Socket, response: ServerResponse, connection: Connection): void {
    if (!connection.calls.delete(response)) return;
    this.#active -= 1;
    // The response's own reference to the connection is gone by now.
    if (!response.req.complete) this.#endBody(socket, response.req);
    if (connection.calls.size > 0) return;
    if (connection.lastAnswer !== undefined) socket.end(connection.lastAnswer);
    else if (this.#closing) this.#endSoon(socket, connection);
  }

  /** A caller that was not asked to close may have sent its next request already. */
  #endSoon(socket: Socket, { calls }: Connection): void {
    const timer = setTimeout(() => {
      if (calls.size === 0) socket.end();
    }, this.#limits.closeMs);
    socket.once('close', () => clearTimeout(timer));
  }

  /** Takes in the rest of a body: closing at once would reset the answer on its way. */
  #endBody(socket: Socket, request: IncomingMessage): void {
    request.resume();
    const timer = setTimeout(() => socket.destroy(), this.#limits.lingerMs);
    request.once('close', () => clearTimeout(timer));
  }

  /** Refuses what is no request, behind the answers to the requests that came before it. */
  #endWith(socket: Duplex, refusal: Refusal): void {
    const connection = this.#connections.get(socket);
    const answer = toRawAnswer(makeRequestId(undefined), refusal);
    const last = [...(connection?.calls.keys() ?? [])].at(-1);
    if (!connection || !last) {
      socket.end(answer);
      return;
    }
    connection.lastAnswer = last.req.complete ? answer : '';
    if (last.req.complete) return;
    last.shouldKeepAlive = false;
    last.req.on('error', () => undefined);
    // Destroying the request instead would cut the answers of the calls before it.
    last.req.emit('error', new Error(refusal.message));
  }
}

function keepAlive(response: ServerResponse): void {
  if (!response.headersSent) response.shouldKeepAlive = true;
}

function toRefusal(error: NodeJS.ErrnoException): Refusal {
  const verdict = 'not-run';
  if (error.code === 'HPE_HEADER_OVERFLOW') {
    return { status: 431, verdict, message: 'the headers are too large' };
  }
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return { status: 408, verdict, message: 'the request did not come in time' };
  }
  return { status: 400, verdict, message: `the request is malformed: ${error.message}` };
}
