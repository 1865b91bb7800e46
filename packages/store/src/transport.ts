import { Agent, request } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Metrics } from '@dotterelpass/telemetry';
import type { FleetRates, RateBudget } from './budget.js';

/** A failed platform call. `applied` says whether a write may have taken effect. */
export interface PlatformError {
  readonly kind: 'unreachable' | 'timeout' | 'rate-limited' | 'refused' | 'bad-answer';
  readonly message: string;
  readonly applied: 'no' | 'unknown';
}

/** Parts and limits of a transport. */
export interface TransportOptions {
  readonly budget?: RateBudget;
  readonly metrics?: Pick<Metrics, 'recordEvent'>;
  /** Longest wait for the answer to a call that does not wait for a change, in milliseconds. */
  readonly timeoutMs?: number;
}

/** One call of the platform. */
export interface TransportCall {
  readonly method: string;
  readonly path: string;
  readonly body?: Buffer | undefined;
  readonly timeoutMs: number;
  /** What the call counts as; undefined when it draws on no budget. */
  readonly budget: keyof FleetRates | undefined;
}

/** An answer of the platform, whatever its status. */
export interface TransportResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

const defaultTimeoutMs = 2000;

/** A call that finds the budget spent waits this long at most. */
const maxBudgetWaitMs = 500;

/** HTTP calls to the platform, within the fleet's rates and with a bound on each wait. */
export class HttpTransport {
  readonly #host: string;

  readonly #port: number;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64, scheduling: 'lifo' });

  readonly #options: TransportOptions;

  readonly timeoutMs: number;

  #calls = 0;

  /**
   * @param address - IP address and port of the platform.
   * @param options - Parts and limits.
   */
  constructor(address: string, options: TransportOptions = {}) {
    this.#options = options;
    this.timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    const [host = '', port = ''] = address.split(':');
    if (!host || !port) throw new RangeError(`platform address ${JSON.stringify(address)} is bad`);
    this.#host = host;
    this.#port = Number(port);
  }

  /** Calls made so far; a waiting watch counts as one. */
  get calls(): number {
    return this.#calls;
  }

  /** Closes all connections; calls that wait fail. */
  close(): void {
    this.#agent.destroy();
  }

  /**
   * Sends a call.
   *
   * @param call - The call.
   * @returns The answer, or why there is none.
   */
  async send(call: TransportCall): Promise<Result<TransportResponse, PlatformError>> {
    const spent = call.budget && (await this.#waitForBudget(call.budget));
    if (spent) return err(spent);
    this.#calls += 1;
    const answer = await this.#send(call);
    const outcome = answer.isOk() ? 'answered' : answer.error.kind;
    this.#options.metrics?.recordEvent(`platform-${outcome}`);
    return answer;
  }

  async #waitForBudget(kind: keyof FleetRates): Promise<PlatformError | undefined> {
    const { budget, metrics } = this.#options;
    let waitedMs = 0;
    for (let waitMs = budget?.acquire(kind) ?? 0; waitMs > 0; waitMs = budget?.acquire(kind) ?? 0) {
      waitedMs += waitMs;
      if (waitedMs > maxBudgetWaitMs) {
        metrics?.recordEvent('platform-budget-spent');
        const message = `this instance has used its share of ${kind}`;
        return { kind: 'rate-limited', message, applied: 'no' };
      }
      await sleep(waitMs);
    }
    return undefined;
  }

  async #send({
    method,
    path,
    body,
    timeoutMs,
  }: TransportCall): Promise<Result<TransportResponse, PlatformError>> {
    return new Promise((resolve) => {
      const outgoing = request({
        agent: this.#agent,
        host: this.#host,
        port: this.#port,
        method,
        path,
        headers: body ? { 'content-type': 'application/json', 'content-length': body.length } : {},
      });
      const timer = setTimeout(() => {
        // The connection may be silent for good, and so may those that idle; new ones may work.
        outgoing.destroy();
        Object.values(this.#agent.freeSockets).forEach((sockets) =>
          sockets?.forEach((socket) => socket.destroy()),
        );
        resolve(
          err({ kind: 'timeout', message: `no answer in ${timeoutMs} ms`, applied: 'unknown' }),
        );
      }, timeoutMs);
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        clearTimeout(timer);
        const applied = error.code === 'ECONNREFUSED' ? 'no' : 'unknown';
        resolve(err({ kind: 'unreachable', message: error.message, applied }));
      });
      outgoing.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          clearTimeout(timer);
          if (!response.complete) {
            const message = 'the answer was cut short';
            resolve(err({ kind: 'unreachable', message, applied: 'unknown' }));
            return;
          }
          const { statusCode: status = 0, headers } = response;
          resolve(ok({ status, headers, body: Buffer.concat(chunks) }));
        });
      });
      outgoing.end(body);
    });
  }
}

/** @returns The error that an answer with this status stands for. */
export function toStatusError(status: number, body: Buffer): PlatformError {
  const message = `status ${status}: ${body.toString().slice(0, 200)}`;
  if (status === 429) return { kind: 'rate-limited', message, applied: 'no' };
  return { kind: 'refused', message, applied: status >= 500 ? 'unknown' : 'no' };
}

/** Reads the body of an answer as JSON, whose form is not checked. */
export function parseJson<T>(body: Buffer): Result<T, PlatformError> {
  try {
    return ok(JSON.parse(body.toString()) as T);
  } catch {
    return err({ kind: 'bad-answer', message: 'the answer is not JSON', applied: 'unknown' });
  }
}
