import { request } from 'node:http';
import type { Agent, ClientRequest, IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { isFinalStatus } from '@dotterelpass/values';
import type { RetryFailure, Verdict } from '@dotterelpass/values';
import { ConnectionAgent } from './agent.js';
import type { ConnectionLimits, ConnectionOptions } from './agent.js';
import { BodyError, makeFramingHeaders } from './body.js';
import type { RequestBody } from './body.js';
import type { Cancellation } from './cancellation.js';
import { limitHead } from './framing.js';
import type { HeaderList } from './headers.js';
import { StallDetector } from './stall.js';
import type { StallLimits } from './stall.js';
import { writeBody } from './upload.js';

/** One attempt of a request at an endpoint. */
export interface Attempt {
  readonly method: string;
  readonly path: string;
  /** Headers without those that `makeFramingHeaders` adds for the body. */
  readonly headers: HeaderList;
  readonly body: RequestBody;
  /** Time limit for the headers of the response, in milliseconds. */
  readonly timeoutMs: number;
  /** Cancels the attempt by closing its connection to the endpoint. */
  readonly cancellation?: Cancellation | undefined;
  /** Whether the attempt may be cancelled once it has a connection; true by default. */
  readonly mayCancelSent?: boolean;
  /** Whether the connection must be new or have completed a response within `freshMs`. */
  readonly requiresFreshConnection?: boolean;
  /** Called for each informational response (1xx). */
  readonly onInformation?: (status: number) => void;
}

/** Reason why an attempt got no response. */
export interface AttemptFailure {
  readonly kind: RetryFailure | 'cancelled' | 'bad-answer' | 'bad-body';
  readonly verdict: Verdict;
  readonly message: string;
  /** Status of the refusal when the body from the caller caused the failure. */
  readonly status?: number;
}

/**
 * What the port of an endpoint does with a new connection: `ends` when it accepts the connection and
 * ends it at once, `silent` when it does nothing in time.
 */
export type PortState = 'accepts' | 'refuses' | 'ends' | 'silent';

/** Limits of a pool. */
export interface PoolLimits extends ConnectionLimits, StallLimits {
  /**
   * Time limit for opening a connection, in milliseconds; also for a load report, unless
   * `readCallCount` is given.
   */
  readonly connectTimeoutMs: number;
  /**
   * Whether close-delimited responses are accepted, which have neither a length nor chunks and end
   * with their connection. Their reader must distinguish a clean end from a reset, by the error of
   * the request and by `isEndedCleanly`.
   */
  readonly allowCloseDelimited: boolean;
  /**
   * Reads how many calls the endpoint has, on a new connection and within the probe budget;
   * undefined when the number is not available. By default the endpoint is asked without a budget.
   */
  readonly readCallCount?: () => Promise<number | undefined>;
}

const defaultLimits: PoolLimits = {
  maxConnections: 200,
  warmConnections: 0,
  idleMs: 15_000,
  freshMs: 2000,
  connectTimeoutMs: 1000,
  allowCloseDelimited: false,
  stallMs: 1000,
  confirmMs: 250,
};

const maxReportChars = 16 * 1024;

/** Maximum number of informational responses (1xx) to one request. */
const maxInformationalResponses = 64;

/** Error codes of Node's HTTP parser. */
const parserErrorPattern = /^HPE_/;

/** Pool of connections to one endpoint. */
export class ConnectionPool {
  readonly #host: string;

  readonly #port: number;

  readonly #limits: PoolLimits;

  readonly #agent: ConnectionAgent;

  readonly #stallDetector: StallDetector;

  /**
   * @param address - IP address and port of the endpoint.
   * @param maxConnections - Maximum number of connections that this instance opens to the endpoint.
   * @param limits - Limits that differ from the defaults.
   */
  constructor(address: string, maxConnections: number, limits: Partial<PoolLimits> = {}) {
    const [host = '', port = ''] = address.split(':');
    this.#host = host;
    this.#port = Number(port);
    this.#limits = { ...defaultLimits, ...limits, maxConnections };
    this.#agent = new ConnectionAgent(host, this.#port, this.#limits);
    this.#stallDetector = new StallDetector(
      limits.readCallCount ?? (() => this.#requestCallCount()),
      this.#limits,
      // The network failure that stalled one connection may affect the idle connections, too.
      () => this.#agent.closeIdle(),
    );
  }

  /** Number of open connections. */
  get size(): number {
    return this.#agent.size;
  }

  /** Whether a connection is open that no request uses. */
  get hasIdle(): boolean {
    return this.#agent.hasIdle;
  }

  /** Agent for requests other than calls, such as health probes. */
  get agent(): Agent {
    return this.#agent;
  }

  /** @param outgoing - A destroyed request on `agent`, which may still wait for a connection. */
  removeQueued(outgoing: ClientRequest): void {
    this.#agent.removeQueued(outgoing);
  }

  /** @param maxConnections - New maximum number of connections. */
  setMaxConnections(maxConnections: number): void {
    this.#agent.setMaxConnections(maxConnections);
  }

  /** @param idleMs - New time after which connections without a request are closed. */
  setIdleMs(idleMs: number): void {
    this.#agent.setIdleMs(idleMs);
  }

  /** Closes the connections without a request. */
  closeIdle(): void {
    this.#agent.closeIdle();
  }

  /** Ends the requests that wait for a connection; no byte of them has been sent. */
  abortQueued(): void {
    this.#agent.abortQueued();
  }

  /** Closes idle connections now, and each of the others when its request has ended. */
  drain(): void {
    this.#stallDetector.close();
    this.#agent.setMaxConnections(0);
  }

  /**
   * Sends a request and waits for the headers of the response.
   *
   * @param attempt - The request.
   * @returns The response, whose body is still to be read, or the failure and its verdict.
   */
  async send(attempt: Attempt): Promise<Result<IncomingMessage, AttemptFailure>> {
    const framing = makeFramingHeaders(attempt.body, attempt.method);
    const options: ConnectionOptions = {
      agent: this.#agent,
      host: this.#host,
      port: this.#port,
      method: attempt.method,
      path: attempt.path,
      headers: framing.length > 0 ? [...attempt.headers, ...framing] : attempt.headers,
      requiresFreshConnection: attempt.requiresFreshConnection === true,
    };
    const outgoing = request(options);
    this.#stallDetector.add(outgoing);
    const response = this.#waitForResponse(outgoing, attempt);
    writeBody(outgoing, attempt.body);
    return response;
  }

  /**
   * Opens a connection, to see whether the endpoint accepts new ones.
   *
   * @param holdMs - Time for which the connection must last, in milliseconds.
   */
  async checkPort(holdMs = 0): Promise<PortState> {
    return new Promise((resolve) => {
      const socket = connect({ host: this.#host, port: this.#port });
      let closedState: PortState = 'silent';
      socket.setTimeout(this.#limits.connectTimeoutMs, () => socket.destroy());
      socket.on('connect', () => {
        closedState = 'ends';
        setTimeout(() => {
          resolve('accepts');
          socket.destroy();
        }, holdMs);
      });
      socket.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNREFUSED') closedState = 'refuses';
      });
      socket.on('close', () => resolve(closedState));
      socket.resume();
    });
  }

  /**
   * Checks whether the endpoint refuses new connections, as it does after its process has ended.
   *
   * @returns False when the endpoint accepts the connection or does not respond in time.
   */
  async isRefusingConnections(): Promise<boolean> {
    return (await this.checkPort()) === 'refuses';
  }

  /** Closes all connections. */
  close(): void {
    this.#stallDetector.close();
    this.#agent.destroy();
  }

  async #waitForResponse(
    outgoing: ClientRequest,
    attempt: Attempt,
  ): Promise<Result<IncomingMessage, AttemptFailure>> {
    const { connectTimeoutMs } = this.#limits;
    return new Promise((resolve) => {
      // Until the connection is established, no byte of the request can have left this process.
      let verdict: Verdict = 'not-run';
      let kind: AttemptFailure['kind'] | undefined;
      const fail = (reason: AttemptFailure['kind'], message: string) => {
        kind = reason;
        outgoing.destroy(new Error(message));
        this.#agent.removeQueued(outgoing);
      };
      const timer = setTimeout(
        () => fail('timeout', `no response within ${Math.round(attempt.timeoutMs)} ms`),
        attempt.timeoutMs,
      );
      let connectTimer: NodeJS.Timeout | undefined;
      const cancel = () => {
        if (verdict === 'not-run' || attempt.mayCancelSent !== false) {
          fail('cancelled', 'the call was cancelled');
        }
      };
      const finish = (result: Result<IncomingMessage, AttemptFailure>) => {
        clearTimeout(timer);
        clearTimeout(connectTimer);
        attempt.cancellation?.removeListener(cancel);
        resolve(result);
      };
      outgoing.on('socket', (socket) => {
        if (!socket.connecting) {
          verdict = 'may-have-run';
          return;
        }
        const message = `no connection within ${connectTimeoutMs} ms`;
        connectTimer = setTimeout(() => fail('connect', message), connectTimeoutMs);
        socket.once('connect', () => {
          clearTimeout(connectTimer);
          verdict = 'may-have-run';
        });
      });
      limitHead(outgoing, () => fail('bad-answer', 'too many bytes before a response'));
      let informationalResponses = 0;
      outgoing.on('information', ({ statusCode }) => {
        informationalResponses += 1;
        if (informationalResponses > maxInformationalResponses) {
          fail('bad-answer', `more than ${maxInformationalResponses} informational responses`);
        } else attempt.onInformation?.(statusCode);
      });
      outgoing.on('response', (response) => {
        const { statusCode = 0 } = response;
        if (!isFinalStatus(statusCode)) {
          fail('bad-answer', `the response has the invalid status ${statusCode}`);
        } else if (
          !this.#limits.allowCloseDelimited &&
          isCloseDelimited(response, attempt.method)
        ) {
          fail('bad-answer', 'the response has neither a length nor chunks');
        } else finish(ok(response));
      });
      // A protocol switch that was not requested is not a response to the request.
      outgoing.on('upgrade', () =>
        fail('bad-answer', 'the endpoint switched protocols without being asked to'),
      );
      outgoing.on('error', (error) => {
        const reason = kind ?? classifyFailure(error, verdict);
        const status = error instanceof BodyError ? { status: error.status } : {};
        finish(err({ kind: reason, verdict, message: error.message, ...status }));
      });
      outgoing.on('close', () => {
        const message = 'the connection ended without a response';
        finish(err({ kind: kind ?? classifyFailure(undefined, verdict), verdict, message }));
      });
      attempt.cancellation?.addListener(cancel);
    });
  }

  /** Reads the number of calls from the endpoint's load report, on a new connection. */
  async #requestCallCount(): Promise<number | undefined> {
    const timeoutMs = this.#limits.connectTimeoutMs;
    return new Promise((resolve) => {
      const probe = request(
        { agent: false, host: this.#host, port: this.#port, path: '/.well-known/load' },
        (response) => {
          let text = '';
          response.setEncoding('utf8');
          response.on('data', (chunk: string) => {
            text += chunk;
            if (text.length > maxReportChars) probe.destroy();
          });
          response.on('end', () =>
            resolve(response.statusCode === 200 ? parseCallCount(text) : undefined),
          );
          response.on('error', () => resolve(undefined));
        },
      );
      const timer = setTimeout(() => probe.destroy(), timeoutMs);
      probe.on('error', () => resolve(undefined));
      probe.on('close', () => {
        clearTimeout(timer);
        resolve(undefined);
      });
      probe.end();
    });
  }
}

function parseCallCount(text: string): number | undefined {
  try {
    const report = JSON.parse(text) as { named_metrics?: Record<string, unknown> };
    const { slots_in_use: inUse, queued = 0 } = report.named_metrics ?? {};
    return typeof inUse === 'number' && typeof queued === 'number' ? inUse + queued : undefined;
  } catch {
    return undefined;
  }
}

function classifyFailure(error: Error | undefined, verdict: Verdict): AttemptFailure['kind'] {
  if (error instanceof BodyError) return 'bad-body';
  if (isParserError(error)) return 'bad-answer';
  return verdict === 'not-run' ? 'connect' : 'reset';
}

/** Returns whether an error of a request means that the response is not valid HTTP. */
export function isParserError(error: NodeJS.ErrnoException | undefined): boolean {
  return parserErrorPattern.test(error?.code ?? '');
}

/**
 * Whether the connection of a response has carried an earlier request.
 *
 * @param response - Response to a request of this process.
 */
export function isOnReusedConnection(response: IncomingMessage): boolean {
  // Node sets `req` on responses but does not declare it.
  const { req } = response as { readonly req?: ClientRequest };
  return req?.reusedSocket === true;
}

/** Returns whether the response ends with its connection, so that truncation is undetectable. */
function isCloseDelimited(response: IncomingMessage, method: string): boolean {
  const status = response.statusCode ?? 0;
  if (method === 'HEAD' || status === 204 || status === 304) return false;
  const { 'content-length': length, 'transfer-encoding': encoding } = response.headers;
  return length === undefined && encoding?.toLowerCase() !== 'chunked';
}
