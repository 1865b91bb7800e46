import { request } from 'node:http';
import type { Agent, ClientRequest, IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RetryFailure, Verdict } from '@dotterelpass/values';
import { ConnectionAgent } from './agent.js';
import type { ConnectionLimits, ConnectionOptions } from './agent.js';
import { BodyError, makeFraming, writeBody } from './body.js';
import type { RequestBody } from './body.js';
import type { Cancellation } from './cancellation.js';
import type { HeaderList } from './headers.js';
import { SilenceWatch } from './stall.js';
import type { SilenceLimits } from './stall.js';

/** One try to have an endpoint answer a request. */
export interface Attempt {
  readonly method: string;
  readonly path: string;
  /** Without the headers that frame the body. */
  readonly headers: HeaderList;
  readonly body: RequestBody;
  /** Time until the headers of the answer must have come, in milliseconds. */
  readonly timeoutMs: number;
  /** Cancels the attempt; the endpoint sees its connection close. */
  readonly cancellation?: Cancellation | undefined;
  /** Whether only a connection that answered a short while ago, or a new one, will do. */
  readonly requiresFreshConnection?: boolean;
  /** Called for each informational answer (1xx). */
  readonly onInformation?: (status: number) => void;
}

/** Why an attempt gave no answer. */
export interface AttemptFailure {
  readonly kind: RetryFailure | 'cancelled' | 'bad-answer' | 'bad-body';
  readonly verdict: Verdict;
  readonly message: string;
  /** Status for the caller when its own body is at fault. */
  readonly status?: number;
}

/** Limits of a pool; all have defaults. */
export interface PoolLimits extends ConnectionLimits, SilenceLimits {
  readonly connectTimeoutMs: number;
  /**
   * Whether answers without a length are taken, whose end is that of their connection. Who reads
   * them must tell an orderly end from a reset by the error of the request.
   */
  readonly allowCloseDelimited: boolean;
  /**
   * Reads how many calls the endpoint has, on a new connection and within the budget for
   * measuring; undefined when it is not told. By default the endpoint is asked at any time.
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

const maxReportLength = 16 * 1024;

/** Errors of a connection that say that an endpoint's answer is not HTTP. */
const badAnswer = /^HPE_/;

/** Connections to one endpoint. */
export class ConnectionPool {
  readonly #host: string;

  readonly #port: number;

  readonly #limits: PoolLimits;

  readonly #agent: ConnectionAgent;

  readonly #silence: SilenceWatch;

  /**
   * @param address - IP address and port of the endpoint.
   * @param maxConnections - Most connections that this instance opens to it.
   * @param limits - Limits that differ from the defaults.
   */
  constructor(address: string, maxConnections: number, limits: Partial<PoolLimits> = {}) {
    const [host = '', port = ''] = address.split(':');
    this.#host = host;
    this.#port = Number(port);
    this.#limits = { ...defaultLimits, ...limits, maxConnections };
    this.#agent = new ConnectionAgent(host, this.#port, this.#limits);
    this.#silence = new SilenceWatch(
      limits.readCallCount ?? (() => this.#readLoad()),
      this.#limits,
      // What silenced one connection may have silenced the idle ones, too.
      () => this.#agent.dropIdle(),
    );
  }

  /** Open connections. */
  get size(): number {
    return this.#agent.size;
  }

  /** The connections, for requests that are no calls, such as liveness checks. */
  get agent(): Agent {
    return this.#agent;
  }

  /** @param outgoing - A request on `agent` that was destroyed, perhaps before it was sent. */
  removeQueued(outgoing: ClientRequest): void {
    this.#agent.dropWaiting(outgoing);
  }

  /** @param maxConnections - Most connections at once, from now on. */
  setMaxConnections(maxConnections: number): void {
    this.#agent.setMaxConnections(maxConnections);
  }

  /** @param idleMs - Time after which connections without a request are closed, from now on. */
  setIdleMs(idleMs: number): void {
    this.#agent.setIdleMs(idleMs);
  }

  /** Closes the connections without a request now, and the others when theirs has ended. */
  drain(): void {
    this.#silence.close();
    this.#agent.setMaxConnections(0);
  }

  /**
   * Sends a request and waits for the headers of its answer.
   *
   * @param attempt - The request.
   * @returns The answer, whose body is still to be read, or the failure with its verdict.
   */
  async send(attempt: Attempt): Promise<Result<IncomingMessage, AttemptFailure>> {
    const framing = makeFraming(attempt.body, attempt.method);
    const options: ConnectionOptions = {
      agent: this.#agent,
      host: this.#host,
      port: this.#port,
      method: attempt.method,
      path: attempt.path,
      headers: framing.length > 0 ? [...attempt.headers, ...framing] : attempt.headers,
      fresh: attempt.requiresFreshConnection === true,
    };
    const outgoing = request(options);
    this.#silence.add(outgoing);
    const answer = this.#waitForAnswer(outgoing, attempt);
    writeBody(outgoing, attempt.body);
    return answer;
  }

  /**
   * Asks whether the endpoint refuses a new connection, as it does after its process has ended.
   *
   * @returns False when it accepts or does not react in time.
   */
  async isRefusingConnections(): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = connect({ host: this.#host, port: this.#port });
      socket.setTimeout(this.#limits.connectTimeoutMs, () => socket.destroy());
      socket.on('connect', () => socket.destroy());
      socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code === 'ECONNREFUSED'));
      socket.on('close', () => resolve(false));
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#silence.close();
    this.#agent.destroy();
  }

  async #waitForAnswer(
    outgoing: ClientRequest,
    attempt: Attempt,
  ): Promise<Result<IncomingMessage, AttemptFailure>> {
    const { connectTimeoutMs: connectMs } = this.#limits;
    return new Promise((resolve) => {
      // Until a connection stands, no byte of the request can have left this process.
      let verdict: Verdict = 'not-run';
      let kind: AttemptFailure['kind'] | undefined;
      const fail = (reason: AttemptFailure['kind'], message: string) => {
        kind = reason;
        outgoing.destroy(new Error(message));
        this.#agent.dropWaiting(outgoing);
      };
      const timer = setTimeout(
        () => fail('timeout', `no answer in ${Math.round(attempt.timeoutMs)} ms`),
        attempt.timeoutMs,
      );
      let connectTimer: NodeJS.Timeout | undefined;
      const cancel = () => fail('cancelled', 'the call was cancelled');
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
        const message = `no connection in ${connectMs} ms`;
        connectTimer = setTimeout(() => fail('connect', message), connectMs);
        socket.once('connect', () => {
          clearTimeout(connectTimer);
          verdict = 'may-have-run';
        });
      });
      outgoing.on('information', ({ statusCode }) => attempt.onInformation?.(statusCode));
      outgoing.on('response', (answer) => {
        if (!this.#limits.allowCloseDelimited && isUnbounded(answer, attempt.method)) {
          fail('bad-answer', 'the answer has neither a length nor chunks');
        } else finish(ok(answer));
      });
      // An endpoint that switches protocols unasked has not answered the request.
      outgoing.on('upgrade', () => fail('bad-answer', 'the endpoint switched protocols'));
      outgoing.on('error', (error) => {
        const reason = kind ?? readKind(error, verdict);
        const status = error instanceof BodyError ? { status: error.status } : {};
        finish(err({ kind: reason, verdict, message: error.message, ...status }));
      });
      outgoing.on('close', () => {
        const message = 'the connection ended without an answer';
        finish(err({ kind: kind ?? readKind(undefined, verdict), verdict, message }));
      });
      attempt.cancellation?.addListener(cancel);
    });
  }

  /** Reads the endpoint's count of calls on a connection of its own. */
  async #readLoad(): Promise<number | undefined> {
    const timeoutMs = this.#limits.connectTimeoutMs;
    return new Promise((resolve) => {
      const probe = request(
        { agent: false, host: this.#host, port: this.#port, path: '/.well-known/load' },
        (answer) => {
          let text = '';
          answer.setEncoding('utf8');
          answer.on('data', (chunk: string) => {
            text += chunk;
            if (text.length > maxReportLength) probe.destroy();
          });
          answer.on('end', () => resolve(answer.statusCode === 200 ? readCalls(text) : undefined));
          answer.on('error', () => resolve(undefined));
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

function readCalls(text: string): number | undefined {
  try {
    const report = JSON.parse(text) as { named_metrics?: Record<string, unknown> };
    const { slots_in_use: inUse, queued = 0 } = report.named_metrics ?? {};
    return typeof inUse === 'number' && typeof queued === 'number' ? inUse + queued : undefined;
  } catch {
    return undefined;
  }
}

function readKind(error: Error | undefined, verdict: Verdict): AttemptFailure['kind'] {
  if (error instanceof BodyError) return 'bad-body';
  if (badAnswer.test((error as NodeJS.ErrnoException)?.code ?? '')) return 'bad-answer';
  return verdict === 'not-run' ? 'connect' : 'reset';
}

/** The end of such an answer cannot be told from its being cut. */
function isUnbounded(answer: IncomingMessage, method: string): boolean {
  const status = answer.statusCode ?? 0;
  if (method === 'HEAD' || status === 204 || status === 304) return false;
  const { 'content-length': length, 'transfer-encoding': encoding } = answer.headers;
  return length === undefined && encoding?.toLowerCase() !== 'chunked';
}
