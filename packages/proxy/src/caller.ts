import { createServer } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { RequestId } from '@dotterelpass/values';
import { ResponseTurn } from './backlog.js';
import { ByteBudget } from './budget.js';
import { Cancellation } from './cancellation.js';
import { CallerConnection } from './connection.js';
import { readTarget } from './target.js';
import type { RequestTarget } from './target.js';
import { chooseRequestId } from './headers.js';
import { refuse, formatRawResponse } from './refusal.js';
import type { Refusal } from './refusal.js';
import { CallerResponse } from './response.js';

/** A call as received from its caller. */
export interface IncomingCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly id: RequestId;
  readonly target: RequestTarget;
  /** Number of earlier calls on the connection whose responses must be sent first. */
  readonly callsAhead: number;
  /** Monotonic time at which the headers were read, in milliseconds. */
  readonly receivedAt: number;
  /** The place of the response behind those of the calls ahead. */
  readonly turn: ResponseTurn;
  /** Cancelled when the caller disconnects before it has received the whole response. */
  readonly cancellation: Cancellation;
  /** Sends `100 Continue` to a caller that waits for it (`Expect: 100-continue`). */
  acceptBody(): void;
}

/** Handles a call. A rejected promise is a bug of this program and closes the connection. */
export type CallHandler = (call: IncomingCall) => Promise<void>;

/**
 * Observes the requests that the server refuses without calling the handler.
 *
 * @param refusal - The refusal that is sent.
 * @param request - The request; undefined for input that could not be parsed.
 */
export type RefusalListener = (refusal: Refusal, request: IncomingMessage | undefined) => void;

/** Limits on callers, in milliseconds and bytes. */
export interface CallerLimits {
  /** Time limit for the headers of a request. */
  readonly headersTimeoutMs: number;
  /**
   * Time after which a connection without a call is closed, or one whose caller takes nothing of a
   * response that is complete.
   */
  readonly idleMs: number;
  /**
   * Time limit for reading the rest of a body after the response to its call has been sent, and for a
   * caller to close a connection that has been ended.
   */
  readonly lingerMs: number;
  /**
   * During a stop, time for another request on a connection whose last response did not have the
   * header `Connection: close`.
   */
  readonly closeDelayMs: number;
  readonly maxHeaderBytes: number;
  /**
   * Maximum calls of a connection whose responses are not complete. Requests that are pipelined
   * beyond it are not handled: the connection closes after the responses to the earlier ones, so
   * that its caller sends them again.
   */
  readonly maxPipelinedCalls: number;
  /**
   * Maximum bytes of the responses of a connection that wait behind an earlier one. Calls beyond it
   * are handled, and responses read further, when the earlier ones have been sent.
   */
  readonly maxWaitingBytesPerConnection: number;
  /** Maximum bytes of waiting responses on all connections together. */
  readonly maxWaitingBytes: number;
  /** Maximum bytes of all responses that are kept in memory until their callers have read them. */
  readonly maxKeptBytes: number;
}

/** Requests beyond `maxPipelinedCalls` after which a connection is closed at once. */
const maxDiscardedRequests = 4096;

const defaultLimits: CallerLimits = {
  headersTimeoutMs: 10_000,
  idleMs: 60_000,
  lingerMs: 2000,
  closeDelayMs: 200,
  maxHeaderBytes: 16 * 1024,
  maxPipelinedCalls: 256,
  maxWaitingBytesPerConnection: 8 * 1024 * 1024,
  maxWaitingBytes: 128 * 1024 * 1024,
  maxKeptBytes: 48 * 1024 * 1024,
};

/** `Retry-After` of a refusal that a new connection avoids, in seconds. */
const reconnectRetryAfterSeconds = 0.01;

/** The HTTP server for callers. */
export class CallerServer {
  readonly #server: Server<typeof IncomingMessage, typeof CallerResponse>;

  readonly #handle: CallHandler;

  readonly #limits: CallerLimits;

  /** Header limit of new connections. */
  #maxHeaderBytes: number;

  readonly #onRefusal: RefusalListener;

  readonly #connections = new Map<Duplex, CallerConnection>();

  readonly #backlog: ByteBudget;

  readonly #memory: ByteBudget;

  /** Connections that may have held calls, in the order in which they began to hold them. */
  readonly #holding = new Set<CallerConnection>();

  #isReleaseScheduled = false;

  #activeCalls = 0;

  #isDraining = false;

  #isClosing = false;

  /**
   * @param handle - Handles one call.
   * @param limits - Limits that differ from the defaults.
   * @param onRefusal - Observes the requests that are refused here.
   */
  constructor(
    handle: CallHandler,
    limits: Partial<CallerLimits> = {},
    onRefusal: RefusalListener = () => undefined,
  ) {
    this.#handle = handle;
    this.#limits = { ...defaultLimits, ...limits };
    this.#maxHeaderBytes = this.#limits.maxHeaderBytes;
    this.#onRefusal = onRefusal;
    this.#backlog = new ByteBudget(this.#limits.maxWaitingBytes);
    this.#memory = new ByteBudget(this.#limits.maxKeptBytes);
    this.#server = createServer({
      ServerResponse: CallerResponse,
      headersTimeout: this.#limits.headersTimeoutMs,
      // The time for a body is limited by the deadline of its call, which rules may set high.
      requestTimeout: 0,
      connectionsCheckingInterval: Math.min(1000, this.#limits.headersTimeoutMs),
      maxHeaderSize: this.#limits.maxHeaderBytes,
      keepAliveTimeout: this.#limits.idleMs,
      insecureHTTPParser: false,
      // `readTarget` checks the Host header instead, so that the refusal has the usual format.
      requireHostHeader: false,
      noDelay: true,
    });
    this.#server.on('connection', (socket) => this.#addConnection(socket));
    this.#server.on('request', (request, response) => this.#handleRequest(request, response));
    this.#server.on('checkContinue', (request, response) => this.#handleRequest(request, response));
    this.#server.on('checkExpectation', (request, response) => {
      const message = 'the only supported expectation is 100-continue';
      const refusal = { status: 417, verdict: 'not-run', message } as const;
      this.#refuseRequest(request, response, chooseRequestId(undefined), refusal);
    });
    this.#server.on('connect', (_request, socket) => this.#rejectTunnel(socket));
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (error.code === 'ECONNRESET' || !socket.writable) socket.destroy();
      else this.#rejectInput(socket, this.#makeInputRefusal(socket, error));
    });
  }

  /** Number of calls whose response is not complete. */
  get activeCalls(): number {
    return this.#activeCalls;
  }

  /** Bytes that are reserved for responses that wait behind earlier ones. */
  get waitingBytes(): number {
    return this.#backlog.bytes;
  }

  /** Bytes of responses that are kept in memory until their callers have read them. */
  get keptBytes(): number {
    return this.#memory.bytes;
  }

  /**
   * Starts to listen for callers.
   *
   * @param ip - IP address to listen on.
   * @param port - Port, 0 for any free port.
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
   * Sets limits that apply to new connections and requests.
   *
   * @param limits - Limits in bytes and milliseconds.
   */
  setLimits(limits: Pick<CallerLimits, 'headersTimeoutMs' | 'idleMs' | 'maxHeaderBytes'>): void {
    this.#server.headersTimeout = limits.headersTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleMs;
    // Node reads `maxHeaderSize` for each new connection.
    this.#maxHeaderBytes = limits.maxHeaderBytes;
    Object.assign(this.#server, { maxHeaderSize: limits.maxHeaderBytes });
  }

  /** Makes the last response on each connection ask the caller to close the connection. */
  startDraining(): void {
    this.#isDraining = true;
    this.#connections.forEach((connection) => connection.markLastResponse());
  }

  /**
   * Stops accepting connections, lets calls in flight finish, and closes each connection after its
   * last response.
   *
   * @param maxMs - Time after which connections that are still open are destroyed, in milliseconds.
   */
  async close(maxMs: number): Promise<void> {
    this.startDraining();
    this.#isClosing = true;
    const closed = new Promise<void>((resolve) => {
      // The method of the HTTP server also destroys connections whose last response has been written
      // but not yet sent to a caller that reads slowly.
      NetServer.prototype.close.call(this.#server, () => resolve());
    });
    this.#connections.forEach(({ calls }, socket) => {
      if (calls.size === 0) this.#endConnection(socket, '', this.#limits.closeDelayMs);
    });
    const timer = setTimeout(() => this.#server.closeAllConnections(), maxMs);
    await closed;
    clearTimeout(timer);
    // Ends the timer with which the HTTP server checks its connections.
    this.#server.close();
  }

  #addConnection(socket: Socket): void {
    const connection = new CallerConnection(
      this.#maxHeaderBytes,
      this.#limits.maxWaitingBytesPerConnection,
      this.#backlog,
    );
    this.#connections.set(socket, connection);
    this.#delayDestroy(socket, connection);
    socket.on('close', () => {
      this.#connections.delete(socket);
      this.#holding.delete(connection);
      this.#activeCalls -= connection.calls.size;
      connection.close();
    });
  }

  #handleRequest(request: IncomingMessage, response: CallerResponse): void {
    const { socket } = request;
    const connection = this.#connections.get(socket);
    if (!connection) return;
    if (!socket.writable) {
      // The request arrived after this side had ended the connection, so no response can be sent.
      socket.destroy();
      return;
    }
    const callsAhead = connection.calls.size;
    if (callsAhead >= this.#limits.maxPipelinedCalls || connection.isLastRequestRead) {
      this.#discardRequest(socket, connection);
      return;
    }
    const cancellation = new Cancellation();
    const { backlog } = connection;
    const turn = new ResponseTurn(backlog, this.#memory, () => this.#scheduleHeldCalls());
    connection.addCall(response, { cancellation, turn });
    this.#activeCalls += 1;
    response.on('prefinish', () => this.#limitIdleTime(socket));
    response.on('finish', () => this.#finishCall(socket, response, connection));
    if (this.#isDraining) connection.markLastResponse();
    const acceptBody = () => response.acceptBody();
    const id = chooseRequestId(request.headers['x-request-id']);
    const target = readTarget(request);
    if (target.isErr()) {
      this.#refuseRequest(request, response, id, target.error);
      return;
    }
    const call: IncomingCall = {
      request,
      response,
      id,
      target: target.value,
      callsAhead,
      receivedAt: performance.now(),
      turn,
      cancellation,
      acceptBody,
    };
    const start = () => {
      this.#handle(call).catch(() => socket.destroy());
    };
    connection.heldCalls.push({ turn, start });
    this.#startHeldCalls(connection);
  }

  /** Closes the connection if its caller stops to read the response that has just been written. */
  #limitIdleTime(socket: Socket): void {
    if (socket.writableLength > 0) socket.setTimeout(this.#server.keepAliveTimeout);
  }

  #startHeldCalls(connection: CallerConnection): void {
    connection.startHeldCalls();
    if (connection.heldCalls.length > 0) this.#holding.add(connection);
    else this.#holding.delete(connection);
  }

  /** Handles held calls in the next turn of the event loop, after the present one has ended. */
  #scheduleHeldCalls(): void {
    if (this.#isReleaseScheduled || this.#holding.size === 0) return;
    this.#isReleaseScheduled = true;
    setImmediate(() => {
      this.#isReleaseScheduled = false;
      [...this.#holding].forEach((connection) => this.#startHeldCalls(connection));
    });
  }

  #discardRequest(socket: Socket, connection: CallerConnection): void {
    connection.discardRequest();
    if (connection.discardedRequests > maxDiscardedRequests) socket.destroy();
  }

  #finishCall(socket: Socket, response: CallerResponse, connection: CallerConnection): void {
    if (!connection.removeCall(response)) return;
    this.#activeCalls -= 1;
    const { req } = response;
    // Uses `socket` because `response.socket` is already null.
    if (!req.complete || req.readableLength > 0) this.#drainBody(socket, req);
    try {
      connection.startNextTurn(this.#isDraining);
    } catch {
      // The held response of the next call cannot be written.
      socket.destroy();
      return;
    }
    if (connection.heldCalls.length > 0) this.#startHeldCalls(connection);
    if (connection.calls.size > 0) {
      socket.setTimeout(0);
      return;
    }
    if (connection.finalResponse !== undefined) {
      this.#endConnection(socket, connection.finalResponse);
    } else if (this.#isClosing) this.#endAfterDelay(socket, connection);
  }

  /**
   * Ends a connection after `closeDelayMs`. A caller that got no `Connection: close` may already
   * have sent its next request.
   */
  #endAfterDelay(socket: Socket, { calls }: CallerConnection): void {
    const timer = setTimeout(() => {
      if (calls.size === 0) socket.end();
    }, this.#limits.closeDelayMs);
    socket.once('close', () => clearTimeout(timer));
  }

  /** Ends a connection with its last bytes; its caller may leave it open for a while. */
  #endConnection(socket: Duplex, lastBytes: string, maxMs = this.#limits.lingerMs): void {
    socket.end(lastBytes);
    const timer = setTimeout(() => socket.destroy(), maxMs);
    socket.once('close', () => clearTimeout(timer));
  }

  /**
   * Makes a connection outlive its last response until the request's body has been read, which Node
   * destroys right after that response: what arrives of the body then would reset the connection
   * before the caller has received the response.
   */
  #delayDestroy(socket: Socket, connection: CallerConnection): void {
    const destroySoon = socket.destroySoon.bind(socket);
    Object.assign(socket, {
      destroySoon: () => {
        const request = connection.lastResponse?.req;
        if (!request || request.complete) {
          destroySoon();
          return;
        }
        socket.end();
        request.once('end', destroySoon);
      },
    });
  }

  /**
   * Reads and discards the rest of a body, so that the next request on the connection is read.
   * Closing the connection at once would reset it before the caller has received the response.
   */
  #drainBody(socket: Socket, request: IncomingMessage): void {
    request.resume();
    if (request.complete) return;
    const timer = setTimeout(() => {
      // Once the body is complete, later calls of the connection may be under way.
      if (!request.complete) socket.destroy();
    }, this.#limits.lingerMs);
    // After a response, Node no longer tells its request that the connection has closed.
    const destroy = () => request.destroy();
    socket.once('close', destroy);
    request.once('close', () => {
      clearTimeout(timer);
      socket.off('close', destroy);
    });
  }

  #refuseRequest(
    request: IncomingMessage,
    response: ServerResponse,
    id: RequestId,
    refusal: Refusal,
  ): void {
    this.#onRefusal(refusal, request);
    refuse(response, id, refusal);
  }

  #makeInputRefusal(socket: Duplex, error: NodeJS.ErrnoException): Refusal {
    const maxHeaderBytes = this.#connections.get(socket)?.maxHeaderBytes ?? Infinity;
    if (error.code !== 'HPE_HEADER_OVERFLOW' || maxHeaderBytes >= this.#maxHeaderBytes) {
      return makeRefusal(error);
    }
    // The limit in force may allow the headers, and callers do not retry after a 431 response.
    const message = 'the headers exceed the limit of this connection, which has been raised since';
    return {
      status: 503,
      verdict: 'not-run',
      message,
      retryAfterSeconds: reconnectRetryAfterSeconds,
    };
  }

  /** Refuses a CONNECT request. From then on, Node neither reads the connection nor handles its errors. */
  #rejectTunnel(socket: Duplex): void {
    const hasCalls = () => (this.#connections.get(socket)?.calls.size ?? 0) > 0;
    socket.on('error', () => socket.destroy());
    socket.on('end', () => hasCalls() && socket.destroy());
    socket.resume();
    const message = 'CONNECT is not supported';
    this.#rejectInput(socket, { status: 501, verdict: 'not-run', message });
  }

  /** Refuses malformed input, after the responses to the requests that came before it. */
  #rejectInput(socket: Duplex, refusal: Refusal): void {
    const connection = this.#connections.get(socket);
    const response = formatRawResponse(chooseRequestId(undefined), refusal);
    const last = connection?.lastResponse;
    // The handler of a call learns of a failure of its body below.
    if (!last || last.req.complete) this.#onRefusal(refusal, undefined);
    if (!connection || !last) {
      this.#endConnection(socket, response);
      return;
    }
    connection.setFinalResponse(last.req.complete ? response : '');
    if (last.req.complete) return;
    last.shouldKeepAlive = false;
    last.req.on('error', () => undefined);
    // Destroying the request would also abort the responses to the calls before it.
    last.req.emit('error', new Error(refusal.message));
  }
}

function makeRefusal(error: NodeJS.ErrnoException): Refusal {
  const verdict = 'not-run';
  if (error.code === 'HPE_HEADER_OVERFLOW') {
    return { status: 431, verdict, message: 'the headers are too large' };
  }
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return { status: 408, verdict, message: 'the request did not arrive in time' };
  }
  return { status: 400, verdict, message: `the request is malformed: ${error.message}` };
}
