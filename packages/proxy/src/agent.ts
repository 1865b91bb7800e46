import { Agent } from 'node:http';
import type { ClientRequest, IncomingMessage, RequestOptions } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** Looks at the idle connections in the time after which one is closed; each wakes the process. */
const sweepsPerIdle = 5;

/** What a request asks of its connection. */
export interface ConnectionOptions extends RequestOptions {
  /** Only a connection that answered a short while ago, or a new one. */
  readonly fresh?: boolean;
}

/** Limits of the connections to one endpoint. */
export interface ConnectionLimits {
  /** Most connections at once. */
  readonly maxConnections: number;
  /** Connections that are opened ahead of need while the endpoint is in use. */
  readonly warmConnections: number;
  readonly idleMs: number;
  /** Age of the last answer up to which a connection counts as fresh. */
  readonly freshMs: number;
}

/** The request on its way, with what Node's client keeps there for agents. */
type AgentRequest = ClientRequest & {
  reusedSocket: boolean;
  res?: IncomingMessage;
  onSocket(socket: Socket | undefined): void;
};

/** One connection; its times are monotonic, in milliseconds. */
class Connection {
  readonly socket: Socket;

  #request: AgentRequest | undefined;

  #answeredAt = performance.now();

  #idleSince = this.#answeredAt;

  constructor(socket: Socket) {
    this.socket = socket;
  }

  /** When it last brought a whole answer, or was opened. */
  get answeredAt(): number {
    return this.#answeredAt;
  }

  get idleSince(): number {
    return this.#idleSince;
  }

  startRequest(request: AgentRequest): void {
    this.socket.off('data', cutIdle).off('end', cutIdle);
    this.#request = request;
    request.reusedSocket = this.socket.bytesWritten > 0;
    request.onSocket(this.socket);
  }

  endRequest(): void {
    // A request that was cancelled before it got here frees the connection unused.
    if (this.#request?.res?.complete) this.#answeredAt = performance.now();
    this.#request = undefined;
  }

  startIdle(): void {
    this.#idleSince = performance.now();
    this.socket.on('data', cutIdle).on('end', cutIdle);
  }
}

/**
 * Connections to one endpoint. Node's agent cannot ask for a fresh connection, open ahead of
 * need, or drop an idle connection that receives bytes nobody asked for.
 */
export class ConnectionAgent extends Agent {
  readonly #host: string;

  readonly #port: number;

  #limits: ConnectionLimits;

  readonly #connections = new Map<Socket, Connection>();

  /** Without a request, the one used last at the end. */
  readonly #idle: Connection[] = [];

  #waiting: AgentRequest[] = [];

  #sweep: NodeJS.Timeout | undefined;

  constructor(host: string, port: number, limits: ConnectionLimits) {
    super({ keepAlive: true });
    this.#host = host;
    this.#port = port;
    this.#limits = limits;
  }

  /** Open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** @param maxConnections - Most connections at once, from now on. */
  setMaxConnections(maxConnections: number): void {
    this.#limits = { ...this.#limits, maxConnections };
    while (this.size > maxConnections && this.#idle.length > 0) this.#dropOldest();
  }

  /** @param idleMs - Time after which connections without a request are closed, from now on. */
  setIdleMs(idleMs: number): void {
    this.#limits = { ...this.#limits, idleMs };
  }

  /** Called by Node's client for each request. */
  addRequest(request: AgentRequest, options: ConnectionOptions): void {
    const connection = this.#takeIdle(options.fresh === true);
    if (connection) connection.startRequest(request);
    else if (this.size < this.#limits.maxConnections) this.#open().startRequest(request);
    else if (this.#idle.length > 0) {
      // Only connections that are not fresh are left.
      this.#dropOldest();
      this.#open().startRequest(request);
    } else this.#waiting.push(request);
    const { maxConnections, warmConnections } = this.#limits;
    if (this.#idle.length === 0 && this.size < Math.min(warmConnections, maxConnections)) {
      this.#addIdle(this.#open());
    }
  }

  /** Closes all connections without a request. */
  dropIdle(): void {
    while (this.#idle.length > 0) this.#dropOldest();
  }

  /** @param request - A request that was destroyed, perhaps before it had a connection. */
  dropWaiting(request: ClientRequest): void {
    const index = this.#waiting.findIndex((waiting) => waiting === request);
    if (index < 0) return;
    // Without this, Node's client would never tell that the request has ended.
    this.#waiting.splice(index, 1).forEach((dropped) => dropped.onSocket(undefined));
  }

  override destroy(): void {
    clearInterval(this.#sweep);
    this.#sweep = undefined;
    this.#connections.forEach(({ socket }) => socket.destroy());
  }

  #takeIdle(fresh: boolean): Connection | undefined {
    const connection = this.#idle.at(-1);
    if (!connection) return undefined;
    if (fresh && connection.answeredAt < performance.now() - this.#limits.freshMs) return undefined;
    this.#idle.pop();
    // Bytes that nobody asked for would be read as the next answer.
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
    socket.once('end', recordEnd);
    socket.on('error', () => socket.destroy());
    socket.on('free', () => this.#free(connection));
    socket.on('close', () => this.#remove(connection));
    return connection;
  }

  #free(connection: Connection): void {
    const { socket } = connection;
    connection.endRequest();
    if (socket.destroyed || !socket.writable || this.size > this.#limits.maxConnections) {
      socket.destroy();
      return;
    }
    const next = this.#takeWaiting();
    if (next) connection.startRequest(next);
    else this.#addIdle(connection);
  }

  #addIdle(connection: Connection): void {
    connection.startIdle();
    this.#idle.push(connection);
    if (this.#sweep) return;
    const everyMs = Math.max(10, this.#limits.idleMs / sweepsPerIdle);
    this.#sweep = setInterval(() => this.#sweepIdle(), everyMs).unref();
  }

  #sweepIdle(): void {
    const oldest = performance.now() - this.#limits.idleMs;
    while (this.#idle[0] && this.#idle[0].idleSince < oldest) this.#dropOldest();
    if (this.#idle.length > 0) return;
    clearInterval(this.#sweep);
    this.#sweep = undefined;
  }

  #dropOldest(): void {
    const oldest = this.#idle.shift();
    if (!oldest) return;
    this.#connections.delete(oldest.socket);
    oldest.socket.destroy();
  }

  #remove(connection: Connection): void {
    this.#connections.delete(connection.socket);
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
    if (this.size >= this.#limits.maxConnections) return;
    const next = this.#takeWaiting();
    if (next) this.#open().startRequest(next);
  }

  #takeWaiting(): AgentRequest | undefined {
    return this.#waiting.shift();
  }
}

/** Connections whose other side has ended them in order. */
const orderlyEnded = new WeakSet<Socket>();

/**
 * Tells whether the other side has ended a connection in order, and did not reset it.
 *
 * @param socket - A connection of a `ConnectionAgent`.
 */
export function isEndedCleanly(socket: Socket): boolean {
  return orderlyEnded.has(socket) && socket.errored === null;
}

/**
 * libuv reports a reset that comes together with the last bytes as an ordinary end. A connection
 * that was reset has no peer any more; the address must not have been read before.
 */
function recordEnd(this: Socket): void {
  if (this.remoteAddress !== undefined) orderlyEnded.add(this);
}

/** An endpoint that sends on an idle connection, or ends it, is not to be asked on it again. */
function cutIdle(this: Socket): void {
  this.destroy();
}
