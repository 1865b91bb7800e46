import { Agent, request } from 'node:http';
import type { ClientRequest, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { pipeline } from 'node:stream';
import type { Readable } from 'node:stream';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RetryFailure, Verdict } from '@dotterelpass/values';

/** One try to have an endpoint answer a request. */
export interface Attempt {
  readonly method: string;
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer | Readable | undefined;
  /** Time until the headers of the answer must have come, in milliseconds. */
  readonly timeoutMs: number;
  /** Cancels the attempt; the endpoint sees its connection close. */
  readonly signal: AbortSignal;
}

/** Why an attempt gave no answer. */
export interface AttemptFailure {
  readonly kind: RetryFailure | 'cancelled' | 'bad-answer';
  readonly verdict: Verdict;
  readonly message: string;
}

/** Connections to one endpoint. */
export class EndpointPool {
  readonly #host: string;

  readonly #port: number;

  readonly #agent: Agent;

  /**
   * @param address - IP address and port of the endpoint.
   * @param maxConnections - Most connections that this instance opens to it.
   */
  constructor(address: string, maxConnections: number) {
    const [host = '', port = ''] = address.split(':');
    this.#host = host;
    this.#port = Number(port);
    this.#agent = new Agent({
      keepAlive: true,
      keepAliveMsecs: 1000,
      maxSockets: maxConnections,
      scheduling: 'lifo',
    });
  }

  /**
   * Sends a request and waits for the headers of its answer.
   *
   * @param attempt - The request.
   * @returns The answer, whose body is still to be read, or the failure with its verdict.
   */
  async send(attempt: Attempt): Promise<Result<IncomingMessage, AttemptFailure>> {
    const outgoing = request({
      agent: this.#agent,
      host: this.#host,
      port: this.#port,
      method: attempt.method,
      path: attempt.path,
      headers: attempt.headers,
      signal: attempt.signal,
    });
    const answer = waitForAnswer(outgoing, attempt);
    writeBody(outgoing, attempt.body);
    return answer;
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }
}

async function waitForAnswer(
  outgoing: ClientRequest,
  attempt: Attempt,
): Promise<Result<IncomingMessage, AttemptFailure>> {
  return new Promise((resolve) => {
    // Until a connection stands, no byte of the request can have left this process.
    let verdict: Verdict = 'not-run';
    let timedOut = false;
    const timer = setTimeout(() => {
      timedOut = true;
      outgoing.destroy(new Error(`no answer in ${attempt.timeoutMs} ms`));
    }, attempt.timeoutMs);
    outgoing.on('socket', (socket) => {
      if (!socket.connecting) verdict = 'may-have-run';
      else {
        socket.once('connect', () => {
          verdict = 'may-have-run';
        });
      }
    });
    outgoing.on('response', (response) => {
      clearTimeout(timer);
      resolve(ok(response));
    });
    outgoing.on('error', (error) => {
      clearTimeout(timer);
      resolve(err({ kind: readKind(attempt, timedOut, verdict), verdict, message: error.message }));
    });
  });
}

function readKind(attempt: Attempt, timedOut: boolean, verdict: Verdict): AttemptFailure['kind'] {
  if (timedOut) return 'timeout';
  if (attempt.signal.aborted) return 'cancelled';
  return verdict === 'not-run' ? 'connect' : 'reset';
}

function writeBody(outgoing: ClientRequest, body: Attempt['body']): void {
  if (body === undefined || Buffer.isBuffer(body)) {
    outgoing.end(body);
    return;
  }
  // An error on either side is reported by the events of the request.
  pipeline(body, outgoing, () => undefined);
}
