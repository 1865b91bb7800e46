import { Agent } from 'node:http';
import type { ClientRequest, IncomingMessage, RequestOptions } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** Number of checks for expired idle connections per `idleMs`. Each check wakes the process. */
const checksPerIdlePeriod = 5;

/** Options of a request, with its requirements on the connection. */
export interface ConnectionOptions extends RequestOptions {
  /** Whether the connection must be new or have completed a response within `freshMs`. */
  readonly requiresFreshConnection?: boolean;
}

/** Limits of the connections to one endpoint. */
export interface ConnectionLimits {
  /** Maximum number of connections. */
  readonly maxConnections: number;
  /**
   * While the endpoint is in use and has fewer connections than this, an idle connection is opened
   * ahead of demand.
   */
  readonly warmConnections: number;
  /** Time after which a connection without a request is closed, in milliseconds. */
  readonly idleMs: number;
  /**
   * Time since its last complete response, or since it was opened, for which a connection counts as
   * fresh.
   */
  readonly freshMs: number;
  /** Called when a connection without a request has ended, unless this side has closed it. */
  readonly onIdleLost?: () => void;
}

/** A request, with the undocumented members that Node's HTTP client shares with its agents. */
type AgentRequest = ClientRequest & {
  reusedSocket: boolean;
  res?: IncomingMessage;
  onSocket(socket: Socket | undefined): void;
};

/** A connection and its state. Times are monotonic, in milliseconds. */
class Connection {
  readonly socket: Socket;

  #request: AgentRequest | undefined;

  #lastUsedAt = performance.now();

  #idleSince = this.#lastUsedAt;

  constructor(socket: Socket) {
    this.socket = socket;
  }

  /** When the last response was complete, or the connection was opened. */
  get lastUsedAt(): number {
    return this.#lastUsedAt;
  }

  get idleSince(): number {
    return this.#idleSince;
  }

  startRequest(request: AgentRequest): void {
    this.socket.off('data', destroyIdle).off('end', destroyIdle);
    this.#request = request;
    request.reusedSocket = this.socket.bytesWritten > 0;
    request.onSocket(this.socket);
  }

  endRequest(): void {
    // A request that was cancelled before it got the connection releases it unused.
    if (this.#request?.res?.complete) this.#lastUsedAt = performance.now();
    this.#request = undefined;
  }

  startIdle(): void {
    this.#idleSince = performance.now();
    this.socket.on('data', destroyIdle).on('end', destroyIdle);
  }
}

/**
 * Agent that pools the connections to one endpoint. Unlike Node's agent, it can require a fresh
 * connection, open connections ahead of demand, and close an idle connection that receives
 * unsolicited bytes.
 */
export class ConnectionAgent extends Agent {
  readonly #host: string;

  readonly #port: number;

  #limits: ConnectionLimits;

  readonly #connections = new Map<Socket, Connection>();

  /** Connections without a request; the most recently used one is last. */
  readonly #idle: Connection[] = [];

  #queue: AgentRequest[] = [];

  #sweepTimer: NodeJS.Timeout | undefined;

  constructor(host: string, port: number, limits: ConnectionLimits) {
    super({ keepAlive: true });
    this.#host = host;
    this.#port = port;
    this.#limits = limits;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** Whether a connection is open that no request uses. */
  get hasIdle(): boolean {
    return this.#idle.length > 0;
  }

  /** @param maxConnections - New maximum number of connections. */
  setMaxConnections(maxConnections: number): void {
    this.#limits = { ...this.#limits, maxConnections };
    while (this.size > maxConnections && this.#idle.length > 0) this.#closeOldestIdle();
  }

  /** @param idleMs - New time after which connections without a request are closed. */
  setIdleMs(idleMs: number): void {
    this.#limits = { ...this.#limits, idleMs };
  }

  /** Assigns a connection to a request, or queues the request. Node's client calls this method. */
  addRequest(request: AgentRequest, options: ConnectionOptions): void {
    const connection = this.#takeIdle(options.requiresFreshConnection === true);
    if (connection) connection.startRequest(request);
    else if (this.size < this.#limits.maxConnections) this.#open().startRequest(request);
    else if (this.#idle.length > 0) {
      // None of the idle connections is fresh, so one of them makes room for a new connection.
      this.#closeOldestIdle();
      this.#open().startRequest(request);
    } else this.#queue.push(request);
    const { maxConnections, warmConnections } = this.#limits;
    if (this.#idle.length === 0 && this.size < Math.min(warmConnections, maxConnections)) {
      this.#addIdle(this.#open());
    }
  }

  /** Closes all connections without a request. */
  closeIdle(): void {
    while (this.#idle.length > 0) this.#closeOldestIdle();
  }

  /** @param request - A destroyed request, which may still wait for a connection. */
  removeQueued(request: ClientRequest): void {
    const index = this.#queue.findIndex((queued) => queued === request);
    if (index < 0) return;
    // Without `onSocket`, Node's client would never emit `close` for the request.
    this.#queue.splice(index, 1).forEach((removed) => removed.onSocket(undefined));
  }

  /** Destroys the requests that wait for a connection. */
  abortQueued(): void {
    const queued = this.#queue;
    this.#queue = [];
    queued.forEach((request) => {
      request.destroy(new Error('the request no longer waits for a connection'));
      request.onSocket(undefined);
    });
  }

  override destroy(): void {
    clearInterval(this.#sweepTimer);
    this.#sweepTimer = undefined;
    this.#connections.forEach(({ socket }) => socket.destroy());
  }

  #takeIdle(fresh: boolean): Connection | undefined {
    const connection = this.#idle.at(-1);
    if (!connection) return undefined;
    if (connection.idleSince < performance.now() - this.#limits.idleMs) {
      // The others have been idle for longer. The endpoint may be about to close them.
      this.closeIdle();
      return undefined;
    }
    if (fresh && connection.lastUsedAt < performance.now() - this.#limits.freshMs) return undefined;
    this.#idle.pop();
    // Unsolicited bytes would be parsed as the next response.
    if (connection.socket.writable && connection.socket.readableLength === 0) return connection;
    connection.socket.destroy();
    return this.#takeIdle(fresh);
  }

  #open(): Connection {
    const socket = connect({
      host: this.#host,
      port: this.#port,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: 1000,
    });
    const connection = new Connection(socket);
    this.#connections.set(socket, connection);
    socket.once('end', recordCleanEnd);
    socket.on('error', () => socket.destroy());
    socket.on('free', () => this.#release(connection));
    socket.on('close', () => this.#remove(connection));
    return connection;
  }

  #release(connection: Connection): void {
    const { socket } = connection;
    connection.endRequest();
    if (socket.destroyed || !socket.writable || this.size > this.#limits.maxConnections) {
      socket.destroy();
      return;
    }
    const next = this.#takeQueued();
    if (next) connection.startRequest(next);
    else this.#addIdle(connection);
  }

  #addIdle(connection: Connection): void {
    connection.startIdle();
    this.#idle.push(connection);
    if (this.#sweepTimer) return;
    const intervalMs = Math.max(10, this.#limits.idleMs / checksPerIdlePeriod);
    this.#sweepTimer = setInterval(() => this.#closeExpired(), intervalMs).unref();
  }

  #closeExpired(): void {
    const expiredBefore = performance.now() - this.#limits.idleMs;
    while (this.#idle[0] && this.#idle[0].idleSince < expiredBefore) this.#closeOldestIdle();
    if (this.#idle.length > 0) return;
    clearInterval(this.#sweepTimer);
    this.#sweepTimer = undefined;
  }

  #closeOldestIdle(): void {
    const oldest = this.#idle.shift();
    if (!oldest) return;
    this.#connections.delete(oldest.socket);
    oldest.socket.destroy();
  }

  #remove(connection: Connection): void {
    this.#connections.delete(connection.socket);
    const index = this.#idle.indexOf(connection);
    if (index >= 0) {
      this.#idle.splice(index, 1);
      this.#limits.onIdleLost?.();
    }
    if (this.size >= this.#limits.maxConnections) return;
    const next = this.#takeQueued();
    if (next) this.#open().startRequest(next);
  }

  #takeQueued(): AgentRequest | undefined {
    return this.#queue.shift();
  }
}

/**
 * Returns the method of the request to which a response was received.
 *
 * @param response - Response to a request of this process.
 */
export function getRequestMethod(response: IncomingMessage): string | undefined {
  // Node sets `req` on responses but does not declare it.
  const { req } = response as { readonly req?: ClientRequest };
  return req?.method;
}

/** Connections that have passed the check in `recordCleanEnd`. */
const cleanlyEnded = new WeakSet<Socket>();

/**
 * Returns whether the endpoint has ended a connection without a reset.
 *
 * @param socket - A connection of a `ConnectionAgent`.
 */
export function isEndedCleanly(socket: Socket): boolean {
  return cleanlyEnded.has(socket) && socket.errored === null;
}

/**
 * Records an end without a reset. libuv reports a reset that arrives together with the last bytes
 * as an ordinary end, but `remoteAddress` is then undefined. The address must not be read earlier,
 * because Node caches it.
 */
function recordCleanEnd(this: Socket): void {
  if (this.remoteAddress !== undefined) cleanlyEnded.add(this);
}

/** Destroys an idle connection on which the endpoint sent bytes or an end of stream. */
function destroyIdle(this: Socket): void {
  this.destroy();
}
